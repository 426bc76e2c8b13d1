"""A request that the node has accepted and not answered yet."""

from __future__ import annotations

import asyncio
from typing import Protocol

from workspond.downstream.interfaces import ResponseReceiver
from workspond.http.request import ClientRequest
from workspond.observability.attempt_record import BlockedAttempt, EndedAttempt
from workspond.upstream.send_guard import AttemptHistory


class RequestOwner(Protocol):
    """The registry of active requests, as a request uses it."""

    def abandon(self, request: ActiveRequest, reason: str) -> None:
        """End a request without sending a response to its receiver.

        Either the client has disconnected, or its connection answers the request itself.

        Args:
            request: The request.
            reason: A value of `AbandonReason`.
        """


class ActiveRequest:
    """A request that has been accepted and not answered yet, with its attempts.

    Attributes:
        key: The id that the node has assigned to the request and by which the policy identifies it.
        message: The request as the client sent it.
        receiver: Sends the response to the client.
        received_at_ms: When the last byte of the request was read.
        deadline_at_ms: When the request has to be answered.
        deadline_timer: The timer that fails the request at its deadline.
        attempts_started: How many attempts have been started.
        attempts_ended: How many of these have ended.
        history: Which attempts have been written to servers, and whether a server may have run one of them.
        attempt_records: How the attempts ended, for the log.
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
        """End the request without sending a response to its receiver.

        Args:
            reason: A value of `AbandonReason`.
        """
        self._owner.abandon(self, reason)
