"""A connection to a server, on which attempts are sent one at a time, each with exactly one outcome.

The outcome says whether the server may have run the request, which decides whether the request may be sent
again. As the protocol defines it, a request may have run once its last byte has been written, and can't have
run before.
"""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from workspond.address import Address
from workspond.clock import now_ms
from workspond.http.limits import MAX_BODY_BYTES, MAX_HEAD_BYTES
from workspond.http.response_parser import ParsedResponse, ParseState, ResponseParser, ResponseRules
from workspond.policy.events import Outcome
from workspond.socket_state import is_readable
from workspond.upstream.attempt import Attempt, ServerResponse
from workspond.upstream.load_report import parse_load_report

REUSE_DELAY_MS = 10.0
"""The time for which a connection is not reused after a response.

A second response to a request may arrive some milliseconds after the first (0.8 to 3.6 ms were seen). As
responses do not identify their request, the second one would be taken for the response to the next request.
"""

MIN_COUNTED_BYTES = 1024
"""The length below which an incomplete response does not count against the limit on memory."""

REJECTION_STATUSES = (503, 504)
"""The statuses that, with `X-Rejected: 1`, report that the server has not run the request."""

RESPONSE_RULES = ResponseRules(
    header_names=frozenset((b"content-type", b"x-rejected", b"x-load-report")),
    max_head_bytes=MAX_HEAD_BYTES,
    max_body_bytes=MAX_BODY_BYTES,
    allows_repeated_framing=False,
    ignores_trailing_data=True,
)


class ConnectionOwner(Protocol):
    """The part of the connection pool that a connection uses."""

    def release(self, connection: ServerConnection) -> None:
        """Return a connection without an attempt to the idle connections."""

    def remove(self, connection: ServerConnection) -> None:
        """Remove a connection that is closed or about to be closed."""

    def report_buffered(self, connection: ServerConnection, size_bytes: int) -> bool:
        """Count the part of a response that a connection keeps; return whether it may be kept."""


class ServerConnection(asyncio.Protocol):
    """A connection to a server, used by one attempt at a time.

    Attributes:
        server_id: The id of the server.
        address: The address to which the connection was opened.
        idle_since_ms: The time, by `now_ms`, at which the connection last became idle.
        reusable_at_ms: The time, by `now_ms`, before which no attempt may be sent on the connection.
        drops_last: Whether data of other connections is dropped before that of this one.
    """

    drops_last = True  # a response has cost work and may belong to a sound client

    def __init__(self, owner: ConnectionOwner, server_id: int, address: Address) -> None:
        self.server_id = server_id
        self.address = address
        self.idle_since_ms = 0.0
        self.reusable_at_ms = 0.0
        self._owner = owner
        self._transport: asyncio.Transport
        self._attempt: Attempt | None = None
        self._is_open = False
        self._is_writing_paused = False
        self._parser = ResponseParser(RESPONSE_RULES)
        self._reported_bytes = 0  # the length of the incomplete response, as last reported

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened connection."""
        # The cast is needed as uvloop's transports do not inherit from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._is_open = True
        # With a limit of 0 a write goes to the kernel at once, and `pause_writing` is called if a part of it
        # stays in the transport's buffer.
        self._transport.set_write_buffer_limits(0)

    def pause_writing(self) -> None:
        """Note that a part of the request is still in the transport's buffer."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Note that the complete request has been handed to the kernel."""
        self._is_writing_paused = False
        if self._attempt is not None:
            self._attempt.is_written = True

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; close the connection if no request awaits one."""
        if self._attempt is None:
            # An unexpected response could be taken for the response to the next request.
            self.close()
            return
        match self._parser.feed(data):
            case ParseState.COMPLETE:
                self._complete_attempt()
            case ParseState.MALFORMED | ParseState.TOO_LARGE:
                self._end_attempt(Outcome.ERROR, can_reuse=False)
            case ParseState.INCOMPLETE:
                self._count_incomplete_response()

    def eof_received(self) -> None:
        """Handle an orderly close by the server, which completes a response without a length.

        `connection_lost` is called next and ends an attempt whose response is incomplete.
        """
        if self._attempt is not None and self._parser.feed_eof():
            self._complete_attempt()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Remove the connection from the pool and end its attempt, if there is one."""
        self._is_open = False
        self._owner.remove(self)
        if self._attempt is not None:
            outcome = Outcome.RESET if self._attempt.is_written else Outcome.CONNECT_FAILED
            self._end_attempt(outcome, can_reuse=False)
        self._parser.close()

    # Called when memory is short

    def report_buffer_use(self) -> None:
        """Count the incomplete response, if its length has changed."""
        self._report_buffered()

    def _report_buffered(self) -> bool:
        """Count the incomplete response; return whether it may be kept."""
        size_bytes = self._parser.partial_bytes() if self._attempt is not None else 0
        size_bytes = size_bytes if size_bytes >= MIN_COUNTED_BYTES else 0
        if size_bytes == self._reported_bytes:
            return True
        self._reported_bytes = size_bytes
        return self._owner.report_buffered(self, size_bytes)

    def _count_incomplete_response(self) -> None:
        # Many servers may send much within one iteration of the event loop.
        if not self._report_buffered():
            self.drop_waiting_data()

    def drop_waiting_data(self) -> None:
        """Drop an incomplete response; the attempt ends like one with a response that can't be read."""
        if self._attempt is not None:
            self._end_attempt(Outcome.ERROR, can_reuse=False)

    # Called by the pool

    def close(self) -> None:
        """Close the connection at once, without reporting an outcome for its attempt."""
        self._owner.remove(self)
        self._attempt = None
        self.report_buffer_use()
        self._parser.close()  # the event loop only reports the loss of the connection later
        if self._is_open:
            self._transport.abort()

    def is_usable(self) -> bool:
        """Return whether a request may be written: the connection is open and nothing is unread.

        The socket itself is polled, as the event loop reads only once in each iteration. If an EOF or a stray
        byte has arrived since, a request written now would end in a reset, and it might have run.
        """
        if not self._is_open or self._transport.is_closing():
            return False
        return not self._is_readable()

    def has_unread_data(self) -> bool:
        """Return whether the socket holds data or an EOF that the event loop has not read."""
        return self._is_open and not self._transport.is_closing() and self._is_readable()

    def _is_readable(self) -> bool:
        return is_readable(self._transport.get_extra_info("socket"))

    def send(self, attempt: Attempt) -> None:
        """Write the request of an attempt and start to wait for its response."""
        self._attempt = attempt
        self._parser.start()
        attempt.connection = self
        self._transport.write(attempt.handler.render_request())
        if self._transport.is_closing():  # the write itself failed
            self._end_attempt(Outcome.CONNECT_FAILED, can_reuse=False)
        else:
            attempt.is_written = not self._is_writing_paused

    def _complete_attempt(self) -> None:
        parsed = self._parser.take_response()
        load_report = parsed.headers.get(b"x-load-report")
        response = ServerResponse(
            parsed.status,
            parsed.body,
            parsed.headers.get(b"content-type"),
            parse_load_report(load_report) if load_report is not None else None,
        )
        self._end_attempt(_outcome_of(parsed), can_reuse=self._parser.can_keep_alive, response=response)

    def _end_attempt(
        self, outcome: Outcome, *, can_reuse: bool, response: ServerResponse | None = None
    ) -> None:
        attempt = self._attempt
        self._attempt = None
        self.report_buffer_use()
        # The connection is released before the outcome is reported, as the handler may send the next attempt.
        if can_reuse and not self._is_writing_paused and self.is_usable():
            self.reusable_at_ms = now_ms() + REUSE_DELAY_MS
            self._owner.release(self)
        else:
            self.close()
        if attempt is not None:
            attempt.end(outcome, response)


def _outcome_of(response: ParsedResponse) -> Outcome:
    """Return the outcome of an attempt with this response, as the protocol defines it."""
    if response.status == 200:
        return Outcome.SUCCESS
    is_marked_rejected = response.headers.get(b"x-rejected", b"").strip() == b"1"
    if response.status in REJECTION_STATUSES and is_marked_rejected:
        return Outcome.REJECTED
    return Outcome.ERROR
