"""An attempt to have one server answer a request, and the result of the attempt."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from workspond.policy.events import Outcome


@dataclass(slots=True)
class ServerResponse:
    """The response of a server.

    Attributes:
        status: The HTTP status.
        body: The complete body.
        content_type: The value of the Content-Type header as received, or None without the header.
        load_report: The figures of the server's load report by name, or None without a valid report.
    """

    status: int
    body: bytes
    content_type: bytes | None
    load_report: dict[str, float] | None


class AttemptHandler(Protocol):
    """The callbacks through which the connection pool runs an attempt."""

    def may_send(self) -> bool:
        """Return whether the request may still be written; called when a new connection has opened."""

    def render_request(self) -> bytes:
        """Return the bytes of the request; called just before they are written."""

    def attempt_ended(self, outcome: Outcome, response: ServerResponse | None) -> None:
        """Handle the end of the attempt; called exactly once."""


class AttemptConnection(Protocol):
    """The connection that an attempt uses, which may still be opening."""

    def close(self) -> None:
        """Close the connection, or stop opening it."""

    def has_unread_data(self) -> bool:
        """Return whether the socket holds data or an EOF that the event loop has not read."""


class Attempt:
    """An attempt of a request at one server, which reports its outcome exactly once.

    Attributes:
        handler: Receives the outcome.
        connection: The connection in use; None before the attempt has begun and after it has ended.
        has_ended: Whether the outcome has been reported.
        is_written: Whether the complete request has been handed to the kernel.
        is_timeout_extended: Whether the timeout has expired once while response data was unread.
    """

    __slots__ = (
        "_timeout_timer",
        "connection",
        "handler",
        "has_ended",
        "is_timeout_extended",
        "is_written",
    )

    def __init__(self, handler: AttemptHandler) -> None:
        self.handler = handler
        self.connection: AttemptConnection | None = None
        self.has_ended = False
        self.is_written = False
        self.is_timeout_extended = False
        self._timeout_timer: asyncio.TimerHandle | None = None

    def set_timeout_timer(self, timer: asyncio.TimerHandle) -> None:
        """Set the timer that is cancelled when the attempt ends."""
        self._timeout_timer = timer

    def has_unread_data(self) -> bool:
        """Return whether the attempt's socket holds data or an EOF that the event loop has not read."""
        return self.connection is not None and self.connection.has_unread_data()

    def end(self, outcome: Outcome, response: ServerResponse | None = None) -> None:
        """Report the outcome; does nothing if one was reported before."""
        if self.has_ended:
            return
        self.has_ended = True
        self.connection = None
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        self.handler.attempt_ended(outcome, response)

    def abort(self, outcome: Outcome) -> None:
        """End the attempt and close its connection, which is the only way to cancel it at the server."""
        if self.has_ended:
            return
        if self.connection is not None:
            self.connection.close()
        self.end(outcome)

    def time_out(self) -> None:
        """Abort the attempt because its timeout has expired."""
        # A server starts only after the last byte of a request, so an incomplete request can't have run.
        self.abort(Outcome.TIMEOUT if self.is_written else Outcome.CONNECT_FAILED)
