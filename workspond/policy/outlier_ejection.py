"""Outlier ejection: servers that fail much more often than their peers get no attempts for a while.

The paper that the policy follows names none; this is ours.
"""

from __future__ import annotations

import math
import random

from workspond.policy.events import Outcome
from workspond.policy.request_statistics import AVERAGING_SAMPLES
from workspond.policy.server import Server

EJECTION_MS = 1_000.0  # the duration of a first ejection, before jitter
MAX_EJECTION_DOUBLINGS = 5  # how often the duration doubles at most, for ejections in a row
MIN_EJECTION_JITTER = 0.5  # a duration is multiplied by a random factor between this and 1 more
MAX_EJECTED_FRACTION = 0.5  # of the servers, from which on none more is ejected for its errors
EJECTION_LOG_ODDS = math.log(30.0)  # from which on a server is ejected for its errors
OUTLIER_ERROR_FRACTION = 0.5  # the fraction of errors that a server is suspected of
MIN_PEER_ERROR_FRACTION = 0.01  # that peers are taken to have at least
IN_FLIGHT_LIMIT_CUT = (
    0.9  # the part of the calls in flight that a server may hold after it rejects an attempt
)


class OutlierEjection:
    """Ejects servers, and limits their calls in flight, by the outcomes of their attempts."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._error_fraction = 0.0  # of the recent attempts to all servers

    def record_outcome(
        self, server: Server, outcome: Outcome, ejected_fraction: float, now_ms: float
    ) -> None:
        """Record the outcome of an attempt.

        Args:
            server: The server of the attempt.
            outcome: How the attempt ended.
            ejected_fraction: The fraction of the servers that are ejected now.
            now_ms: The time.
        """
        if outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED):
            in_flight = min(server.in_flight_limit, float(server.in_flight))
            server.in_flight_limit = max(1.0, in_flight * IN_FLIGHT_LIMIT_CUT)
            # Without calls in flight the server is down, or out of connections.
            if outcome is Outcome.CONNECT_FAILED and not server.in_flight:
                self._eject(server, now_ms)
        elif outcome is Outcome.SUCCESS:
            server.in_flight_limit += 1.0 / server.in_flight_limit
        if outcome in (Outcome.SUCCESS, Outcome.ERROR, Outcome.RESET):
            self._update_odds(server, outcome, ejected_fraction, now_ms)

    def _update_odds(self, server: Server, outcome: Outcome, ejected_fraction: float, now_ms: float) -> None:
        """Update the odds that the server is an outlier, and eject it where they are high.

        Fast errors look like low latency. So the hypothesis that the server fails half its calls is weighed
        against the one that it fails as its peers do.
        """
        is_error = outcome is not Outcome.SUCCESS
        peer_fraction = max(MIN_PEER_ERROR_FRACTION, min(self._error_fraction, OUTLIER_ERROR_FRACTION))
        self._error_fraction += (is_error - self._error_fraction) / AVERAGING_SAMPLES
        if is_error:
            step = math.log(OUTLIER_ERROR_FRACTION / peer_fraction)
        else:
            step = math.log((1.0 - OUTLIER_ERROR_FRACTION) / (1.0 - peer_fraction))
        server.error_log_odds = max(0.0, server.error_log_odds + step)
        if server.error_log_odds >= EJECTION_LOG_ODDS:
            if ejected_fraction < MAX_EJECTED_FRACTION:
                self._eject(server, now_ms)
            server.error_log_odds = EJECTION_LOG_ODDS / 2.0  # on its return it is on probation
        elif not server.error_log_odds:
            server.ejections = 0

    def _eject(self, server: Server, now_ms: float) -> None:
        """Eject a server, unless it is ejected: longer each time in a row, with jitter; it ends by itself."""
        if now_ms >= server.ejected_until_ms:
            doublings = min(server.ejections, MAX_EJECTION_DOUBLINGS)
            jitter = MIN_EJECTION_JITTER + self._rng.random()
            server.ejected_until_ms = now_ms + EJECTION_MS * 2.0**doublings * jitter
            server.ejections += 1
