"""First sends that wait for room, those of most value first. The paper names no queue: ours."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator

from workspond.policy.call import Call

HOLD_SHARES = (0.08, 0.5)  # of its aim: how long a call may wait for room; deeper, giving up wastes more


class RequestQueue:
    """Waiting calls by class and by whether they go beyond their tenant's share."""

    def __init__(self) -> None:
        self._queues: dict[tuple[str, bool], deque[Call]] = {}

    def queue_deadline_at_ms(self, call: Call, tier: int) -> float:
        """Until when a call may wait: an answer within its aim must still be possible."""
        share = HOLD_SHARES[tier > 0]
        return min(call.arrived_at_ms + share * call.request_class.objective_ms, call.deadline_at_ms)

    def add(self, call: Call) -> None:
        """Let a call wait."""
        call.is_queued = True
        self._queues.setdefault((call.request_class.name, call.over_quota), deque()).append(call)

    def by_priority(self, value: Callable[[str, bool], float]) -> Iterator[deque[Call]]:
        """The queues that are not empty, that of most value first."""
        values = {key: value(*key) for key, queue in self._queues.items() if queue}
        for key in sorted(values, key=values.__getitem__, reverse=True):
            yield self._queues[key]
