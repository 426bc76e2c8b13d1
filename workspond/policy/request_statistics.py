"""Moving averages over recent requests: the typical delay of attempts, and statistics by request class."""

from __future__ import annotations

from collections.abc import Iterable

from workspond.policy.settings import RequestClass

AVERAGING_SAMPLES = 100.0  # number of attempts over which a mean of all servers is averaged


class TypicalDelay:
    """The mean delay of attempts, as a ratio of the latency objective of their classes.

    It is the arithmetic mean of the first `AVERAGING_SAMPLES` samples, and an exponential moving average
    afterwards.

    Attributes:
        objective_ratio: The mean of delay / objective; 0 before the first sample.
        samples: The number of samples so far, at most `AVERAGING_SAMPLES`.
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
    """The priority weight and moving averages of each request class, by the name of the class.

    Attributes:
        priority_weight: The priority weight of the class from the settings.
        request_fraction: The fraction of the recent requests that belong to the class.
        in_time_fraction: The fraction of the class's requests that were answered within the objective.
        mean_delay_ms: The mean delay of the class's successful attempts; 0 before the first.
    """

    def __init__(self, classes: Iterable[RequestClass], samples: float) -> None:
        """Create the statistics; they are averaged over `samples` requests."""
        self._samples = samples
        self.priority_weight = {
            request_class.name: request_class.priority_weight for request_class in classes
        }
        self.request_fraction = dict.fromkeys(self.priority_weight, 1.0 / len(self.priority_weight))
        self.in_time_fraction = dict.fromkeys(self.priority_weight, 1.0)
        self.mean_delay_ms = dict.fromkeys(self.priority_weight, 0.0)

    def record_request(self, name: str) -> None:
        """Record the arrival of a request of a class."""
        for class_name in self.request_fraction:
            self.request_fraction[class_name] += (
                (class_name == name) - self.request_fraction[class_name]
            ) / self._samples

    def record_end(self, name: str, *, in_time: bool) -> None:
        """Record the end of a request of a class, and whether it was answered within the objective."""
        self.in_time_fraction[name] += (in_time - self.in_time_fraction[name]) / self._samples

    def record_delay(self, name: str, delay_ms: float) -> None:
        """Record the delay of a successful attempt."""
        mean_ms = self.mean_delay_ms[name]
        self.mean_delay_ms[name] += (delay_ms - mean_ms) / (self._samples if mean_ms else 1.0)

    def worst_in_time_fraction(self) -> float:
        """Return the smallest in-time fraction of all classes."""
        return min(self.in_time_fraction.values())

    def mean_priority_weight(self) -> float:
        """Return the mean priority weight of recent requests."""
        return sum(
            self.request_fraction[name] * priority_weight
            for name, priority_weight in self.priority_weight.items()
        )
