"""How fast a server is, by what this replica has measured of it.

Three things show that a server is slow: its latency relative to its peers', the queue that it reports, and
calls in flight that it has not answered for long. They are combined to a factor of its weight.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Relative latency: a server's latency over its peers', each as a ratio of the objective.
SLOW_LATENCY_RATIO = 1.5  # relative latency from which a server counts as slow
SLOW_LATENCY_EXPONENT = 4.0  # how steeply the weight of a slow server falls, so that it gets rest
MAX_LATENCY_RATIO = 10.0  # relative latency that one answer counts for at most
LATENCY_SAMPLES = 3.0  # answers over which relative latency is averaged
LATENCY_DECAY_MS = 10_000.0  # time constant with which relative latency returns to 1

# Reported queue: the requests that a server said were waiting there.
QUEUE_DECAY_MS = 5_000.0  # time constant with which a reported queue fades
QUEUE_EXPONENT = 3  # how steeply the weight of a server falls with its queue
MIN_QUEUE = 0.01  # requests; a reported queue that has faded to less counts as none

# Calls in flight, by their age as a ratio of the typical delay.
# A call makes its server look as slow as one answer would whose delay is the call's age over this ratio.
OVERDUE_AGE_RATIO = 1.5
STALLED_AGE_RATIO = 4.0  # an older call that later ones have overtaken is stalled: the server has lost it
MIN_OVERDUE_CHECK_MS = 1.0  # between two looks at an overdue call
STALLED_CHECK_DELAY_MS = 1.0  # after the moment at which a call counts as stalled

# A server's weight is worked out anew as soon as one of the things that it depends on has changed it by this
# fraction.
WEIGHT_TOLERANCE = 0.1


@dataclass(slots=True)
class CallInFlight:
    """A call that a server has been sent and has not answered."""

    sent_at_ms: float
    objective_ms: float  # the latency objective of its class


class ServerMeasurements:
    """What this replica has measured of one server.

    Attributes:
        calls_in_flight: The calls of this replica that are in flight, by request id, the oldest first.
        latest_answered_sent_at_ms: When the latest sent of the calls that the server answered was sent.
        reported_queue: The waiting requests of the server's last load report.
        reported_at_ms: When it reported them.
        relative_latency: The server's latency over its peers', averaged.
        relative_latency_at_ms: When it was last recorded.

    In the methods `objective_ratio` is the typical delay over the objective, of all servers' answers; 0 while
    there is none.
    """

    __slots__ = (
        "calls_in_flight",
        "latest_answered_sent_at_ms",
        "reported_queue",
        "reported_at_ms",
        "relative_latency",
        "relative_latency_at_ms",
    )

    def __init__(self, now_ms: float) -> None:
        self.calls_in_flight: dict[str, CallInFlight] = {}
        self.latest_answered_sent_at_ms = -math.inf
        self.reported_queue = 0.0
        self.reported_at_ms = now_ms
        self.relative_latency = 1.0
        self.relative_latency_at_ms = now_ms

    @property
    def in_flight(self) -> int:
        """The number of this replica's calls in flight."""
        return len(self.calls_in_flight)

    def record_latency(self, ratio: float, now_ms: float) -> None:
        """Record the delay of one answer over its peers' typical delay."""
        relative_latency = self._relative_latency_at(now_ms)
        sample = min(ratio, MAX_LATENCY_RATIO)
        self.relative_latency = relative_latency + (sample - relative_latency) / LATENCY_SAMPLES
        self.relative_latency_at_ms = now_ms

    def speed_factor(self, now_ms: float, objective_ratio: float) -> float:
        """Return the factor of the server's weight, 1 unless it is clearly slower than its peers."""
        slowness = SLOW_LATENCY_RATIO
        if self.relative_latency > SLOW_LATENCY_RATIO:
            slowness = max(self._relative_latency_at(now_ms), SLOW_LATENCY_RATIO)
        if self.calls_in_flight and objective_ratio and (call := self._oldest_unanswered()) is not None:
            age_ratio = (now_ms - call.sent_at_ms) / (objective_ratio * call.objective_ms)
            slowness = max(slowness, age_ratio / OVERDUE_AGE_RATIO)
        factor = 1.0
        if slowness > SLOW_LATENCY_RATIO:
            factor = math.pow(SLOW_LATENCY_RATIO / slowness, SLOW_LATENCY_EXPONENT)
        queue = self._queue_at(now_ms) if self.reported_queue else 0.0
        return factor / (1.0 + queue) ** QUEUE_EXPONENT if queue else factor

    def count_stalled_calls(self, now_ms: float, objective_ratio: float) -> int:
        """Count the calls in flight that the server cannot be working on, as far as can be told."""
        return sum(
            call.sent_at_ms < self.latest_answered_sent_at_ms
            and now_ms - call.sent_at_ms > STALLED_AGE_RATIO * objective_ratio * call.objective_ms
            for call in self.calls_in_flight.values()
        )

    def next_speed_change_at_ms(self, now_ms: float, objective_ratio: float) -> float:
        """Return when the speed factor or the stalled calls will have changed notably by time alone."""
        change_at_ms = math.inf
        relative_latency = 1.0
        if self.relative_latency > SLOW_LATENCY_RATIO:
            relative_latency = self._relative_latency_at(now_ms)
        if relative_latency > SLOW_LATENCY_RATIO:
            change_at_ms = self._latency_change_at_ms(relative_latency, now_ms)
        if self.reported_queue and (queue := self._queue_at(now_ms)):
            change_at_ms = min(change_at_ms, self._queue_change_at_ms(queue, now_ms))
        if self.calls_in_flight and objective_ratio:
            slowness = max(relative_latency, SLOW_LATENCY_RATIO)
            overdue_at_ms = self._overdue_change_at_ms(slowness, now_ms, objective_ratio)
            stalled_at_ms = self._next_stall_at_ms(now_ms, objective_ratio)
            change_at_ms = min(change_at_ms, overdue_at_ms, stalled_at_ms)
        return change_at_ms

    def _relative_latency_at(self, now_ms: float) -> float:
        decay = math.exp((self.relative_latency_at_ms - now_ms) / LATENCY_DECAY_MS)
        return 1.0 + (self.relative_latency - 1.0) * decay

    def _queue_at(self, now_ms: float) -> float:
        queue = self.reported_queue * math.exp((self.reported_at_ms - now_ms) / QUEUE_DECAY_MS)
        return queue if queue >= MIN_QUEUE else 0.0

    def _oldest_unanswered(self) -> CallInFlight | None:
        """Return the oldest call in flight that no later one has overtaken; None if there is none."""
        # A silent or hung server shows by its oldest call long before that times out. A call that later ones
        # have overtaken shows nothing of the server: its connection died, or it alone takes long. Counting
        # such calls, two dead connections kept two sound servers out of work for seconds. The price: a server
        # that answers few calls and loses the rest is noticed only when these time out.
        for call in self.calls_in_flight.values():
            if call.sent_at_ms >= self.latest_answered_sent_at_ms:
                return call
        return None

    @staticmethod
    def _latency_change_at_ms(relative_latency: float, now_ms: float) -> float:
        """Return when the decay of the relative latency will have changed the weight notably."""
        return (
            now_ms
            + WEIGHT_TOLERANCE
            * LATENCY_DECAY_MS
            * relative_latency
            / (relative_latency - 1.0)
            / SLOW_LATENCY_EXPONENT
        )

    @staticmethod
    def _queue_change_at_ms(queue: float, now_ms: float) -> float:
        """Return when the fading of the reported queue will have changed the weight notably."""
        return now_ms + WEIGHT_TOLERANCE * QUEUE_DECAY_MS * (1.0 + queue) / queue / QUEUE_EXPONENT

    def _overdue_change_at_ms(self, slowness: float, now_ms: float, objective_ratio: float) -> float:
        """Return when the oldest unanswered call will have changed the weight notably."""
        call = self._oldest_unanswered()
        if call is None:
            return math.inf
        overdue_at_ms = call.sent_at_ms + OVERDUE_AGE_RATIO * slowness * objective_ratio * call.objective_ms
        step_ms = WEIGHT_TOLERANCE / SLOW_LATENCY_EXPONENT * (now_ms - call.sent_at_ms)
        return max(overdue_at_ms, now_ms + max(MIN_OVERDUE_CHECK_MS, step_ms))

    def _next_stall_at_ms(self, now_ms: float, objective_ratio: float) -> float:
        """Return when the next of the overtaken calls will count as stalled."""
        next_at_ms = math.inf
        for call in self.calls_in_flight.values():
            stalled_at_ms = call.sent_at_ms + STALLED_AGE_RATIO * objective_ratio * call.objective_ms
            if call.sent_at_ms < self.latest_answered_sent_at_ms and now_ms <= stalled_at_ms:
                next_at_ms = min(next_at_ms, stalled_at_ms + STALLED_CHECK_DELAY_MS)
        return next_at_ms
