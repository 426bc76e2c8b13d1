"""A request that has not been answered yet, as the policy sees it."""

from __future__ import annotations

from workspond.policy.events import RequestReceived
from workspond.policy.server import Server
from workspond.policy.settings import RequestClass


class Call:
    """One request with its attempts.

    Attributes:
        id: The node's id of the request.
        request_class: The class of the request.
        arrived_at_ms: When the node received it.
        deadline_at_ms: When its client stops waiting.
        useful_until_ms: When an answer loses all value. This is the latency objective if late answers have
            none (`RequestClass.late_value_fraction` is 0), although the client waits until the deadline.
        over_quota: Whether it goes beyond its tenant's quota.
        attempts: Attempts sent so far.
        attempt_in_flight: Whether an attempt is in flight.
        sent_at_ms: When the last attempt was sent.
        connection_idle_ms: How long the connection of the last attempt had been idle before.
        last_server: The server of the last attempt.
        first_possible_run_at_ms: When the first attempt was sent that may have run; None if none may have.
        deduplication_group: The group of servers that drops repeats of that first attempt.
        is_queued: Whether it waits in the `RequestQueue`.
        timer_token: The token of the timer that it waits for; 0 if none.
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
        """Describe a request that was received at `now_ms`."""
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
