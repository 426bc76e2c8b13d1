"""Learns for how long an idle connection of the pool can be trusted.

A server or a middlebox may drop idle connections without a sign, and an attempt that is sent on a dropped
connection is lost. The paper does not cover connections; this is an addition.
"""

from __future__ import annotations

import math

from workspond.policy.events import Outcome

LOSS_FACTOR = 0.5  # the limit is set to this fraction of the idle time of a connection that lost an attempt
SUCCESS_FACTOR = 1.03  # the limit grows by this factor with each success on an idle connection
# Fraction of the stated keep-alive time: connections that idled for less were not dropped for idling.
MIN_IDLE_FRACTION = 0.05
# Fraction of the usual delay: a reset that comes sooner comes from a connection that was closed already.
FAST_RESET_FRACTION = 0.1


class IdleTimeout:
    """The idle time beyond which a connection is closed rather than used again.

    There is no limit until two attempts were lost. Each limit is derived from the longer idle time of two
    losses, as one may be chance.
    """

    def __init__(self, keepalive_ms: float) -> None:
        """`keepalive_ms` is the idle time after which servers say that they close a connection."""
        self._min_idle_ms = MIN_IDLE_FRACTION * keepalive_ms
        self._limit_ms = math.inf
        self._shortest_lost_ms = math.inf  # shortest idle time of a loss since the last success beyond it
        self._last_fast_reset_ms = math.inf  # idle time before the last fast reset

    def is_exceeded(self, idle_ms: float) -> bool:
        """Whether a connection that has idled for `idle_ms` is to be closed before use."""
        return idle_ms > self._limit_ms

    def record_outcome(self, idle_ms: float, outcome: Outcome, duration_ms: float, usual_ms: float) -> None:
        """Learn from an attempt on a connection that had been idle.

        Args:
            idle_ms: How long the connection had been idle.
            outcome: How the attempt ended.
            duration_ms: How long the attempt took.
            usual_ms: How long attempts of its class usually take.
        """
        # Successes between two fast resets do not clear the first: where only a part of the connections
        # is dropped, most attempts succeed and nothing would be learnt.
        if outcome is Outcome.RESET and duration_ms < FAST_RESET_FRACTION * usual_ms:
            self._limit_ms = min(self._limit_ms, LOSS_FACTOR * max(idle_ms, self._last_fast_reset_ms))
            self._last_fast_reset_ms = idle_ms
        elif outcome is Outcome.SUCCESS:
            self._limit_ms *= SUCCESS_FACTOR
        # After a short idle time a timeout or a late reset shows a slow request, not a dropped connection.
        # Without this bound, timeouts of slow requests caused a large part of the connections to be closed.
        if idle_ms >= self._min_idle_ms:
            self._record_long_idle(idle_ms, outcome)

    def _record_long_idle(self, idle_ms: float, outcome: Outcome) -> None:
        if outcome in (Outcome.TIMEOUT, Outcome.RESET):
            self._limit_ms = min(self._limit_ms, LOSS_FACTOR * max(idle_ms, self._shortest_lost_ms))
            self._shortest_lost_ms = min(self._shortest_lost_ms, idle_ms)
        elif outcome is Outcome.SUCCESS and idle_ms >= self._shortest_lost_ms:
            self._shortest_lost_ms = math.inf
