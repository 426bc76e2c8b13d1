"""Rates, means and counts over recent time.

`EventRate` and `TimeWeightedMean` are exponential moving averages: what was recorded `t` milliseconds ago
counts with the weight `exp(-t / time_constant_ms)`. `SlidingWindowCounter` counts exactly.
"""

from __future__ import annotations

import math
from collections import deque

MIN_RATE_SPAN_S = 1.0  # a rate is never derived from less than this much time


class EventRate:
    """An exponential moving average of the number of events per second.

    Time starts with the first call of `record`.

    Attributes:
        events: Sum of the recorded events, each weighted by its age.
        span_s: Observed time, weighted by its age in the same way; it approaches the time constant.
    """

    __slots__ = ("_time_constant_ms", "_updated_at_ms", "events", "span_s")

    def __init__(self, time_constant_ms: float) -> None:
        """`time_constant_ms` is the age at which an event counts for 1/e."""
        self._time_constant_ms = time_constant_ms
        self._updated_at_ms = -math.inf
        self.events = 0.0
        self.span_s = 0.0

    def record(self, events: float, now_ms: float) -> None:
        """Add events at `now_ms`; 0 events only advance the time."""
        is_first = self._updated_at_ms == -math.inf
        elapsed_ms = 0.0 if is_first else max(0.0, now_ms - self._updated_at_ms)
        if elapsed_ms or is_first:
            self._updated_at_ms = now_ms
            decay = math.exp(-elapsed_ms / self._time_constant_ms)
            self.events *= decay
            self.span_s = self.span_s * decay + (1 - decay) * self._time_constant_ms / 1000.0
        self.events += events

    def per_s(self) -> float:
        """Return the rate as of the last `record`, in events per second."""
        return self.events / max(MIN_RATE_SPAN_S, self.span_s)


class TimeWeightedMean:
    """An exponential moving average of a value over time: each value counts for as long as it lasted.

    Attributes:
        value: The mean as of the last `record`.
    """

    __slots__ = ("_latest_value", "_time_constant_ms", "_updated_at_ms", "value")

    def __init__(self, time_constant_ms: float) -> None:
        """`time_constant_ms` is the age at which a value counts for 1/e."""
        self._time_constant_ms = time_constant_ms
        self._updated_at_ms = -math.inf
        self._latest_value = 0.0
        self.value = 0.0

    def record(self, value: float, now_ms: float) -> None:
        """Set the value that holds from `now_ms` on; the previous one counts up to `now_ms`."""
        if self._updated_at_ms == -math.inf:
            self.value = value
        else:
            decay = math.exp(min(0.0, self._updated_at_ms - now_ms) / self._time_constant_ms)
            self.value = self.value * decay + self._latest_value * (1.0 - decay)
        self._latest_value = value
        self._updated_at_ms = now_ms


class SlidingWindowCounter:
    """An exact count of the events in the last `window_ms` milliseconds, both ends included."""

    __slots__ = ("_times_ms", "_window_ms")

    def __init__(self, window_ms: float) -> None:
        """`window_ms` is the length of the window."""
        self._window_ms = window_ms
        self._times_ms: deque[float] = deque()

    def add(self, now_ms: float) -> None:
        """Count an event at `now_ms`."""
        self._times_ms.append(now_ms)
        self.count(now_ms)  # frees expired entries even if nobody ever reads the count

    def count(self, now_ms: float) -> int:
        """Return the number of events in the window that ends at `now_ms`."""
        while self._times_ms and self._times_ms[0] < now_ms - self._window_ms:
            self._times_ms.popleft()
        return len(self._times_ms)
