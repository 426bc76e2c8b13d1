"""Admission control: which requests are shed, and which have to wait in the queue.

The fraction of requests to shed comes from the PI controller (equation 49 of the paper). Two things are added
to the paper: requests of the lowest priority are shed first, and the number of attempts in flight is limited
by Little's law (see `workspond.policy.concurrency_limit`).

Only the first tier, which serves the clients, has admission control. The later tiers admit every request, as
a rejection there would waste the work done in the earlier tiers.
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

RESERVED_FRACTION = 0.15  # part of the concurrency limit that only the class of highest priority may use


class AdmissionController:
    """Sheds load and applies the concurrency limit."""

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
        """Decide at random whether to shed a new request, and return the decision.

        Classes of the lowest priority are shed first. A class is shed in part if shedding all classes of
        lower priority does not reach the fraction to shed, but shedding this class too would exceed it.
        """
        shed_fraction = 0.0 if self._settings.tier else self._controller.shed_fraction(now_ms)
        if not shed_fraction:
            return False
        request_fraction = self._statistics.request_fraction
        priorities = {name: self.priority(name, over_quota=False) for name in self._objectives_ms}
        own_priority = self._priority_of(call)
        lower_priority_fraction = sum(
            request_fraction[name] for name, priority in priorities.items() if priority < own_priority
        )
        sample = self._rng.random() * request_fraction[call.request_class.name]
        return sample < shed_fraction - lower_priority_fraction

    def at_concurrency_limit(
        self, call: Call, in_flight: int, count_stalled_calls: Callable[[float], int], now_ms: float
    ) -> bool:
        """Return whether the request has to wait until fewer attempts are in flight.

        The later tiers have no limit.

        Args:
            call: The request to be sent.
            in_flight: The number of attempts of this replica in flight.
            count_stalled_calls: Takes the current time and returns how many of these attempts no server is
                working on.
            now_ms: The current time.
        """
        # The limit is computed in every tier because that also advances the time of the response rate.
        limit = concurrency_limit(self._controller, self._fleet.slice_size, now_ms)
        unreserved_limit = (1.0 - RESERVED_FRACTION) * limit
        if self._settings.tier or in_flight < unreserved_limit:
            return False
        # Stalled attempts are not counted: an attempt on a dropped connection puts no load on a server, but
        # would occupy a large part of a small limit until it times out. The drawback: where one class takes
        # far longer than the others, some of its attempts count as stalled and too many are admitted.
        active = in_flight - count_stalled_calls(now_ms)
        return active >= unreserved_limit and (active >= limit or not self._has_highest_priority(call))

    def _has_highest_priority(self, call: Call) -> bool:
        highest = max(self.priority(name, over_quota=False) for name in self._objectives_ms)
        return self._priority_of(call) >= highest

    def _priority_of(self, call: Call) -> float:
        return self.priority(call.request_class.name, over_quota=call.over_quota)

    def priority(self, class_name: str, *, over_quota: bool) -> float:
        """Return the priority of a class: the value of an answer divided by its expected delay in ms.

        The value is the priority weight from the settings, relative to the mean of the recent requests.

        Args:
            class_name: The name of the request class.
            over_quota: Whether the request exceeds its tenant's quota.
        """
        statistics = self._statistics
        value = statistics.priority_weight[class_name] / statistics.mean_priority_weight()
        # The class with the worst service gets a bonus, as a strict order by weight would starve it.
        if statistics.in_time_fraction[class_name] <= statistics.worst_in_time_fraction():
            value += self._settings.worst_class_weight / statistics.request_fraction[class_name]
        # Requests over quota get a lower priority, so that a tenant that floods the service waits longest.
        value *= self._settings.over_quota_value_fraction if over_quota else 1.0
        return value / max(1.0, self._expected_delay_ms(class_name))

    def _expected_delay_ms(self, class_name: str) -> float:
        """Return the mean delay of a class; before it is measured, the typical delay for its objective."""
        measured_ms = self._statistics.mean_delay_ms[class_name]
        return measured_ms or self._typical_delay.objective_ratio * self._objectives_ms[class_name]
