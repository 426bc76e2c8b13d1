"""This replica's measurements of a server, and the speed factor derived from them.

A server counts as slow because of its latency relative to its peers, the queue length that it reports, or the
age of its calls in flight. The three signals are combined into one factor of the server's weight.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# The relative latency of a server is its latency divided by that of its peers. Each latency is a ratio of the
# objective.
SLOW_LATENCY_RATIO = 1.5  # a server with a higher relative latency counts as slow
SLOW_LATENCY_EXPONENT = 4.0  # a steep decrease of the weight lets a slow server recover
MAX_LATENCY_RATIO = 10.0  # upper bound of one sample of the relative latency
LATENCY_SAMPLES = 3.0  # number of samples over which the relative latency is averaged
LATENCY_DECAY_MS = 10_000.0  # time constant of the decay of the relative latency to 1

# The reported queue of a server is the number of waiting requests in its last load report.
QUEUE_DECAY_MS = 5_000.0  # time constant of the decay of the reported queue to 0
QUEUE_EXPONENT = 3  # the weight is divided by (1 + queue) to this power
MIN_QUEUE = 0.01  # a queue that has decayed to fewer requests counts as empty

# The age ratio of a call in flight is its age divided by the typical delay.
# The oldest call not overtaken counts like a relative latency of its age ratio divided by this.
OVERDUE_AGE_RATIO = 1.5
# A call with a higher age ratio counts as stalled, that is lost by its server, if a later call was answered.
STALLED_AGE_RATIO = 4.0
MIN_OVERDUE_CHECK_MS = 1.0  # minimum time between two checks of an overdue call
STALLED_CHECK_DELAY_MS = 1.0  # time from the moment at which a call becomes stalled to the check

# A server's weight is computed again as soon as one of its inputs has changed it by this fraction.
WEIGHT_TOLERANCE = 0.1


@dataclass(slots=True)
class CallInFlight:
    """A call that was sent to a server and has not been answered yet."""

    sent_at_ms: float
    objective_ms: float  # the latency objective of its class


class ServerMeasurements:
    """This replica's measurements of one server.

    In the methods, `objective_ratio` is the typical delay of all servers, divided by the objective; 0 while
    no answer has been received.

    Attributes:
        calls_in_flight: This replica's calls in flight at the server, by request id, the oldest first.
        latest_answered_sent_at_ms: The latest send time of the calls that the server has answered.
        reported_queue: The number of waiting requests in the server's last load report.
        reported_at_ms: The time of that load report.
        relative_latency: The average of the server's latency, divided by the latency of its peers.
        relative_latency_at_ms: The time at which the relative latency was last recorded.
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
        """Record the delay of one answer, divided by the typical delay of all servers."""
        relative_latency = self._relative_latency_at(now_ms)
        sample = min(ratio, MAX_LATENCY_RATIO)
        self.relative_latency = relative_latency + (sample - relative_latency) / LATENCY_SAMPLES
        self.relative_latency_at_ms = now_ms

    def speed_factor(self, now_ms: float, objective_ratio: float) -> float:
        """Return the factor of the server's weight: 1, or less if it is clearly slower than its peers."""
        slowness = SLOW_LATENCY_RATIO
        if self.relative_latency > SLOW_LATENCY_RATIO:
            slowness = max(self._relative_latency_at(now_ms), SLOW_LATENCY_RATIO)
        if (
            self.calls_in_flight
            and objective_ratio
            and (call := self._oldest_call_not_overtaken()) is not None
        ):
            age_ratio = (now_ms - call.sent_at_ms) / (objective_ratio * call.objective_ms)
            slowness = max(slowness, age_ratio / OVERDUE_AGE_RATIO)
        factor = 1.0
        if slowness > SLOW_LATENCY_RATIO:
            factor = math.pow(SLOW_LATENCY_RATIO / slowness, SLOW_LATENCY_EXPONENT)
        queue = self._queue_at(now_ms) if self.reported_queue else 0.0
        return factor / (1.0 + queue) ** QUEUE_EXPONENT if queue else factor

    def count_stalled_calls(self, now_ms: float, objective_ratio: float) -> int:
        """Return the number of stalled calls: those in flight that the server seems to have lost."""
        return sum(
            call.sent_at_ms < self.latest_answered_sent_at_ms
            and now_ms - call.sent_at_ms > STALLED_AGE_RATIO * objective_ratio * call.objective_ms
            for call in self.calls_in_flight.values()
        )

    def next_speed_change_at_ms(self, now_ms: float, objective_ratio: float) -> float:
        """Return when the speed factor or the stalled calls will have changed without any event."""
        change_at_ms = math.inf
        relative_latency = 1.0
        if self.relative_latency > SLOW_LATENCY_RATIO:
            relative_latency = self._relative_latency_at(now_ms)
        if relative_latency > SLOW_LATENCY_RATIO:
            change_at_ms = self._latency_decay_at_ms(relative_latency, now_ms)
        if self.reported_queue and (queue := self._queue_at(now_ms)):
            change_at_ms = min(change_at_ms, self._queue_decay_at_ms(queue, now_ms))
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

    def _oldest_call_not_overtaken(self) -> CallInFlight | None:
        """Return the oldest call in flight of which no later call was answered; None if there is none."""
        # The age of the oldest call reveals an unresponsive server long before the call times out. A call
        # that later ones have overtaken is no evidence against the server: its connection was lost, or this
        # one call takes long. When such calls were counted too, two dead connections kept two healthy servers
        # idle for seconds. The drawback: a server that answers a few calls and loses the others is detected
        # only when these time out.
        for call in self.calls_in_flight.values():
            if call.sent_at_ms >= self.latest_answered_sent_at_ms:
                return call
        return None

    @staticmethod
    def _latency_decay_at_ms(relative_latency: float, now_ms: float) -> float:
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
    def _queue_decay_at_ms(queue: float, now_ms: float) -> float:
        """Return when the decay of the reported queue will have changed the weight notably."""
        return now_ms + WEIGHT_TOLERANCE * QUEUE_DECAY_MS * (1.0 + queue) / queue / QUEUE_EXPONENT

    def _overdue_change_at_ms(self, slowness: float, now_ms: float, objective_ratio: float) -> float:
        """Return when the age of the oldest call not overtaken will have changed the weight notably."""
        call = self._oldest_call_not_overtaken()
        if call is None:
            return math.inf
        overdue_at_ms = call.sent_at_ms + OVERDUE_AGE_RATIO * slowness * objective_ratio * call.objective_ms
        step_ms = WEIGHT_TOLERANCE / SLOW_LATENCY_EXPONENT * (now_ms - call.sent_at_ms)
        return max(overdue_at_ms, now_ms + max(MIN_OVERDUE_CHECK_MS, step_ms))

    def _next_stall_at_ms(self, now_ms: float, objective_ratio: float) -> float:
        """Return when the next overtaken call will be checked for being stalled."""
        next_at_ms = math.inf
        for call in self.calls_in_flight.values():
            stalled_at_ms = call.sent_at_ms + STALLED_AGE_RATIO * objective_ratio * call.objective_ms
            if call.sent_at_ms < self.latest_answered_sent_at_ms and now_ms <= stalled_at_ms:
                next_at_ms = min(next_at_ms, stalled_at_ms + STALLED_CHECK_DELAY_MS)
        return next_at_ms
