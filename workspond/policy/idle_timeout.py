"""Learns after which idle time a pooled connection should no longer be used.

A server or a middlebox may drop idle connections without notice, and an attempt that is sent on a dropped
connection is lost. The paper does not cover connections; this is an addition.
"""

from __future__ import annotations

import math

from workspond.policy.events import Outcome

LOSS_FACTOR = 0.5  # the limit is set to this fraction of the idle time after which attempts were lost
SUCCESS_FACTOR = 1.03  # the limit is multiplied by this after each success on an idle connection
# A timeout or a slow reset indicates a dropped connection only if the connection had been idle for at least
# this fraction of the servers' keep-alive time.
MIN_IDLE_FRACTION = 0.05
# A reset within this fraction of the typical delay shows that the connection was already closed.
FAST_RESET_FRACTION = 0.1


class IdleTimeout:
    """The idle time after which a connection is closed instead of being reused.

    There is no limit until two attempts have been lost. Each limit is derived from the longer idle time of
    two losses, as a single loss may have another cause.
    """

    def __init__(self, keepalive_ms: float) -> None:
        """`keepalive_ms` is the idle time after which servers close a connection, by the settings."""
        self._min_idle_ms = MIN_IDLE_FRACTION * keepalive_ms
        self._limit_ms = math.inf
        # The shortest idle time before a loss. A success after at least this idle time clears it.
        self._min_lost_idle_ms = math.inf
        self._last_fast_reset_idle_ms = math.inf  # the idle time before the last fast reset

    def is_exceeded(self, idle_ms: float) -> bool:
        """Return whether a connection that has been idle for `idle_ms` must be closed and not reused."""
        return idle_ms > self._limit_ms

    def record_outcome(self, idle_ms: float, outcome: Outcome, duration_ms: float, typical_ms: float) -> None:
        """Update the limit after an attempt on a connection that had been idle.

        Args:
            idle_ms: How long the connection had been idle.
            outcome: How the attempt ended.
            duration_ms: How long the attempt took.
            typical_ms: The typical delay of attempts of its class.
        """
        # A success between two fast resets does not clear the first: if only some of the connections are
        # dropped, most attempts succeed, and the limit would never be set.
        if outcome is Outcome.RESET and duration_ms < FAST_RESET_FRACTION * typical_ms:
            self._limit_ms = min(self._limit_ms, LOSS_FACTOR * max(idle_ms, self._last_fast_reset_idle_ms))
            self._last_fast_reset_idle_ms = idle_ms
        elif outcome is Outcome.SUCCESS:
            self._limit_ms *= SUCCESS_FACTOR
        # After a short idle time, a timeout or a slow reset indicates a slow request, not a dropped
        # connection. Without this bound, timeouts of slow requests caused many connections to be closed.
        if idle_ms >= self._min_idle_ms:
            self._record_long_idle(idle_ms, outcome)

    def _record_long_idle(self, idle_ms: float, outcome: Outcome) -> None:
        if outcome in (Outcome.TIMEOUT, Outcome.RESET):
            self._limit_ms = min(self._limit_ms, LOSS_FACTOR * max(idle_ms, self._min_lost_idle_ms))
            self._min_lost_idle_ms = min(self._min_lost_idle_ms, idle_ms)
        elif outcome is Outcome.SUCCESS and idle_ms >= self._min_lost_idle_ms:
            self._min_lost_idle_ms = math.inf
