"""The queue of requests that cannot be sent yet, in order of priority.

A request waits because the concurrency limit is reached, or because no server of the subset can be picked for
it now. The queue is an addition to the paper.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Protocol

from workspond.policy.call import Call

# The maximum wait of a request, as a fraction of its latency objective. It is longer in the later tiers
# because giving up a request there wastes the work already done for it in the earlier tiers.
MAX_WAIT_FRACTION_FIRST_TIER = 0.08
MAX_WAIT_FRACTION_LATER_TIERS = 0.5


class PriorityFunction(Protocol):
    """A function that returns the priority of requests by their class and by whether they are over quota."""

    def __call__(self, class_name: str, *, over_quota: bool) -> float:
        """Return the priority; requests of higher priority are sent first."""


class RequestQueue:
    """Two first-in, first-out queues per class: one for requests within quota, one for those over quota."""

    def __init__(self, tier: int) -> None:
        """`tier` is the tier that this replica sends to; 0 is the tier that serves the clients."""
        self._max_wait_fraction = MAX_WAIT_FRACTION_LATER_TIERS if tier else MAX_WAIT_FRACTION_FIRST_TIER
        self._queues: dict[tuple[str, bool], deque[Call]] = {}  # by class name and whether over quota

    def queue_deadline_at_ms(self, call: Call) -> float:
        """Return when a request has to leave the queue, so that it can be answered within its objective."""
        max_wait_ms = self._max_wait_fraction * call.request_class.objective_ms
        return min(call.arrived_at_ms + max_wait_ms, call.deadline_at_ms)

    def add(self, call: Call) -> None:
        """Append a request to the queue of its class."""
        call.is_queued = True
        self._queues.setdefault((call.request_class.name, call.over_quota), deque()).append(call)

    def by_priority(self, priority: PriorityFunction) -> Iterator[deque[Call]]:
        """Yield the queues that are not empty, in descending order of priority."""
        if not self._queues:
            return
        priorities = {
            (class_name, over_quota): priority(class_name, over_quota=over_quota)
            for (class_name, over_quota), queue in self._queues.items()
            if queue
        }
        for key in sorted(priorities, key=priorities.__getitem__, reverse=True):
            yield self._queues[key]
