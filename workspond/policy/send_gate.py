"""The checks of the operating rules before each attempt is sent.

docs/glossary.md lists the rules. The node checks them a second time, with independent records, when it writes
the attempt to a connection (`workspond.upstream.send_guard`).
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
    """Decides whether the rules allow a request to be sent to a server now."""

    def __init__(
        self,
        settings: Settings,
        open_requests: Container[str],
        retry_policy: RetryPolicy,
        fleet: Fleet,
        slow_start: SlowStart,
    ) -> None:
        """`open_requests` contains the ids of the requests that have no final answer yet."""
        self._tick_ms = settings.tick_ms
        self._max_attempts = settings.max_attempts
        self._open_requests = open_requests
        self._retry_policy = retry_policy
        self._fleet = fleet
        self._slow_start = slow_start

    def may_send(self, call: Call, server: Server, now_ms: float) -> bool:
        """Return whether the attempt may be sent.

        If it may, and the server is warming up, a token is taken from the server's budget.
        """
        return (
            self._can_be_answered(call, now_ms)
            and self._may_run_on(call, server, now_ms)
            and self._is_in_service(server)
            and self._within_retry_budget(call, now_ms)
            and self._take_from_slow_start_budget(server, now_ms)
        )

    def _can_be_answered(self, call: Call, now_ms: float) -> bool:
        """Check rule 1: the request has no final answer yet, no attempt in flight, and time left."""
        return (
            call.id in self._open_requests
            and not call.attempt_in_flight
            and call.deadline_at_ms - now_ms > self._tick_ms
        )

    def _may_run_on(self, call: Call, server: Server, now_ms: float) -> bool:
        """Check rule 2: another attempt is allowed and cannot cause a duplicate run.

        If an earlier attempt may have run, the server has to be in the same deduplication group.
        """
        if call.attempts >= self._max_attempts:
            return False
        if call.first_possible_run_at_ms is None:
            return True
        group = server.deduplication_group(call.request_class.deduplication_scope)
        return group == call.deduplication_group and self._retry_policy.may_be_repeated(call, now_ms)

    def _is_in_service(self, server: Server) -> bool:
        """Check rule 3: the server is listed, is still the same process, and is not draining."""
        return server.in_service and self._fleet.is_current(server)

    def _within_retry_budget(self, call: Call, now_ms: float) -> bool:
        """Check rule 5: a retry is within the retry budget, if the settings define one."""
        return not call.attempts or self._retry_policy.within_retry_budget(now_ms)

    def _take_from_slow_start_budget(self, server: Server, now_ms: float) -> bool:
        """Check rule 4: take a token from the budget of a server that is warming up.

        Returns:
            True if a token was taken or the server is warm; False if the budget has no token.
        """
        capacity_fraction = self._slow_start.capacity_fraction(server, now_ms)
        if capacity_fraction >= 1.0:
            return True
        total_weight = self._fleet.total_subset_weight
        if self._slow_start.refill_slow_start_budget(server, capacity_fraction, total_weight, now_ms) < 1.0:
            return False
        server.slow_start_budget.tokens -= 1.0
        return True
