"""One attempt of a request at one server, and what it ends with."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from workspond.policy.events import Outcome


@dataclass(slots=True)
class ServerResponse:
    """What a server answered."""

    status: int
    body: bytes
    content_type: bytes | None
    load_report: dict[str, float] | None


class AttemptHandler(Protocol):
    """Whoever has an attempt made: it renders the request, and is told how the attempt ended."""

    def may_send(self) -> bool:
        """Whether the request may still be written; asked just before it would be."""

    def render_request(self) -> bytes:
        """The request's bytes, as they are to be written now."""

    def attempt_ended(self, outcome: Outcome, response: ServerResponse | None) -> None:
        """The attempt has ended; called exactly once."""


class Attempt:
    """One copy of a request on its way to one server; reports its outcome exactly once."""

    __slots__ = (
        "_cancel_io",
        "_timer",
        "is_over",
        "overtime",
        "handler",
        "unread",
        "written",
    )

    def __init__(self, handler: AttemptHandler) -> None:
        self.handler = handler
        self.written = self.is_over = False
        self.overtime = False  # its time was up with an answer unread
        self._timer: asyncio.TimerHandle | None = None
        self._cancel_io: Callable[[], object] | None = None
        # Whether something of an answer waits to be read; nothing does while there is no connection.
        self.unread: Callable[[], bool] = lambda: False

    def set_timer(self, timer: asyncio.TimerHandle) -> None:
        self._timer = timer

    def carried_by(self, cancel_io: Callable[[], object]) -> None:
        """Note what stops the attempt where it is: its dial, or its connection."""
        self._cancel_io = cancel_io

    def end(self, result: Outcome, answer: ServerResponse | None = None) -> None:
        """Report the outcome, unless one was reported before."""
        if self.is_over:
            return
        self.is_over, self._cancel_io = True, None
        if self._timer is not None:
            self._timer.cancel()
        self.handler.attempt_ended(result, answer)

    def abort(self, result: Outcome) -> None:
        """Stop waiting: closing the connection is what tells the server."""
        if not self.is_over:
            cancel_io = self._cancel_io
            if cancel_io is not None:
                cancel_io()
            self.end(result)

    def timed_out(self) -> None:
        # Not all of it written: the server can't have begun, as it waits for the last byte.
        self.abort(Outcome.TIMEOUT if self.written else Outcome.CONNECT_FAILED)
