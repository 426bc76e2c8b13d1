"""A connection to a server: it carries attempts, each of which ends in exactly one outcome.

What an outcome says about whether the attempt ran decides whether the request may be sent again. The line
between "never ran" and "may have run" is drawn at the last byte written, as the protocol page draws it.
"""

from __future__ import annotations

import asyncio
import select
from typing import Protocol, cast

from workspond.address import Address
from workspond.clock import now_ms
from workspond.http.limits import MAX_BODY_BYTES, MAX_HEAD_BYTES
from workspond.http.response_parser import ParsedResponse, ParseState, ResponseParser, ResponseRules
from workspond.policy.events import Outcome
from workspond.upstream.attempt import Attempt, ServerResponse
from workspond.upstream.load_report import parse_load_report

REUSE_DELAY_MS = 10.0
"""How long a connection rests after a response before it is used again.

A second response may come some milliseconds after the first (0.8 to 3.6 ms were seen). Nothing in it tells
which request it answers, so it would be taken for the response to the next request on the connection.
"""

REJECTION_STATUSES = (503, 504)
"""The statuses with which a server may say, by `X-Rejected: 1`, that it has not begun the request."""

RESPONSE_RULES = ResponseRules(
    header_names=frozenset((b"content-type", b"x-rejected", b"x-load-report")),
    max_head_bytes=MAX_HEAD_BYTES,
    max_body_bytes=MAX_BODY_BYTES,
    allows_two_framings=False,
    ignores_surplus=True,
)


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that it belongs to."""

    def put_back(self, connection: ServerConnection) -> None:
        """Keep a connection that carries no attempt for the next one."""

    def remove(self, connection: ServerConnection) -> None:
        """Remove a connection that is closed, or is about to be."""


class ServerConnection(asyncio.Protocol):
    """A connection to a server, which carries one attempt at a time.

    Attributes:
        server_id: The server that it leads to.
        address: The address that it was opened to.
        idle_since_ms: When it was last put back to the pool, by `now_ms`.
        reusable_at_ms: No attempt may be sent on it before this moment.
    """

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

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's do not inherit from it
        self._is_open = True
        # Nothing may wait in the transport unnoticed: with a limit of 0 a write goes out at once, and
        # `pause_writing` is called if a part of it did not fit.
        self._transport.set_write_buffer_limits(0)

    def pause_writing(self) -> None:
        """A part of the request waits to be written."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """The whole request has been written."""
        self._is_writing_paused = False
        if self._attempt is not None:
            self._attempt.is_written = True

    def data_received(self, data: bytes) -> None:
        """Take a part of the response."""
        if self._attempt is None:  # no request is open: the next response might be that to another one
            self.close()
            return
        match self._parser.feed(data):
            case ParseState.COMPLETE:
                self._complete_attempt()
            case ParseState.MALFORMED | ParseState.TOO_LARGE:
                self._end_attempt(Outcome.ERROR, can_reuse=False)

    def eof_received(self) -> None:
        """Take the server's orderly end, which completes a response with no length.

        `connection_lost` follows and reports what is not complete.
        """
        if self._attempt is not None and self._parser.feed_eof():
            self._complete_attempt()

    def connection_lost(self, _exc: Exception | None) -> None:
        """End the attempt that it carried, if any."""
        self._is_open = False
        self._owner.remove(self)
        if self._attempt is not None:
            outcome = Outcome.RESET if self._attempt.is_written else Outcome.CONNECT_FAILED
            self._end_attempt(outcome, can_reuse=False)

    # The pool's side

    def close(self) -> None:
        """Close it now, whatever it carries; an attempt on it is not told."""
        self._owner.remove(self)
        self._attempt = None
        if self._is_open:
            self._transport.abort()

    def is_usable(self) -> bool:
        """Whether a request may be written: it is open as far as known, and nothing is unread.

        The event loop reads only once a turn. If an end or a stray byte has arrived since, a request written
        now would end in a reset and might have run, so the socket itself is polled.
        """
        if not self._is_open or self._transport.is_closing():
            return False
        return not self._is_readable()

    def has_unread_data(self) -> bool:
        """Whether bytes, or the end of the connection, have arrived that the event loop has not read."""
        return self._is_open and not self._transport.is_closing() and self._is_readable()

    def _is_readable(self) -> bool:
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def send(self, attempt: Attempt) -> None:
        """Write an attempt's request and wait for its response."""
        self._attempt = attempt
        self._parser.start()
        attempt.connection = self
        self._transport.write(attempt.handler.render_request())
        if self._transport.is_closing():  # the write itself failed
            self._end_attempt(Outcome.CONNECT_FAILED, can_reuse=False)
        else:
            attempt.is_written = not self._is_writing_paused

    def _complete_attempt(self) -> None:
        parsed = self._parser.response()
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
        # The pool comes first: what the outcome sets off may use the connection.
        if can_reuse and not self._is_writing_paused and self.is_usable():
            self.reusable_at_ms = now_ms() + REUSE_DELAY_MS
            self._owner.put_back(self)
        else:
            self.close()
        if attempt is not None:
            attempt.end(outcome, response)


def _outcome_of(response: ParsedResponse) -> Outcome:
    """The outcome of an attempt by its response, as in the protocol page's table."""
    if response.status == 200:
        return Outcome.SUCCESS
    is_marked = response.headers.get(b"x-rejected", b"").strip() == b"1"
    if response.status in REJECTION_STATUSES and is_marked:
        return Outcome.REJECTED
    return Outcome.ERROR
