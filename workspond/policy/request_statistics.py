"""Moving averages over recent requests: the usual delay, and how each class of requests is served."""

from __future__ import annotations

from collections.abc import Iterable

from workspond.policy.settings import RequestClass

AVERAGING_SAMPLES = 100.0  # responses over which a figure of the whole fleet is averaged


class TypicalDelay:
    """The usual delay of an attempt, relative to the latency objective of its class.

    It is the plain mean up to `AVERAGING_SAMPLES` samples and an exponential moving average afterwards.

    Attributes:
        objective_ratio: Mean of delay / objective; 0 before the first sample.
        samples: Samples so far, `AVERAGING_SAMPLES` at most.
    """

    __slots__ = ("objective_ratio", "samples")

    def __init__(self) -> None:
        self.samples = 0.0
        self.objective_ratio = 0.0

    def record(self, objective_ratio: float) -> None:
        """Add a sample: the delay of one attempt divided by the objective of its class."""
        self.samples = min(self.samples + 1.0, AVERAGING_SAMPLES)
        self.objective_ratio += (objective_ratio - self.objective_ratio) / self.samples


class ClassStatistics:
    """Moving averages for each class of requests, all by the name of the class.

    Attributes:
        priority_weight: The weight from the settings.
        request_fraction: Fraction of the recent requests that belong to the class.
        in_time_fraction: Fraction of its requests that were answered within the objective.
        mean_delay_ms: Mean delay of its successful attempts; 0 before the first.
    """

    def __init__(self, classes: Iterable[RequestClass], samples: float) -> None:
        """`samples` is the number of requests over which the figures are averaged."""
        self._samples = samples
        self.priority_weight = {
            request_class.name: request_class.priority_weight for request_class in classes
        }
        self.request_fraction = dict.fromkeys(self.priority_weight, 1.0 / len(self.priority_weight))
        self.in_time_fraction = dict.fromkeys(self.priority_weight, 1.0)
        self.mean_delay_ms = dict.fromkeys(self.priority_weight, 0.0)

    def record_request(self, name: str) -> None:
        """Count a request of a class that has arrived."""
        for other in self.request_fraction:
            self.request_fraction[other] += ((other == name) - self.request_fraction[other]) / self._samples

    def record_end(self, name: str, *, in_time: bool) -> None:
        """Count a request of a class that has ended, and whether it was answered within the objective."""
        self.in_time_fraction[name] += (in_time - self.in_time_fraction[name]) / self._samples

    def record_delay(self, name: str, delay_ms: float) -> None:
        """Add the delay of a successful attempt."""
        mean_ms = self.mean_delay_ms[name]
        self.mean_delay_ms[name] += (delay_ms - mean_ms) / (self._samples if mean_ms else 1.0)

    def worst_in_time_fraction(self) -> float:
        """Return the smallest fraction of requests answered in time, over all classes."""
        return min(self.in_time_fraction.values())

    def mean_priority_weight(self) -> float:
        """Return the mean priority weight of the recent requests."""
        return sum(
            self.request_fraction[name] * priority_weight
            for name, priority_weight in self.priority_weight.items()
        )
