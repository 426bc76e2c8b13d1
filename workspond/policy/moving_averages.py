"""Rates, means and counts over recent time.

`EventRate` and `TimeWeightedMean` are exponential moving averages: a value recorded `t` milliseconds ago has
the weight `exp(-t / time_constant_ms)`. `SlidingWindowCounter` counts events exactly.
"""

from __future__ import annotations

import math
from collections import deque

MIN_RATE_SPAN_S = 1.0  # a rate is computed over at least this time


class EventRate:
    """An exponential moving average of the number of events per second.

    The observed time begins with the first call of `record`.

    Attributes:
        events: The sum of the recorded events, each weighted by its age as of the last `record`.
        span_s: The observed time in seconds, weighted by age like the events; it approaches the time
            constant.
    """

    __slots__ = ("_time_constant_ms", "_updated_at_ms", "events", "span_s")

    def __init__(self, time_constant_ms: float) -> None:
        """Create a rate in which an event of the age `time_constant_ms` has the weight 1/e."""
        self._time_constant_ms = time_constant_ms
        self._updated_at_ms = -math.inf
        self.events = 0.0
        self.span_s = 0.0

    def record(self, events: float, now_ms: float) -> None:
        """Add events at `now_ms`; with 0 events, only the time advances."""
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
    """An exponential moving average of a value over time: each value is weighted by its duration and its age.

    Attributes:
        value: The mean as of the last `record`.
    """

    __slots__ = ("_latest_value", "_time_constant_ms", "_updated_at_ms", "value")

    def __init__(self, time_constant_ms: float) -> None:
        """Create a mean in which a value of the age `time_constant_ms` has the weight 1/e."""
        self._time_constant_ms = time_constant_ms
        self._updated_at_ms = -math.inf
        self._latest_value = 0.0
        self.value = 0.0

    def record(self, value: float, now_ms: float) -> None:
        """Set the value from `now_ms` on; the previous value counts up to `now_ms`."""
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
        """Create a counter with a window of `window_ms` milliseconds."""
        self._window_ms = window_ms
        self._times_ms: deque[float] = deque()

    def add(self, now_ms: float) -> None:
        """Count an event at `now_ms`."""
        self._times_ms.append(now_ms)
        self.count(now_ms)  # removes expired entries even if the count is never read

    def count(self, now_ms: float) -> int:
        """Return the number of events in the window that ends at `now_ms`."""
        while self._times_ms and self._times_ms[0] < now_ms - self._window_ms:
            self._times_ms.popleft()
        return len(self._times_ms)
