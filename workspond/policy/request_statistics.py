"""How fast requests are answered, and how each class of them fares."""

from __future__ import annotations

from collections.abc import Iterable

from workspond.policy.settings import RequestClass

PEER_SAMPLES = 100.0  # answers over which what is usual among all servers is averaged


class TypicalDelay:
    """The usual delay of an answer, as a share of its class's aim."""

    __slots__ = ("objective_ratio", "samples")

    def __init__(self) -> None:
        self.samples = self.objective_ratio = 0.0

    def record(self, share: float) -> None:
        """Take the delay of one answer over its aim."""
        self.samples = min(self.samples + 1.0, PEER_SAMPLES)
        self.objective_ratio += (share - self.objective_ratio) / self.samples


class ClassStatistics:
    """How each class of requests fares, in averages over so many requests."""

    def __init__(self, classes: Iterable[RequestClass], samples: float) -> None:
        self._samples, self.priority_weight = (
            samples,
            {request_class.name: request_class.priority_weight for request_class in classes},
        )
        self.request_fraction = dict.fromkeys(
            self.priority_weight, 1.0 / len(self.priority_weight)
        )  # share of the requests
        self.in_time_fraction = dict.fromkeys(self.priority_weight, 1.0)  # share answered within the aim
        self.mean_delay_ms = dict.fromkeys(self.priority_weight, 0.0)  # 0: not measured yet

    def record_request(self, name: str) -> None:
        for other in self.request_fraction:
            self.request_fraction[other] += ((other == name) - self.request_fraction[other]) / self._samples

    def record_end(self, name: str, in_time: bool) -> None:
        self.in_time_fraction[name] += (in_time - self.in_time_fraction[name]) / self._samples

    def record_delay(self, name: str, delay_ms: float) -> None:
        mean_ms = self.mean_delay_ms[name]
        self.mean_delay_ms[name] += (delay_ms - mean_ms) / (self._samples if mean_ms else 1.0)

    def worst_in_time_fraction(self) -> float:
        """The least share answered in time."""
        return min(self.in_time_fraction.values())

    def mean_priority_weight(self) -> float:
        """Of a request."""
        return sum(self.request_fraction[name] * worth for name, worth in self.priority_weight.items())
