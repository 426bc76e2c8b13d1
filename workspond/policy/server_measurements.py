"""This replica's measurements of a server, and the speed factor derived from them.

A server counts as slow because of its latency relative to its peers, the queue length that it reports, or the
age of its attempts in flight. The three signals are combined into one factor of the server's weight.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Relative latency: the latency of a server divided by that of its peers, where each latency is a ratio of the
# objective.
SLOW_LATENCY_RATIO = 1.5  # a server with a higher relative latency counts as slow
SLOW_LATENCY_EXPONENT = 4.0  # the weight decreases steeply, so that a slow server can recover
MAX_LATENCY_RATIO = 10.0  # upper bound of one sample of the relative latency
LATENCY_SAMPLES = 3.0  # number of samples over which the relative latency is averaged
LATENCY_DECAY_MS = 10_000.0  # time constant of the decay of the relative latency to 1

# Reported queue: the number of waiting requests in the last load report of a server.
QUEUE_DECAY_MS = 5_000.0  # time constant of the decay of the reported queue to 0
QUEUE_EXPONENT = 3  # the weight is divided by (1 + queue) to this power
MIN_QUEUE = 0.01  # a queue that has decayed to fewer requests counts as empty

# Age ratio: the age of an attempt in flight divided by the typical delay. An attempt is overtaken if its
# server has answered an attempt that was sent later.
# The age ratio of the oldest attempt not overtaken, divided by this, counts as a relative latency.
OVERDUE_AGE_RATIO = 1.5
# An overtaken attempt with a higher age ratio counts as stalled: its server has probably lost it.
STALLED_AGE_RATIO = 4.0
MIN_OVERDUE_CHECK_MS = 1.0  # minimum time between two checks of an overdue attempt
STALLED_CHECK_DELAY_MS = 1.0  # time from the moment at which an attempt becomes stalled to the check

# A server's weight is computed again as soon as one of its inputs has changed it by this fraction.
WEIGHT_TOLERANCE = 0.1


@dataclass(slots=True)
class AttemptInFlight:
    """An attempt that was sent to a server and has not ended yet."""

    sent_at_ms: float
    objective_ms: float  # the latency objective of the request's class


class ServerMeasurements:
    """This replica's measurements of one server.

    In the methods, `objective_ratio` is the typical delay of the attempts to all servers, divided by the
    objective; 0 before the first delay is recorded.

    Attributes:
        attempts_in_flight: This replica's attempts in flight at the server, by request id, the oldest first.
        latest_answered_sent_at_ms: The latest send time of the attempts that the server has answered.
        reported_queue: The number of waiting requests in the server's last load report.
        reported_at_ms: The time of that load report.
        relative_latency: The average latency of the server, divided by the latency of its peers.
        relative_latency_at_ms: The time at which the relative latency was last recorded.
    """

    __slots__ = (
        "attempts_in_flight",
        "latest_answered_sent_at_ms",
        "reported_queue",
        "reported_at_ms",
        "relative_latency",
        "relative_latency_at_ms",
    )

    def __init__(self, now_ms: float) -> None:
        self.attempts_in_flight: dict[str, AttemptInFlight] = {}
        self.latest_answered_sent_at_ms = -math.inf
        self.reported_queue = 0.0
        self.reported_at_ms = now_ms
        self.relative_latency = 1.0
        self.relative_latency_at_ms = now_ms

    @property
    def in_flight(self) -> int:
        """The number of this replica's attempts in flight at the server."""
        return len(self.attempts_in_flight)

    def record_latency(self, ratio: float, now_ms: float) -> None:
        """Record the delay of an attempt, divided by the typical delay of the attempts to all servers."""
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
            self.attempts_in_flight
            and objective_ratio
            and (attempt := self._oldest_attempt_not_overtaken()) is not None
        ):
            age_ratio = (now_ms - attempt.sent_at_ms) / (objective_ratio * attempt.objective_ms)
            slowness = max(slowness, age_ratio / OVERDUE_AGE_RATIO)
        factor = 1.0
        if slowness > SLOW_LATENCY_RATIO:
            factor = math.pow(SLOW_LATENCY_RATIO / slowness, SLOW_LATENCY_EXPONENT)
        queue = self._queue_at(now_ms) if self.reported_queue else 0.0
        return factor / (1.0 + queue) ** QUEUE_EXPONENT if queue else factor

    def count_stalled_attempts(self, now_ms: float, objective_ratio: float) -> int:
        """Return the number of stalled attempts: those in flight that the server has probably lost."""
        return sum(
            attempt.sent_at_ms < self.latest_answered_sent_at_ms
            and now_ms - attempt.sent_at_ms > STALLED_AGE_RATIO * objective_ratio * attempt.objective_ms
            for attempt in self.attempts_in_flight.values()
        )

    def next_speed_change_at_ms(self, now_ms: float, objective_ratio: float) -> float:
        """Return when time alone will have changed the speed factor or the number of stalled attempts."""
        change_at_ms = math.inf
        relative_latency = 1.0
        if self.relative_latency > SLOW_LATENCY_RATIO:
            relative_latency = self._relative_latency_at(now_ms)
        if relative_latency > SLOW_LATENCY_RATIO:
            change_at_ms = self._latency_decay_at_ms(relative_latency, now_ms)
        if self.reported_queue and (queue := self._queue_at(now_ms)):
            change_at_ms = min(change_at_ms, self._queue_decay_at_ms(queue, now_ms))
        if self.attempts_in_flight and objective_ratio:
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

    def _oldest_attempt_not_overtaken(self) -> AttemptInFlight | None:
        """Return the oldest attempt in flight that is not overtaken; None if there is none."""
        # The age of the oldest attempt reveals an unresponsive server long before the attempt times out. An
        # overtaken attempt is no evidence against the server: its connection was lost, or its request takes
        # long. When such attempts were counted too, two dead connections kept two healthy servers idle for
        # seconds. The drawback: a server that answers a few attempts and loses the others is detected only
        # when these time out.
        for attempt in self.attempts_in_flight.values():
            if attempt.sent_at_ms >= self.latest_answered_sent_at_ms:
                return attempt
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
        """Return when the age of the oldest attempt not overtaken will have changed the weight notably."""
        attempt = self._oldest_attempt_not_overtaken()
        if attempt is None:
            return math.inf
        overdue_at_ms = (
            attempt.sent_at_ms + OVERDUE_AGE_RATIO * slowness * objective_ratio * attempt.objective_ms
        )
        step_ms = WEIGHT_TOLERANCE / SLOW_LATENCY_EXPONENT * (now_ms - attempt.sent_at_ms)
        return max(overdue_at_ms, now_ms + max(MIN_OVERDUE_CHECK_MS, step_ms))

    def _next_stall_at_ms(self, now_ms: float, objective_ratio: float) -> float:
        """Return when to check the next overtaken attempt for being stalled; infinite if there is none."""
        next_at_ms = math.inf
        for attempt in self.attempts_in_flight.values():
            stalled_at_ms = attempt.sent_at_ms + STALLED_AGE_RATIO * objective_ratio * attempt.objective_ms
            if attempt.sent_at_ms < self.latest_answered_sent_at_ms and now_ms <= stalled_at_ms:
                next_at_ms = min(next_at_ms, stalled_at_ms + STALLED_CHECK_DELAY_MS)
        return next_at_ms
