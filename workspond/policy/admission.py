"""Which first sends are shed or have to wait in the clients' tier.

The share to shed is the PI loop's (the paper's equation 49). Ours: it is taken from what is worth least, and
calls in flight are limited by Little's law. Deeper in, a refusal would waste the work done above.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from workspond.policy.call import Call
from workspond.policy.fleet import Fleet
from workspond.policy.request_statistics import ClassStatistics, TypicalDelay
from workspond.policy.retry_controller import RetryController
from workspond.policy.settings import Settings

WINDOW_SHARE = 0.3  # of the aim: the delay that first sends may reach, by Little's law,
ADDED = 2.0  # with so many calls a server of this copy's part added, so that copies' windows grow alike
FEW = 3.0  # while the loop allows retries a window opens to so many calls, as a copy's few calls bunch
START = 4.0  # calls a server, at first
RESERVE = 0.15  # of the window is kept for the class of most value


def window(controller: RetryController, part: float, now_ms: float) -> float:
    """How many calls may be outstanding from a copy whose part of the fleet is so many servers."""
    answers = controller.response_rate
    if answers.span_s < 1.0:  # sulcast-later overload: unbounded at first, a tier choked at 2 s
        return START * part + answers.events
    answers.record(0.0, now_ms)
    # i35d8eb: with nothing added it spirals down where the normal delay is over its share of the aim.
    # Else what is added alone keeps the delay over the target: rota, two calls to boxes that serve one.
    added = ADDED * part / max(1.0, controller.delay_over_target())
    usual = added + answers.per_s() * WINDOW_SHARE * controller.mean_objective_s()
    return usual + max(0.0, FEW - usual) * controller.retry_fraction()


class AdmissionController:
    """Load shedding and the limit of calls in flight."""

    def __init__(
        self,
        settings: Settings,
        controller: RetryController,
        record: ClassStatistics,
        fleet: Fleet,
        usual: TypicalDelay,
        rng: random.Random,
    ) -> None:
        self._settings, self._controller, self._record = settings, controller, record
        self._fleet, self._usual, self._rng = fleet, usual, rng
        self._objectives_ms = {
            request_class.name: request_class.objective_ms for request_class in settings.classes
        }

    def concurrency_limit(self, part: float, now_ms: float) -> float:
        """How many calls may be outstanding from a copy whose part of the fleet is so many servers."""
        return window(self._controller, part, now_ms)

    def should_shed(self, call: Call, now_ms: float) -> bool:
        """Whether the loop has this call shed: it takes its share from those of least value first."""
        shed = 0.0 if self._settings.tier else self._controller.shed_fraction(now_ms)
        if not shed:
            return False
        values = {name: self.priority(name, False) for name in self._objectives_ms}
        own = self.priority(call.request_class.name, call.over_quota)
        less = sum(self._record.request_fraction[name] for name, value in values.items() if value < own)
        return self._rng.random() * self._record.request_fraction[call.request_class.name] < shed - less

    def at_concurrency_limit(
        self, call: Call, inflight: int, lost_calls: Callable[[float], int], now_ms: float
    ) -> bool:
        """Whether the clients' tier has as many calls outstanding as the delay target bears."""
        room = self.concurrency_limit(self._fleet.slice_size, now_ms)
        if self._settings.tier or inflight < (1.0 - RESERVE) * room:
            return False
        # sulcast-porto-alegre silent+leave+brisk 12: of a window of 8 two stood on connections that had died.
        # It lets in a few too many where a class has far longer calls than the rest of them.
        working = inflight - lost_calls(now_ms)
        best = max(self.priority(name, False) for name in self._objectives_ms)
        full = working >= (1.0 - RESERVE) * room
        return full and (working >= room or self.priority(call.request_class.name, call.over_quota) < best)

    def priority(self, name: str, over_quota: bool) -> float:
        """What an answer to a class is worth to the operators, for the time that it takes."""
        record, settings = self._record, self._settings
        worth = record.priority_weight[name] / record.mean_priority_weight()
        if (
            record.in_time_fraction[name] <= record.worst_in_time_fraction()
        ):  # strict order of worth would starve it
            worth += settings.worst_class_weight / record.request_fraction[name]
        worth *= settings.over_quota_fraction if over_quota else 1.0  # a flooding tenant waits behind
        return worth / max(
            1.0, record.mean_delay_ms[name] or self._usual.objective_ratio * self._objectives_ms[name]
        )
