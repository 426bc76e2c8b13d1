"""A request that is owed an answer, as the decisions see it."""

from __future__ import annotations

from workspond.policy.events import RequestReceived
from workspond.policy.server import Server
from workspond.policy.settings import RequestClass


class Call:
    """One request, its attempts so far and what it waits for."""

    __slots__ = (
        "arrived_at_ms",
        "attempts",
        "request_class",
        "deadline_at_ms",
        "first_possible_run_at_ms",
        "id",
        "connection_idle_ms",
        "last_server",
        "attempt_in_flight",
        "over_quota",
        "is_queued",
        "deduplication_group",
        "sent_at_ms",
        "timer_token",
        "useful_until_ms",
    )

    def __init__(self, event: RequestReceived, request_class: RequestClass, now_ms: float) -> None:
        self.id, self.request_class = event.request_id, request_class
        self.over_quota = False  # beyond its tenant's share
        self.arrived_at_ms, self.deadline_at_ms = now_ms, now_ms + event.ttl_ms
        # Until when an answer is worth anything: past the aim often nothing, though the caller still waits.
        self.useful_until_ms = (
            self.deadline_at_ms
            if request_class.late_fraction
            else min(self.deadline_at_ms, now_ms + request_class.objective_ms)
        )
        self.attempts = 0
        self.attempt_in_flight, self.sent_at_ms = False, now_ms  # whether an attempt is out, and since when,
        self.connection_idle_ms = 0.0  # on a connection that had idled for so long
        self.is_queued, self.timer_token = False, 0  # waits for room; the timer it waits for
        self.last_server: Server | None = None
        self.first_possible_run_at_ms: float | None = (
            None  # when the first attempt that may have run was sent,
        )
        self.deduplication_group: str | int | None = None  # and the group of servers that it went to
