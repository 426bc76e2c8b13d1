"""Calls to one agent of discovery, one at a time, on a connection that is kept between them."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import Protocol, cast

from workspond.address import Address
from workspond.http.response_parser import ParsedResponse, ParseState, ResponseParser, ResponseRules

CONNECT_TIMEOUT_S = 0.5
"""How long a connection may take to open. A broken link would otherwise use up the whole time of a call."""

STALL_TIMEOUT_S = 1.0
"""A response that has begun is waited for as long as more of it arrives within this time."""

MAX_CALL_S = 15.0
"""How long a call may take, however steadily its response arrives; two such calls fit into a start."""

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""The limit of a response, with its head."""

RESPONSE_RULES = ResponseRules(max_message_bytes=MAX_RESPONSE_BYTES)


class CallFailure(StrEnum):
    """Why a call has failed. The text is counted and logged."""

    CANNOT_CONNECT = "can't connect"
    MALFORMED_RESPONSE = "malformed response"
    RESPONSE_TOO_LARGE = "response too large"
    RESPONSE_STALLED = "response stalled"
    UNEXPECTED_RESPONSE = "response without a call"
    CONNECTION_LOST = "connection lost"


class AgentClientOwner(Protocol):
    """Whoever makes the calls."""

    def response_received(self, client: AgentClient, status: int, body: bytes) -> None:
        """A call has its complete response; the next one may be made."""

    def call_failed(self, client: AgentClient, reason: str) -> None:
        """A call has failed; the next one may be made.

        Args:
            client: The client that made the call.
            reason: A text of `CallFailure`, perhaps with details after a colon.
        """

    def call_overdue(self, client: AgentClient) -> None:
        """Nothing of a response has arrived in the call's time; it may still arrive."""


class AgentConnection(asyncio.Protocol):
    """A connection to an agent, which reports responses, their progress, and its own end to its client."""

    def __init__(self, client: AgentClient) -> None:
        self._client = client
        self._transport: asyncio.Transport
        self._is_connected = False
        self._parser = ResponseParser(RESPONSE_RULES)

    def send(self, request: bytes) -> None:
        """Write a request; what is received from now on is its response."""
        self._parser.start()
        self._transport.write(request)

    def close(self) -> None:
        """Close the connection now, if it was ever open."""
        if self._is_connected:
            self._transport.abort()

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's do not inherit from it
        self._is_connected = True

    def data_received(self, data: bytes) -> None:
        """Take a part of a response."""
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
        """Take the agent's orderly end, not a reset: it completes a response with no length."""
        if self._parser.feed_eof():
            self._report_response()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Report the end of the connection."""
        self._client.connection_failed(self, CallFailure.CONNECTION_LOST)

    def _report_response(self) -> None:
        response = self._parser.response()
        self._client.response_completed(self, response, can_keep_alive=self._parser.can_keep_alive)


class AgentClient:
    """Calls to the agent at one address.

    Attributes:
        address: Where the agent listens.
        is_busy: Whether a call is in flight.
        is_overdue: Whether the time of the last call has passed with nothing of its response received.
        last_index: The version of the endpoint list that this agent sent last.
        needs_complete_list: Whether the next call has to get the complete list. The first one does: versions
            need not be those that another agent sent or an earlier process received. Such a call is also
            answered at once where nothing has changed, unlike a watch.
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
        self._call_started_at_s = 0.0  # by the event loop's clock, as the next one
        self._last_received_at_s: float | None = None  # None: nothing of the response so far

    def call(self, target: str, timeout_s: float) -> None:
        """Make a call; the owner is told how it ends.

        Args:
            target: The request target, path and query.
            timeout_s: If nothing of the response arrives within this time, the call is reported as overdue.
        """
        host, port = self.address
        request = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
        self.is_busy = True
        self.is_overdue = False
        self._call_started_at_s = self._loop.time()
        self._last_received_at_s = None
        # A broken link gives no sign, not even on TCP: without a timer the call would wait for ever.
        self._check_progress_in(timeout_s)
        if self._connection is not None:
            self._connection.send(request)
        else:
            self._connect_task = self._loop.create_task(self._connect_and_send(request))

    def close(self) -> None:
        """End the call in flight, without a report, and close the connection."""
        self._end_call()
        self._close_connection()

    async def _connect_and_send(self, request: bytes) -> None:
        task = self._connect_task
        connection = AgentConnection(self)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: connection, *self.address)
        except OSError as error:  # a timeout is one too
            if self._connect_task is task:
                self._fail(f"{CallFailure.CANNOT_CONNECT}: {error}")
            return
        finally:
            # The call has ended meanwhile: nobody uses the connection, even if it has been opened.
            if self._connect_task is not task:
                connection.close()
        if self._connect_task is task:
            self._connection = connection
            self._connect_task = None
            connection.send(request)

    # Reports of connections. One that is no longer in use may still report.

    def response_progressed(self, connection: AgentConnection) -> None:
        """More of a response has been received."""
        if not self.is_busy:
            self.connection_failed(connection, CallFailure.UNEXPECTED_RESPONSE)
        elif connection is self._connection:
            self._last_received_at_s = self._loop.time()

    def response_completed(
        self, connection: AgentConnection, response: ParsedResponse, *, can_keep_alive: bool
    ) -> None:
        """A complete response has been received."""
        if connection is not self._connection or not self.is_busy:
            self.connection_failed(connection, CallFailure.UNEXPECTED_RESPONSE)
            return
        self._end_call()
        if not can_keep_alive:
            self._close_connection()
        self._owner.response_received(self, response.status, response.body)

    def connection_failed(self, connection: AgentConnection, reason: CallFailure) -> None:
        """A connection is of no further use; the call in flight on it fails."""
        if connection is not self._connection:
            return
        if self.is_busy:
            self._fail(reason)
        else:
            self._close_connection()

    # The call in flight

    def _check_progress_in(self, delay_s: float) -> None:
        self._progress_timer = self._loop.call_later(delay_s, self._check_progress)

    def _check_progress(self) -> None:
        """Fail the call if its response has stalled; report it as overdue if none has begun."""
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
