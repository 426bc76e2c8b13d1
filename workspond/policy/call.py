"""A request that is owed an answer, as the decisions see it."""

from __future__ import annotations

from workspond.policy.events import RequestReceived
from workspond.policy.server import Server
from workspond.policy.settings import RequestClass


class Call:
    """One request, its attempts so far and what it waits for."""

    __slots__ = (
        "arrived_ms",
        "attempts",
        "cls",
        "ends_ms",
        "first_run_ms",
        "id",
        "idle_ms",
        "last_server",
        "out",
        "over_share",
        "queued",
        "repeat_group",
        "sent_ms",
        "timer_token",
        "worth_until_ms",
    )

    def __init__(self, event: RequestReceived, cls: RequestClass, now: float) -> None:
        self.id, self.cls = event.id, cls
        self.over_share = False  # beyond its tenant's share
        self.arrived_ms, self.ends_ms = now, now + event.ttl_ms
        # Until when an answer is worth anything: past the aim often nothing, though the caller still waits.
        self.worth_until_ms = self.ends_ms if cls.late_worth else min(self.ends_ms, now + cls.aim_ms)
        self.attempts = 0
        self.out, self.sent_ms = False, now  # whether an attempt is out, and since when,
        self.idle_ms = 0.0  # on a connection that had idled for so long
        self.queued, self.timer_token = False, 0  # waits for room; the timer it waits for
        self.last_server: Server | None = None
        self.first_run_ms: float | None = None  # when the first attempt that may have run was sent,
        self.repeat_group: str | int | None = None  # and the group of servers that it went to
