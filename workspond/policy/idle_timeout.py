"""From what idle time on a kept connection is not trusted: a request sent on a dropped one is lost. Ours."""

from __future__ import annotations

import math

from workspond.policy.events import Outcome

IDLE_CUT, IDLE_GROWTH = 0.5, 1.03  # of the idle time trusted: after a loss on such a connection, an answer
IDLE_LEAST = 0.05  # of the stated idle limit: a connection in use more lately was not dropped for idling
GONE_SHARE = 0.1  # of the usual delay: a reset that soon came from a connection that was gone already


class IdleTimeout:
    """The idle time from which connections are closed before use, learnt from what is lost on them."""

    def __init__(self, keepalive_ms: float) -> None:
        self._keepalive_ms = keepalive_ms
        self._limit_ms = math.inf
        self._lost_ms = self._gone_ms = math.inf  # idle times of the last that was lost, and that was gone

    def is_exceeded(self, idle_ms: float) -> bool:
        """Whether a connection that has idled so long is to be closed before use."""
        return idle_ms > self._limit_ms

    def record_outcome(self, idle_ms: float, result: Outcome, duration_ms: float, usual_ms: float) -> None:
        """Two losses on idled connections, none served that idled as long: close such before use."""
        # A reset sooner than any answer tells that the connection was gone: rota, one in six after 0.1 s. The
        # five served between two such kept it from being learnt. Of two, the longer: one may be chance.
        if result is Outcome.RESET and duration_ms < GONE_SHARE * usual_ms:
            self._limit_ms = min(self._limit_ms, IDLE_CUT * max(idle_ms, self._gone_ms))
            self._gone_ms = idle_ms
        elif result is Outcome.SUCCESS:
            self._limit_ms *= IDLE_GROWTH
        # rota quiet: time-outs of slow calls, on connections that had idled for 0.2 s of 60, closed a third.
        if idle_ms < IDLE_LEAST * self._keepalive_ms:
            return
        if result in (Outcome.TIMEOUT, Outcome.RESET):
            self._limit_ms = min(self._limit_ms, IDLE_CUT * max(idle_ms, self._lost_ms))
            self._lost_ms = min(self._lost_ms, idle_ms)
        elif result is Outcome.SUCCESS and idle_ms >= self._lost_ms:
            self._lost_ms = math.inf
