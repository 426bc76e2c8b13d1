"""Admission control in the clients' tier: which requests are shed, and which have to wait.

The fraction to shed comes from the PI controller (equation 49 of the paper). Additions to the paper: it is
taken from the requests of the lowest priority first, and the attempts in flight are limited by Little's law
(see `workspond.policy.concurrency_limit`). The tiers behind the first admit everything, as a rejection there
would waste the work done in the tiers before.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from workspond.policy.call import Call
from workspond.policy.concurrency_limit import concurrency_limit
from workspond.policy.fleet import Fleet
from workspond.policy.request_statistics import ClassStatistics, TypicalDelay
from workspond.policy.retry_controller import RetryController
from workspond.policy.settings import Settings

RESERVED_FRACTION = 0.15  # of the concurrency limit is reserved for the class of the highest priority


class AdmissionController:
    """Sheds load, and applies the concurrency limit."""

    def __init__(
        self,
        settings: Settings,
        controller: RetryController,
        statistics: ClassStatistics,
        fleet: Fleet,
        *,
        typical_delay: TypicalDelay,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._controller = controller
        self._statistics = statistics
        self._fleet = fleet
        self._typical_delay = typical_delay
        self._rng = rng
        self._objectives_ms = {
            request_class.name: request_class.objective_ms for request_class in settings.classes
        }

    def should_shed(self, call: Call, now_ms: float) -> bool:
        """Draw whether a new request is shed.

        The fraction to shed is taken from the requests of the lowest priority first. A class is shed in part
        when the classes of lower priority do not make up the fraction.
        """
        shed_fraction = 0.0 if self._settings.tier else self._controller.shed_fraction(now_ms)
        if not shed_fraction:
            return False
        request_fraction = self._statistics.request_fraction
        priorities = {name: self.priority(name, over_quota=False) for name in self._objectives_ms}
        own_priority = self._priority_of(call)
        lower_fraction = sum(
            request_fraction[name] for name, priority in priorities.items() if priority < own_priority
        )
        drawn = self._rng.random() * request_fraction[call.request_class.name]
        return drawn < shed_fraction - lower_fraction

    def at_concurrency_limit(
        self, call: Call, in_flight: int, count_stalled_calls: Callable[[float], int], now_ms: float
    ) -> bool:
        """Whether the request has to wait until fewer attempts are in flight; never behind the first tier.

        Args:
            call: The request to be sent.
            in_flight: Attempts of this replica in flight.
            count_stalled_calls: Counts those of them that no server is working on any more.
            now_ms: The present moment.
        """
        # Computed in each tier, as it advances the time of the response rate.
        limit = concurrency_limit(self._controller, self._fleet.slice_size, now_ms)
        unreserved_limit = (1.0 - RESERVED_FRACTION) * limit
        if self._settings.tier or in_flight < unreserved_limit:
            return False
        # Attempts on dropped connections do not load a server. They would use up a good part of a small limit
        # until they time out. Where one class takes far longer than the others, a few of its attempts are
        # taken for stalled and too many are admitted.
        active = in_flight - count_stalled_calls(now_ms)
        return active >= unreserved_limit and (active >= limit or not self._has_highest_priority(call))

    def _has_highest_priority(self, call: Call) -> bool:
        highest = max(self.priority(name, over_quota=False) for name in self._objectives_ms)
        return self._priority_of(call) >= highest

    def _priority_of(self, call: Call) -> float:
        return self.priority(call.request_class.name, over_quota=call.over_quota)

    def priority(self, class_name: str, *, over_quota: bool) -> float:
        """Return the value of an answer to a class for each millisecond that it takes.

        The value is the priority weight from the settings, relative to the mean of the recent requests.
        """
        statistics = self._statistics
        value = statistics.priority_weight[class_name] / statistics.mean_priority_weight()
        # The class that is served worst gets a bonus: a strict order of weights would starve it.
        if statistics.in_time_fraction[class_name] <= statistics.worst_in_time_fraction():
            value += self._settings.worst_class_weight / statistics.request_fraction[class_name]
        # A tenant that floods the service waits behind the others.
        value *= self._settings.over_quota_value_fraction if over_quota else 1.0
        return value / max(1.0, self._expected_delay_ms(class_name))

    def _expected_delay_ms(self, class_name: str) -> float:
        """Return the measured delay of a class, or the usual one for its objective before that."""
        measured_ms = self._statistics.mean_delay_ms[class_name]
        return measured_ms or self._typical_delay.objective_ratio * self._objectives_ms[class_name]
