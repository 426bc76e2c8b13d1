"""Slow start: a server that is warming up gets a lower weight, and a token bucket limits its attempts.

The start capacity, the ramp time and the overload limits come from the settings. The settings state no
absolute capacity: it is estimated from the rate of responses, by a method of the project.
"""

from __future__ import annotations

import math

from workspond.policy.moving_averages import TimeWeightedMean
from workspond.policy.retry_controller import RATE_WINDOW_MS, RetryController
from workspond.policy.server import Server
from workspond.policy.server_measurements import WEIGHT_TOLERANCE
from workspond.policy.settings import Settings

# The fraction that all replicas together use of the attempts that the settings allow to a server that is
# warming up.
SLOW_START_BUDGET_FRACTION = 0.5
# A server without budget is checked again after this fraction of the wait for the next token, because the
# refill rate grows during the wait.
BUDGET_CHECK_FRACTION = 0.7
# Minimum time until a server without budget is checked, unless the wait for the next token is shorter.
MIN_BUDGET_CHECK_MS = 20.0
# Maximum time until a server without budget is checked. A long wait may end early, for example because the
# peers answer ten times as many attempts.
MAX_BUDGET_CHECK_MS = 100.0
# The time until the next check of a server with budget is computed from at least this capacity fraction,
# because the capacity may be 0 at first.
MIN_STEP_CAPACITY_FRACTION = 0.01
MIN_CHECK_MS = 0.1  # added to the time until each check, so that rounding errors cause no endless loop


class SlowStart:
    """Estimates the capacity of servers that are warming up, and limits the attempts sent to them."""

    def __init__(self, settings: Settings, controller: RetryController) -> None:
        self._settings = settings
        self._controller = controller
        self._max_objective_ms = max(request_class.objective_ms for request_class in settings.classes)
        # The available fraction of the subset's weight, averaged over the same time as the response rate,
        # because the rate is divided by it.
        self._available_fraction = TimeWeightedMean(RATE_WINDOW_MS)
        # The responses per ms of a warm server of weight 1, averaged over at least the time of a ramp.
        self._capacity_per_ms = TimeWeightedMean(max(RATE_WINDOW_MS, settings.ramp_time_ms))

    def capacity_fraction(self, server: Server, now_ms: float) -> float:
        """Return the fraction of its full capacity that a server has at `now_ms` by the settings."""
        settings = self._settings
        if server.started_at_ms is None or not settings.ramp_time_ms:
            return 1.0
        ramp = min(1.0, max(0.0, (now_ms - server.started_at_ms) / settings.ramp_time_ms))
        return settings.start_capacity + (1.0 - settings.start_capacity) * ramp

    def record_available_fraction(self, fraction: float, now_ms: float) -> None:
        """Record the fraction of the subset's total weight that may get attempts from `now_ms` on.

        The available weight is the sum of the effective weights of the servers that have budget or are warm.
        """
        self._available_fraction.record(fraction, now_ms)

    def refill_slow_start_budget(
        self, server: Server, capacity_fraction: float, total_subset_weight: float, now_ms: float
    ) -> float:
        """Refill this replica's budget of attempts to a server that is warming up.

        Args:
            server: The server.
            capacity_fraction: The current capacity fraction of the server.
            total_subset_weight: The sum of the subset weights of the servers in this replica's subset.
            now_ms: The current time in ms.

        Returns:
            The budget, in attempts.
        """
        capacity_per_ms = self._server_capacity_per_ms(server, total_subset_weight, now_ms)
        per_ms = (
            SLOW_START_BUDGET_FRACTION * self._settings.overload_factor * capacity_fraction * capacity_per_ms
        )
        # The rate has grown steadily since the last refill, so the refill uses the mean of both rates.
        mean_per_ms = (per_ms + (server.slow_start_budget_per_ms or per_ms)) / 2.0
        server.slow_start_budget_per_ms = per_ms
        max_tokens = max(1.0, per_ms * self._settings.overload_window_ms)
        return server.slow_start_budget.refill(mean_per_ms, max_tokens, now_ms)

    def _server_capacity_per_ms(self, server: Server, total_subset_weight: float, now_ms: float) -> float:
        """Estimate the responses per ms that this replica would get from the server if it were warm.

        The estimate is the rate of all responses, divided by the mean weight that was available while that
        rate was measured. With the weight available now as the divisor, the estimate was five times too high
        when all servers restarted at once.
        """
        available_weight = max(self._available_fraction.value * total_subset_weight, server.subset_weight)
        responses_per_ms = self._controller.response_rate.per_s() / available_weight / 1000.0
        self._capacity_per_ms.record(responses_per_ms, now_ms)
        # The mean is a lower bound, because low traffic does not reduce the servers' capacity.
        estimate_per_ms = max(responses_per_ms, self._capacity_per_ms.value) * server.subset_weight
        # A new replica has no responses to estimate from, and would never get any if all servers were
        # warming up. A server that can answer within the longest objective at all answers at least one
        # attempt in that time.
        return max(estimate_per_ms, server.subset_weight / self._max_objective_ms)

    def next_change_at_ms(self, server: Server, capacity_fraction: float, now_ms: float) -> float:
        """Return when a server's capacity will have grown notably, or its budget may allow an attempt.

        The result is infinite if the server is warm.
        """
        if capacity_fraction >= 1.0:
            return math.inf
        if server.slow_start_budget.tokens >= 1.0 or not server.slow_start_budget_per_ms:
            step = WEIGHT_TOLERANCE * max(capacity_fraction, MIN_STEP_CAPACITY_FRACTION)
            return now_ms + step * self._settings.ramp_time_ms + MIN_CHECK_MS
        # The check comes before the end of the wait, because the rate grows as the server warms up and as its
        # peers answer more attempts.
        wait_ms = (1.0 - server.slow_start_budget.tokens) / server.slow_start_budget_per_ms
        check_ms = min(max(MIN_BUDGET_CHECK_MS, BUDGET_CHECK_FRACTION * wait_ms), MAX_BUDGET_CHECK_MS)
        return now_ms + min(wait_ms, check_ms) + MIN_CHECK_MS
