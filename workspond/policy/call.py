"""The state that the policy keeps for a request that has no final answer yet."""

from __future__ import annotations

from workspond.policy.events import RequestReceived
from workspond.policy.server import Server
from workspond.policy.settings import RequestClass


class Call:
    """One request with its attempts.

    Attributes:
        id: The id that the node gave the request.
        request_class: The class of the request.
        arrived_at_ms: When the node received the request.
        deadline_at_ms: When the client stops waiting.
        useful_until_ms: When an answer loses all value: at the deadline, or at the latency objective if late
            answers have no value (`RequestClass.late_value_fraction` is 0).
        over_quota: Whether the request exceeds its tenant's quota.
        attempts: The number of attempts sent so far.
        attempt_in_flight: Whether an attempt is in flight.
        sent_at_ms: When the last attempt was sent; before the first attempt, when the request arrived.
        connection_idle_ms: How long the server's connections had been idle when the last attempt was sent; 0
            if attempts were in flight at the server, or if its idle connections were closed first.
        last_server: The server of the last attempt.
        first_possible_run_at_ms: When the first attempt that may have run was sent; None if no attempt can
            have run.
        deduplication_group: The group of servers that drops repeats of the first attempt that may have run.
        is_queued: Whether the request waits in the `RequestQueue`.
        timer_token: The token of the timer that the request waits for; 0 if none.
    """

    __slots__ = (
        "arrived_at_ms",
        "attempt_in_flight",
        "attempts",
        "connection_idle_ms",
        "deadline_at_ms",
        "deduplication_group",
        "first_possible_run_at_ms",
        "id",
        "is_queued",
        "last_server",
        "over_quota",
        "request_class",
        "sent_at_ms",
        "timer_token",
        "useful_until_ms",
    )

    def __init__(self, event: RequestReceived, request_class: RequestClass, now_ms: float) -> None:
        """Create the state of a request that was received at `now_ms`."""
        self.id = event.request_id
        self.request_class = request_class
        self.arrived_at_ms = now_ms
        self.deadline_at_ms = now_ms + event.ttl_ms
        self.useful_until_ms = (
            self.deadline_at_ms
            if request_class.late_value_fraction
            else min(self.deadline_at_ms, now_ms + request_class.objective_ms)
        )
        self.over_quota = False
        self.attempts = 0
        self.attempt_in_flight = False
        self.sent_at_ms = now_ms
        self.connection_idle_ms = 0.0
        self.last_server: Server | None = None
        self.first_possible_run_at_ms: float | None = None
        self.deduplication_group: str | int | None = None
        self.is_queued = False
        self.timer_token = 0
