"""Requests that wait for capacity below the concurrency limit, in order of priority.

The paper names no queue; this is an addition.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Protocol

from workspond.policy.call import Call

# How long a request may wait, as a fraction of its latency objective. It is short in the clients' tier (0);
# in the tiers behind it, giving a request up wastes the work that was done for it before.
MAX_WAIT_FRACTION_FIRST_TIER = 0.08
MAX_WAIT_FRACTION_LATER_TIERS = 0.5


class Priority(Protocol):
    """Returns the priority of the requests of a class that are within their tenants' quota, or over it."""

    def __call__(self, class_name: str, *, over_quota: bool) -> float:
        """Return the priority; a higher one goes first."""


class RequestQueue:
    """One first-in, first-out queue for each class, and a second one for its requests over quota."""

    def __init__(self, tier: int) -> None:
        """`tier` is the tier that this replica sends to, 0 being the clients' first."""
        self._max_wait_fraction = MAX_WAIT_FRACTION_LATER_TIERS if tier else MAX_WAIT_FRACTION_FIRST_TIER
        self._queues: dict[tuple[str, bool], deque[Call]] = {}  # by name of the class, and whether over quota

    def queue_deadline_at_ms(self, call: Call) -> float:
        """Until when a request may wait, so that an answer within its objective is still possible."""
        max_wait_ms = self._max_wait_fraction * call.request_class.objective_ms
        return min(call.arrived_at_ms + max_wait_ms, call.deadline_at_ms)

    def add(self, call: Call) -> None:
        """Append a request to its queue."""
        call.is_queued = True
        self._queues.setdefault((call.request_class.name, call.over_quota), deque()).append(call)

    def by_priority(self, priority: Priority) -> Iterator[deque[Call]]:
        """Yield the queues that are not empty, that of the highest priority first."""
        if not self._queues:
            return
        priorities = {
            (class_name, over_quota): priority(class_name, over_quota=over_quota)
            for (class_name, over_quota), queue in self._queues.items()
            if queue
        }
        for key in sorted(priorities, key=priorities.__getitem__, reverse=True):
            yield self._queues[key]
