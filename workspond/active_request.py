"""A request that the node has accepted and not answered yet."""

from __future__ import annotations

import asyncio
from typing import Protocol

from workspond.downstream.client_connection import ResponseReceiver
from workspond.http.request import ClientRequest
from workspond.observability.attempt_record import BlockedAttempt, EndedAttempt
from workspond.upstream.send_guard import AttemptHistory


class RequestOwner(Protocol):
    """Keeps the active requests."""

    def abandon(self, request: ActiveRequest, reason: str) -> None:
        """End a request that nobody waits for any more."""


class ActiveRequest:
    """A request that is owed its answer, with its attempts.

    Attributes:
        key: The node's own id of the request, which the policy knows it by.
        message: What the client sent.
        receiver: Who is given the answer.
        received_at_ms: When its last byte was read.
        deadline_at_ms: When it has to be answered.
        deadline_timer: Fails the request at its deadline.
        attempts_started: How many attempts have been begun.
        attempts_ended: How many of these have ended.
        history: What was written of it to servers.
        attempt_records: How its attempts ended, for the log.
    """

    __slots__ = (
        "_owner",
        "key",
        "message",
        "receiver",
        "received_at_ms",
        "deadline_at_ms",
        "deadline_timer",
        "attempts_started",
        "attempts_ended",
        "history",
        "attempt_records",
    )

    def __init__(
        self,
        owner: RequestOwner,
        key: str,
        message: ClientRequest,
        receiver: ResponseReceiver,
        deadline_at_ms: float,
    ) -> None:
        self._owner = owner
        self.key = key
        self.message = message
        self.receiver = receiver
        self.received_at_ms = message.received_at_ms
        self.deadline_at_ms = deadline_at_ms
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.attempts_started = 0
        self.attempts_ended = 0
        self.history = AttemptHistory()
        self.attempt_records: list[EndedAttempt | BlockedAttempt] = []

    def abandon(self, reason: str) -> None:
        """End the request, as nobody waits for its answer any more."""
        self._owner.abandon(self, reason)
