"""Slow start: a server that is warming up gets the weight of its capacity, and a token bucket.

The stated figures come from the rules in the settings; how the capacity of a server is estimated is ours.
"""

from __future__ import annotations

import math

from workspond.policy.moving_averages import TimeWeightedMean
from workspond.policy.retry_controller import RATE_WINDOW_MS, RetryController
from workspond.policy.server import Server
from workspond.policy.server_measurements import WEIGHT_TOLERANCE
from workspond.policy.settings import Settings

COLD_BUDGET_FRACTION = 0.5  # of the stated cold budget: what all replicas together use
# A server whose budget is used up is looked at again after this fraction of the wait for the next token, as
# the rate grows meanwhile ...
BUDGET_CHECK_FRACTION = 0.7
MIN_BUDGET_CHECK_MS = 20.0  # ... but not sooner than this, unless the wait itself is shorter,
MAX_BUDGET_CHECK_MS = 100.0  # ... nor later: a long wait ends early when the peers answer ten times as much
# A server may have no capacity at all at first: the step to its next look is that of at least this fraction.
MIN_STEP_CAPACITY_FRACTION = 0.01
MIN_CHECK_MS = 0.1  # before the next look, so that rounding errors do not cause looks without end


class SlowStart:
    """The capacity of servers that are warming up, and what this replica may send them."""

    def __init__(self, settings: Settings, controller: RetryController) -> None:
        self._settings = settings
        self._controller = controller
        self._max_objective_ms = max(request_class.objective_ms for request_class in settings.classes)
        # The fraction of the servers in service that is warm, over the time that the response rate is of.
        self._warm_fraction = TimeWeightedMean(RATE_WINDOW_MS)
        # The responses per ms of a warm server of weight 1, over the time in which a server warms up.
        self._capacity_per_ms = TimeWeightedMean(max(RATE_WINDOW_MS, settings.ramp_time_ms))

    def capacity_fraction(self, server: Server, now_ms: float) -> float:
        """Return the fraction of its capacity that a server certainly has by now."""
        settings = self._settings
        if server.started_at_ms is None or not settings.ramp_time_ms:
            return 1.0
        ramp = min(1.0, max(0.0, (now_ms - server.started_at_ms) / settings.ramp_time_ms))
        return settings.start_capacity + (1.0 - settings.start_capacity) * ramp

    def record_warm_fraction(self, fraction: float, now_ms: float) -> None:
        """Record what fraction of the subset's weight is available from now on."""
        self._warm_fraction.record(fraction, now_ms)

    def refill_slow_start_budget(
        self, server: Server, capacity_fraction: float, total_subset_weight: float, now_ms: float
    ) -> float:
        """Refill the budget that this replica has for a server that is warming up.

        Args:
            server: The server.
            capacity_fraction: Its capacity fraction by now.
            total_subset_weight: The weight of this replica's subset of all servers.
            now_ms: The time.

        Returns:
            The budget, in attempts.
        """
        capacity_per_ms = self._server_capacity_per_ms(server, total_subset_weight, now_ms)
        per_ms = COLD_BUDGET_FRACTION * self._settings.overload_factor * capacity_fraction * capacity_per_ms
        # Between two refills the rate grew steadily: what came in is that of the mean of both rates.
        mean_per_ms = (per_ms + (server.slow_start_budget_per_ms or per_ms)) / 2.0
        server.slow_start_budget_per_ms = per_ms
        max_tokens = max(1.0, per_ms * self._settings.overload_window_ms)
        return server.slow_start_budget.refill(mean_per_ms, max_tokens, now_ms)

    def _server_capacity_per_ms(self, server: Server, total_subset_weight: float, now_ms: float) -> float:
        """Estimate, from its peers' responses, the responses per ms of this replica's part of a warm server.

        The responses are taken over the weight that the peers had meanwhile. Over the weight of this moment,
        servers that all restart at once looked five times as capable as they were.
        """
        warm_weight = max(self._warm_fraction.value * total_subset_weight, server.subset_weight)
        responses_per_ms = self._controller.response_rate.per_s() / warm_weight / 1000.0
        self._capacity_per_ms.record(responses_per_ms, now_ms)
        # The mean too, as a lull takes nothing from what the servers are capable of.
        estimate_per_ms = max(responses_per_ms, self._capacity_per_ms.value) * server.subset_weight
        # A new replica has no responses to estimate from, and would never get any where all servers are cold.
        # A server that can answer within the objective at all works off one call in each.
        return max(estimate_per_ms, server.subset_weight / self._max_objective_ms)

    def next_change_at_ms(self, server: Server, capacity_fraction: float, now_ms: float) -> float:
        """Return when a server's capacity will have grown notably, or its budget may allow an attempt."""
        if capacity_fraction >= 1.0:
            return math.inf
        if server.slow_start_budget.tokens >= 1.0 or not server.slow_start_budget_per_ms:
            step = WEIGHT_TOLERANCE * max(capacity_fraction, MIN_STEP_CAPACITY_FRACTION)
            return now_ms + step * self._settings.ramp_time_ms + MIN_CHECK_MS
        # Not the whole wait: the rate grows as the server gets warmer, and as its peers answer more.
        wait_ms = (1.0 - server.slow_start_budget.tokens) / server.slow_start_budget_per_ms
        check_ms = min(max(MIN_BUDGET_CHECK_MS, BUDGET_CHECK_FRACTION * wait_ms), MAX_BUDGET_CHECK_MS)
        return now_ms + min(wait_ms, check_ms) + MIN_CHECK_MS
