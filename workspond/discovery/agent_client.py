"""Calls to one discovery agent, one at a time, on a connection that is reused for all of them."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import Protocol, cast

from workspond.address import Address
from workspond.http.response_parser import ParsedResponse, ParseState, ResponseParser, ResponseRules

CONNECT_TIMEOUT_S = 0.5
"""Timeout for opening a connection. Without it, a broken link would use up the whole timeout of a call."""

STALL_TIMEOUT_S = 1.0
"""A call fails if its response has begun and nothing more of it arrives for this time."""

MAX_CALL_S = 15.0
"""The maximum duration of a call whose response has begun, even if more of it keeps arriving.

Two such calls fit into the time that a starting node has to become ready.
"""

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""The maximum size of a response, including its head."""

RESPONSE_RULES = ResponseRules(max_message_bytes=MAX_RESPONSE_BYTES)


class CallFailure(StrEnum):
    """Why a call has failed. The values are written to the log and counted."""

    CANNOT_CONNECT = "can't connect"
    MALFORMED_RESPONSE = "malformed response"
    RESPONSE_TOO_LARGE = "response too large"
    RESPONSE_STALLED = "response stalled"
    UNEXPECTED_RESPONSE = "response without a call"
    CONNECTION_LOST = "connection lost"


class AgentClientOwner(Protocol):
    """Makes calls and handles their results."""

    def response_received(self, client: AgentClient, status: int, body: bytes) -> None:
        """Handle the complete response to a call. The next call may be made."""

    def call_failed(self, client: AgentClient, reason: str) -> None:
        """Handle a failed call. The next call may be made.

        Args:
            client: The client that made the call.
            reason: A value of `CallFailure`, possibly with details after a colon.
        """

    def call_overdue(self, client: AgentClient) -> None:
        """Handle a call whose response has not begun within the call's timeout; it may still arrive."""


class AgentConnection(asyncio.Protocol):
    """A connection to an agent. It reports responses, their progress and the loss of the connection."""

    def __init__(self, client: AgentClient) -> None:
        self._client = client
        self._transport: asyncio.Transport
        self._is_connected = False
        self._parser = ResponseParser(RESPONSE_RULES)

    def send(self, request: bytes) -> None:
        """Write a request, and parse all data that is received after it as its response."""
        self._parser.start()
        self._transport.write(request)

    def close(self) -> None:
        """Close the connection immediately, if it has been opened."""
        if self._is_connected:
            self._transport.abort()
        else:
            self._parser.close()

    # Methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the opened connection."""
        # uvloop's transports don't inherit from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._is_connected = True

    def data_received(self, data: bytes) -> None:
        """Parse the next part of a response, and report what it leads to."""
        match self._parser.feed(data):
            case ParseState.COMPLETE:
                self._report_response()
            case ParseState.MALFORMED:
                self._client.connection_failed(self, CallFailure.MALFORMED_RESPONSE)
            case ParseState.TOO_LARGE:
                self._client.connection_failed(self, CallFailure.RESPONSE_TOO_LARGE)
            case ParseState.INCOMPLETE:
                self._client.response_progressed(self)

    def eof_received(self) -> None:
        """Handle an orderly close by the agent. Unlike a reset, it completes a response without a length."""
        if self._parser.feed_eof():
            self._report_response()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Report the loss of the connection."""
        self._client.connection_failed(self, CallFailure.CONNECTION_LOST)
        self._parser.close()

    def _report_response(self) -> None:
        response = self._parser.take_response()
        self._client.response_completed(self, response, can_keep_alive=self._parser.can_keep_alive)


class AgentClient:
    """Calls to the agent at one address.

    Attributes:
        address: The address of the agent.
        is_busy: Whether a call is in flight.
        is_overdue: Whether the timeout of the last call has passed before its response began.
        last_index: The version of the last endpoint list that this agent sent.
        needs_complete_list: Whether the next call must request the complete list. The first call must,
            because versions known from another agent or an earlier process may not be valid for this agent.
            Unlike a watch, such a call is answered at once even if nothing has changed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, owner: AgentClientOwner) -> None:
        self.address = address
        self.is_busy = False
        self.is_overdue = False
        self.last_index = 0
        self.needs_complete_list = True
        self._loop = loop
        self._owner = owner
        self._connection: AgentConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._progress_timer: asyncio.TimerHandle | None = None
        # Both times are on the event loop's clock.
        self._call_started_at_s = 0.0
        self._last_received_at_s: float | None = None  # None until the response begins

    def call(self, target: str, timeout_s: float) -> None:
        """Make a call, whose result is reported to the owner.

        Args:
            target: The request target: path and query.
            timeout_s: The call is reported as overdue if its response does not begin within this time.
        """
        host, port = self.address
        request = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
        self.is_busy = True
        self.is_overdue = False
        self._call_started_at_s = self._loop.time()
        self._last_received_at_s = None
        # TCP does not report a broken link to a side that only waits, so without a timer the call might never
        # end.
        self._check_progress_in(timeout_s)
        if self._connection is not None:
            self._connection.send(request)
        else:
            self._connect_task = self._loop.create_task(self._connect_and_send(request))

    def close(self) -> None:
        """End the call in flight without a report, and close the connection."""
        self._end_call()
        self._close_connection()

    async def _connect_and_send(self, request: bytes) -> None:
        task = self._connect_task
        connection = AgentConnection(self)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: connection, *self.address)
        except OSError as error:  # includes TimeoutError
            if self._connect_task is task:
                self._fail(f"{CallFailure.CANNOT_CONNECT}: {error}")
            return
        finally:
            # If the call has ended while the connection was being opened, the connection is not needed.
            if self._connect_task is not task:
                connection.close()
        if self._connect_task is task:
            self._connection = connection
            self._connect_task = None
            connection.send(request)

    # Reports from connections, which may include connections that are no longer in use.

    def response_progressed(self, connection: AgentConnection) -> None:
        """Record that a further part of the response has been received."""
        if not self.is_busy:
            self.connection_failed(connection, CallFailure.UNEXPECTED_RESPONSE)
        elif connection is self._connection:
            self._last_received_at_s = self._loop.time()

    def response_completed(
        self, connection: AgentConnection, response: ParsedResponse, *, can_keep_alive: bool
    ) -> None:
        """End the call and pass its response to the owner."""
        if connection is not self._connection or not self.is_busy:
            self.connection_failed(connection, CallFailure.UNEXPECTED_RESPONSE)
            return
        self._end_call()
        if not can_keep_alive:
            self._close_connection()
        self._owner.response_received(self, response.status, response.body)

    def connection_failed(self, connection: AgentConnection, reason: CallFailure) -> None:
        """Close a failed connection, and fail the call in flight on it."""
        if connection is not self._connection:
            return
        if self.is_busy:
            self._fail(reason)
        else:
            self._close_connection()

    # Progress and end of the call in flight

    def _check_progress_in(self, delay_s: float) -> None:
        self._progress_timer = self._loop.call_later(delay_s, self._check_progress)

    def _check_progress(self) -> None:
        """Report the call as overdue if no response has begun; else fail it if it takes too long.

        It takes too long if its response has stalled for `STALL_TIMEOUT_S`, or after `MAX_CALL_S` in all.
        """
        if self._last_received_at_s is None:
            self._check_progress_in(STALL_TIMEOUT_S)
            if not self.is_overdue:
                self.is_overdue = True
                self._owner.call_overdue(self)
            return
        now_s = self._loop.time()
        stalled_at_s = self._last_received_at_s + STALL_TIMEOUT_S
        deadline_at_s = min(stalled_at_s, self._call_started_at_s + MAX_CALL_S)
        if now_s < deadline_at_s:
            self._check_progress_in(deadline_at_s - now_s)
        else:
            self._fail(CallFailure.RESPONSE_STALLED)

    def _fail(self, reason: str) -> None:
        self.close()
        self._owner.call_failed(self, reason)

    def _end_call(self) -> None:
        self.is_busy = False
        task = self._connect_task
        self._connect_task = None
        if task is not None:
            task.cancel()
        if self._progress_timer is not None:
            self._progress_timer.cancel()

    def _close_connection(self) -> None:
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close()
