"""The checks that each attempt passes before it is sent.

They enforce the rules of the protocol page, which docs/glossary.md lists. The node checks the rules a second
time, with records of its own, when it writes the attempt to its connection (`workspond.upstream.send_guard`).
"""

from __future__ import annotations

from collections.abc import Container

from workspond.policy.call import Call
from workspond.policy.fleet import Fleet
from workspond.policy.retry_policy import RetryPolicy
from workspond.policy.server import Server
from workspond.policy.settings import Settings
from workspond.policy.slow_start import SlowStart


class SendGate:
    """Decides whether the rules let a request be sent to a server now."""

    def __init__(
        self,
        settings: Settings,
        open_requests: Container[str],
        retry_policy: RetryPolicy,
        fleet: Fleet,
        slow_start: SlowStart,
    ) -> None:
        """`open_requests` holds the ids of the requests that have no final answer yet."""
        self._tick_ms = settings.tick_ms
        self._max_attempts = settings.max_attempts
        self._open_requests = open_requests
        self._retry_policy = retry_policy
        self._fleet = fleet
        self._slow_start = slow_start

    def may_send(self, call: Call, server: Server, now_ms: float) -> bool:
        """Whether the attempt may be sent; if so, it is taken from the budget of a server that warms up."""
        return (
            self._can_be_answered(call, now_ms)
            and self._may_run_on(call, server, now_ms)
            and self._is_in_service(server)
            and self._within_retry_budget(call, now_ms)
            and self._take_from_cold_budget(server, now_ms)
        )

    def _can_be_answered(self, call: Call, now_ms: float) -> bool:
        """Rule 1: the request has no final answer yet, no attempt in flight, and time left."""
        return (
            call.id in self._open_requests
            and not call.attempt_in_flight
            and call.deadline_at_ms - now_ms > self._tick_ms
        )

    def _may_run_on(self, call: Call, server: Server, now_ms: float) -> bool:
        """Rule 2: one more attempt is allowed, and the server drops it if an earlier one may have run."""
        if call.attempts >= self._max_attempts:
            return False
        if call.first_possible_run_at_ms is None:
            return True
        group = server.deduplication_group(call.request_class.deduplication_scope)
        return group == call.deduplication_group and self._retry_policy.may_be_repeated(call, now_ms)

    def _is_in_service(self, server: Server) -> bool:
        """Rule 3: the server is listed, still as the same process, and does not drain."""
        return server.in_service and self._fleet.is_current(server)

    def _within_retry_budget(self, call: Call, now_ms: float) -> bool:
        """Rule 5: a retry stays within the retry budget, if the settings state one."""
        return not call.attempts or self._retry_policy.within_retry_budget(now_ms)

    def _take_from_cold_budget(self, server: Server, now_ms: float) -> bool:
        """Rule 4: a server that is warming up gets no more than its token bucket allows."""
        capacity_fraction = self._slow_start.capacity_fraction(server, now_ms)
        if capacity_fraction >= 1.0:
            return True
        total_weight = self._fleet.total_subset_weight
        if self._slow_start.refill_slow_start_budget(server, capacity_fraction, total_weight, now_ms) < 1.0:
            return False
        server.slow_start_budget.tokens -= 1.0
        return True
