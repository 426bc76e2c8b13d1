"""Calls to one agent of discovery, one at a time, on a connection that is kept between them."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

from workspond.address import Address

CONNECT_S = 0.5  # for a connection to come up; a cut link would use up the whole of a call's time
SILENCE_S = 1.0  # an answer that has begun is waited for as long as more of it comes within this
LONGEST_ANSWER_S = 15.0  # from the call to its end, however steadily it comes: two fit into a start
MAX_RESPONSE_BYTES = 8 * 1024 * 1024  # bytes


class AgentClientOwner(Protocol):
    """Whoever makes the calls."""

    def response_received(self, link: AgentClient, status: int, body: bytes) -> None:
        """A call has its whole answer; the next may be made."""

    def call_failed(self, link: AgentClient, why: str) -> None:
        """A call has failed; the next may be made."""

    def call_overdue(self, link: AgentClient) -> None:
        """Nothing of an answer has come in the call's time; it may still come."""


class _Connection(asyncio.Protocol):
    """A connection to an agent; tells its link of bytes, whole answers and its end."""

    def __init__(self, link: AgentClient) -> None:
        self._link = link
        self.transport: asyncio.Transport | None = None
        self._start_answer()

    def _start_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._size = 0
        self._in_body = False
        self._framed = False  # a header tells where the body ends
        self._complete = self.keep_alive = False

    def ask(self, request: bytes) -> None:
        """Write a request; what comes from now on is its answer."""
        self._start_answer()
        assert self.transport is not None
        self.transport.write(request)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by class

    def data_received(self, data: bytes) -> None:
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return self._link.broken(self, "an answer that can't be read")
        if self._complete:
            self._answered()
        elif self._size > MAX_RESPONSE_BYTES:
            self._link.broken(self, "an answer without end")
        else:
            self._link.progressed(self)

    def _answered(self) -> None:
        self._link.complete(self, self._parser.get_status_code(), b"".join(self._body))

    def eof_received(self) -> None:
        """The agent's orderly end, which ends an answer with no length; a reset never gets here."""
        if self._in_body and not self._framed and not self._complete:
            self._complete = True
            self._answered()

    def connection_lost(self, exc: Exception | None) -> None:
        self._link.broken(self, "the connection broke")

    # The parser's calls

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._framed = self._framed or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self._in_body = True

    def on_message_complete(self) -> None:
        if 100 <= self._parser.get_status_code() < 200:  # an interim answer: the real one follows
            self._in_body = self._framed = False
            return
        self._complete, self.keep_alive = True, self._parser.should_keep_alive()


class AgentClient:
    """Calls to the agent at one address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, owner: AgentClientOwner) -> None:
        self.address = address
        self._loop, self._owner = loop, owner
        self._connection: _Connection | None = None
        self._dial: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._began_s = self._heard_s = 0.0  # the call, and the last of its answer so far; 0.0: nothing
        self.is_busy = False  # a call is out
        self.is_overdue = False  # its time is over, and nothing of an answer has come
        self.last_index = 0  # the version of the list as this agent told it last
        # The next call asks for the whole list. The first does: versions need not be those that another agent
        # or an earlier process heard, and unlike a watch it is answered at once where nothing has changed.
        self.needs_complete_list = True

    def call(self, target: str, limit_s: float) -> None:
        """Make a call; its owner is told how it ends, and if its answer has not begun within `limit_s`."""
        request = f"GET {target} HTTP/1.1\r\nHost: {self.address[0]}:{self.address[1]}\r\n\r\n".encode()
        self.is_busy, self.is_overdue = True, False
        self._began_s, self._heard_s = self._loop.time(), 0.0
        # A cut link says nothing, not even on TCP: without this the call would wait for ever.
        self._timer = self._loop.call_later(limit_s, self._check_progress)
        if self._connection is not None:
            self._connection.ask(request)
        else:
            self._dial = self._loop.create_task(self._connect(request))

    async def _connect(self, request: bytes) -> None:
        task, connection = self._dial, _Connection(self)
        try:
            async with asyncio.timeout(CONNECT_S):
                await self._loop.create_connection(lambda: connection, *self.address)
        except OSError as problem:  # the time-out is one too
            if self._dial is task:
                self._fail(f"can't connect: {problem or 'no answer'}")
            return
        finally:
            # Called off, or late: what came up all the same belongs to nobody.
            if self._dial is not task and connection.transport is not None:
                connection.transport.abort()
        if self._dial is task:
            self._connection, self._dial = connection, None
            connection.ask(request)

    def progressed(self, connection: _Connection) -> None:
        """More of an answer has come."""
        if not self.is_busy:
            self.broken(connection, "an answer that nobody asked for")
        elif connection is self._connection:
            self._heard_s = self._loop.time()

    def _check_progress(self) -> None:
        """Give the call up if its answer has stopped coming; say so if none has begun."""
        now_s = self._loop.time()
        if not self._heard_s:
            self._timer = self._loop.call_later(SILENCE_S, self._check_progress)
            if not self.is_overdue:
                self.is_overdue = True
                self._owner.call_overdue(self)
            return
        due_s = min(self._heard_s + SILENCE_S, self._began_s + LONGEST_ANSWER_S)
        if now_s < due_s:
            self._timer = self._loop.call_later(due_s - now_s, self._check_progress)
        else:
            self._fail("the answer stopped coming")

    def complete(self, connection: _Connection, status: int, body: bytes) -> None:
        """A whole answer has come."""
        if connection is not self._connection or not self.is_busy:
            return self.broken(connection, "an answer that nobody asked for")
        self._end_call()
        if not connection.keep_alive:
            self._drop()
        self._owner.response_received(self, status, body)

    def broken(self, connection: _Connection, why: str) -> None:
        """A connection is of no further use; a failure if a call was out on it."""
        if connection is not self._connection:
            return
        if self.is_busy:
            self._fail(why)
        else:
            self._drop()

    def _fail(self, why: str) -> None:
        self.close()
        self._owner.call_failed(self, why)

    def _end_call(self) -> None:
        self.is_busy = False
        dial, self._dial = self._dial, None
        if dial is not None:
            dial.cancel()
        if self._timer is not None:
            self._timer.cancel()

    def _drop(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def close(self) -> None:
        """End the call that is out, unheard, and its connection."""
        self._end_call()
        self._drop()
