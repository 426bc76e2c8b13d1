"""One attempt of a request at one server, and what it ends with."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from workspond.policy.events import Outcome


@dataclass(slots=True)
class ServerResponse:
    """What a server answered.

    Attributes:
        status: The HTTP status.
        body: The whole body.
        content_type: The value of the Content-Type header, as it came.
        load_report: The server's load report, if one came that could be read.
    """

    status: int
    body: bytes
    content_type: bytes | None
    load_report: dict[str, float] | None


class AttemptHandler(Protocol):
    """What the connection pool needs of whoever has an attempt made."""

    def may_send(self) -> bool:
        """Whether the request may still be written; called just before it would be."""

    def render_request(self) -> bytes:
        """The request's bytes, as they are to be written now."""

    def attempt_ended(self, outcome: Outcome, response: ServerResponse | None) -> None:
        """The attempt has ended; called exactly once."""


class AttemptConnection(Protocol):
    """What an attempt is made with: a connection that is being opened, then the open connection."""

    def close(self) -> None:
        """Stop, and close the connection."""

    def has_unread_data(self) -> bool:
        """Whether bytes, or the end of the connection, have arrived that the event loop has not read."""


class Attempt:
    """One attempt of a request at one server; reports its outcome exactly once.

    Attributes:
        handler: Who is told of the outcome.
        connection: What the attempt is made with; None before it has begun and after its end.
        is_over: Whether the outcome has been reported.
        is_written: Whether the whole request has been handed to the kernel.
        is_timeout_extended: Whether the timeout has passed while a response was unread.
    """

    __slots__ = (
        "_timeout_timer",
        "connection",
        "handler",
        "is_over",
        "is_timeout_extended",
        "is_written",
    )

    def __init__(self, handler: AttemptHandler) -> None:
        self.handler = handler
        self.connection: AttemptConnection | None = None
        self.is_over = False
        self.is_written = False
        self.is_timeout_extended = False
        self._timeout_timer: asyncio.TimerHandle | None = None

    def set_timeout_timer(self, timer: asyncio.TimerHandle) -> None:
        """Note the timer that is to be cancelled at the end."""
        self._timeout_timer = timer

    def has_unread_data(self) -> bool:
        """Whether something of a response waits to be read."""
        return self.connection is not None and self.connection.has_unread_data()

    def end(self, outcome: Outcome, response: ServerResponse | None = None) -> None:
        """Report the outcome, unless one was reported before."""
        if self.is_over:
            return
        self.is_over = True
        self.connection = None
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        self.handler.attempt_ended(outcome, response)

    def abort(self, outcome: Outcome) -> None:
        """Stop waiting. The connection is closed, as only that tells the server."""
        if self.is_over:
            return
        if self.connection is not None:
            self.connection.close()
        self.end(outcome)

    def time_out(self) -> None:
        """Abort the attempt as its time is up."""
        # A server waits for the last byte, so before that is written it can't have begun.
        self.abort(Outcome.TIMEOUT if self.is_written else Outcome.CONNECT_FAILED)
