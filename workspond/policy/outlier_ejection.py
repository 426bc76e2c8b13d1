"""Outlier ejection: servers that fail much more often than their peers get no attempts for a while.

The paper on which the policy is based describes no outlier ejection; this method is the project's own.
"""

from __future__ import annotations

import math
import random

from workspond.policy.events import Outcome
from workspond.policy.request_statistics import AVERAGING_SAMPLES
from workspond.policy.server import Server

BASE_EJECTION_MS = 1_000.0  # duration of the first ejection, before jitter
MAX_EJECTION_DOUBLINGS = 5  # consecutive ejections double the duration up to this many times
MIN_EJECTION_JITTER = 0.5  # the duration is multiplied by a random factor between this and this + 1
MAX_EJECTED_FRACTION = 0.5  # while this fraction of the subset is ejected, no server is ejected for errors
EJECTION_LOG_ODDS = math.log(30.0)  # a server with these odds of being an outlier is ejected
OUTLIER_ERROR_FRACTION = 0.5  # assumed error fraction of an outlier
MIN_PEER_ERROR_FRACTION = 0.01  # lower bound of the error fraction that is assumed for the peers
# After a rejection or a failed connection attempt, the in-flight limit is set to this times the number of
# attempts still in flight, or this times the old limit if that is lower, but at least to 1.
IN_FLIGHT_LIMIT_FACTOR = 0.9


class OutlierEjection:
    """Ejects servers and limits their attempts in flight, according to the outcomes of their attempts."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._error_fraction = 0.0  # the fraction of recent attempts to all servers that failed

    def record_outcome(
        self, server: Server, outcome: Outcome, ejected_fraction: float, now_ms: float
    ) -> None:
        """Record the outcome of an attempt.

        Args:
            server: The server of the attempt.
            outcome: How the attempt ended.
            ejected_fraction: The fraction of the servers in the subset that are currently ejected.
            now_ms: The current time in ms.
        """
        if outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED):
            in_flight = min(server.in_flight_limit, float(server.in_flight))
            server.in_flight_limit = max(1.0, in_flight * IN_FLIGHT_LIMIT_FACTOR)
            # If no other attempt is in flight, the server is down or accepts no more connections.
            if outcome is Outcome.CONNECT_FAILED and not server.in_flight:
                self._eject(server, now_ms)
        elif outcome is Outcome.SUCCESS:
            server.in_flight_limit += 1.0 / server.in_flight_limit
        if outcome in (Outcome.SUCCESS, Outcome.ERROR, Outcome.RESET):
            self._update_error_odds(server, outcome, ejected_fraction, now_ms)

    def _update_error_odds(
        self, server: Server, outcome: Outcome, ejected_fraction: float, now_ms: float
    ) -> None:
        """Update the odds that the server is an outlier, and eject it if they are high.

        Latency does not reveal a server that fails fast. So this is a likelihood ratio test: the hypothesis
        that the server fails half of its attempts, against the one that it fails as often as its peers.
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
            # The odds do not start from 0 again, so that fewer errors suffice to eject the server again.
            server.error_log_odds = EJECTION_LOG_ODDS / 2.0
        elif not server.error_log_odds:
            server.ejections = 0

    def _eject(self, server: Server, now_ms: float) -> None:
        """Eject a server unless it is ejected already; consecutive ejections get longer; with jitter."""
        if now_ms >= server.ejected_until_ms:
            doublings = min(server.ejections, MAX_EJECTION_DOUBLINGS)
            jitter = MIN_EJECTION_JITTER + self._rng.random()
            server.ejected_until_ms = now_ms + BASE_EJECTION_MS * 2.0**doublings * jitter
            server.ejections += 1
