"""Servers that start cold get what they can bear: a weight by warm-up, and a token bucket each.

Ours; the stated figures come from the rules in the settings.
"""

from __future__ import annotations

import math

from workspond.policy.moving_averages import TimeWeightedMean
from workspond.policy.retry_controller import RATE_WINDOW_MS, RetryController
from workspond.policy.server import WEIGHT_STEP, Server
from workspond.policy.settings import Settings

COLD_SHARE = 0.5  # of the stated cold budget that all copies together use
BUDGET_CHECK_SHARE = 0.7  # of the wait for a budget that is used up: after it there is another look,
BUDGET_CHECK_MS = 20.0  # but not so soon, where the wait is no shorter,
LONGEST_CHECK_MS = 100.0  # and no later: peers that answer ten times as much end a wait that was long
LEAST_WARMTH = 0.01  # that steps are measured by, as a server may have no capacity at all at first
LEAST_WAIT_MS = 0.1  # so that rounding errors bring no looks without end


class SlowStart:
    """How warm servers are, and what cold ones may be sent from here."""

    def __init__(self, settings: Settings, controller: RetryController) -> None:
        self._settings, self._controller = settings, controller
        self._longest_aim_ms = max(request_class.objective_ms for request_class in settings.classes)
        # Of the ready servers, what is warm, in the mean over the time that the answer rate is of; and the
        # calls a ms that a warm one answered, over the time in which one warms up.
        self._warm = TimeWeightedMean(RATE_WINDOW_MS)
        self._bears = TimeWeightedMean(max(RATE_WINDOW_MS, settings.ramp_time_ms))

    def capacity_fraction(self, server: Server, now_ms: float) -> float:
        """The share of its capacity that a server surely has by now."""
        settings = self._settings
        if server.started_at_ms is None or not settings.ramp_time_ms:
            return 1.0
        ramp = min(1.0, max(0.0, (now_ms - server.started_at_ms) / settings.ramp_time_ms))
        return settings.start_capacity + (1.0 - settings.start_capacity) * ramp

    def record_warm_fraction(self, share: float, now_ms: float) -> None:
        """Take what share of the ready servers' weight there is now."""
        self._warm.record(share, now_ms)

    def refill_cold_budget(self, server: Server, warmth: float, parts: float, now_ms: float) -> float:
        """This copy's part of a cold server's budget, in attempts; its capacity is guessed from its peers.

        From what they answered, over the weight they had meanwhile: over the weight they have now, servers
        that all start anew at once looked five times as able as they were. `parts` is what is this copy's to
        use of all servers.
        """
        warm = max(self._warm.value * parts, server.subset_weight)
        answered = self._controller.response_rate.per_s() / warm / 1000.0
        self._bears.record(answered, now_ms)
        bearable = (
            max(answered, self._bears.value) * server.subset_weight
        )  # a lull takes nothing from what they can
        # A new copy has no answers to guess from, and where all are cold it never got any. A server that can
        # answer within the aim at all works off a call in each.
        bearable = max(bearable, server.subset_weight / self._longest_aim_ms)
        per_ms = COLD_SHARE * self._settings.overload_factor * warmth * bearable
        # A server is looked at now and then: between two looks its budget grew at the mean of both rates.
        mean_per_ms = (per_ms + (server.cold_budget_per_ms or per_ms)) / 2.0
        server.cold_budget_per_ms = per_ms
        return server.cold_budget.refill(
            mean_per_ms, max(1.0, per_ms * self._settings.overload_window_ms), now_ms
        )

    def next_change_ms(self, server: Server, warmth: float, now_ms: float) -> float:
        """When a server will be warmer by more than a little, or may have a budget again."""
        if warmth >= 1.0:
            return math.inf
        if server.cold_budget.tokens >= 1.0 or not server.cold_budget_per_ms:
            return (
                now_ms + WEIGHT_STEP * max(warmth, LEAST_WARMTH) * self._settings.ramp_time_ms + LEAST_WAIT_MS
            )
        # Most of the way: what comes in grows as it gets warmer, and as its peers answer more.
        wait_ms = (1.0 - server.cold_budget.tokens) / server.cold_budget_per_ms
        check_ms = min(max(BUDGET_CHECK_MS, BUDGET_CHECK_SHARE * wait_ms), LONGEST_CHECK_MS)
        return now_ms + min(wait_ms, check_ms) + LEAST_WAIT_MS
