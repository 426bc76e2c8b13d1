"""Servers that fail much more often than their peers are kept out for a while. The paper names none: ours."""

from __future__ import annotations

import math
import random

from workspond.policy.events import Outcome
from workspond.policy.request_statistics import PEER_SAMPLES
from workspond.policy.server import Server

EJECT_MS, EJECT_DOUBLINGS = 1_000.0, 5  # the first time out; how often it doubles
EJECT_SHARE = 0.5  # of the servers may be out at once for errors
EJECT_LOG_ODDS = math.log(30.0)  # from which a server is ejected for its errors
BAD_RATIO, ERROR_FLOOR = 0.5, 0.01  # the share of errors to suspect; the least that peers are taken for
LIMIT_CUT = 0.9  # what a server may hold from here after it has turned an attempt away


class OutlierEjection:
    """Judges servers by the outcomes of their attempts."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._errors = 0.0  # the share of all recent attempts

    def record_outcome(self, server: Server, result: Outcome, ejected_share: float, now_ms: float) -> None:
        """What an outcome tells of the server's health; `ejected_share`: of its peers that are out now."""
        if result in (Outcome.REJECTED, Outcome.CONNECT_FAILED):
            held = min(server.in_flight_limit, float(server.in_flight))
            server.in_flight_limit = max(1.0, held * LIMIT_CUT)
            if result is Outcome.CONNECT_FAILED and not server.in_flight:  # down, or out of connections
                self._eject(server, now_ms)
        elif result is Outcome.SUCCESS:
            server.in_flight_limit += 1.0 / server.in_flight_limit
        if result in (Outcome.SUCCESS, Outcome.ERROR, Outcome.RESET):
            self._weigh(server, result is not Outcome.SUCCESS, ejected_share, now_ms)

    def _weigh(self, server: Server, bad: bool, ejected_share: float, now_ms: float) -> None:
        # Fast errors look like low delay: weigh failing half its calls against failing like its peers.
        peers = max(ERROR_FLOOR, min(self._errors, BAD_RATIO))
        self._errors += (bad - self._errors) / PEER_SAMPLES
        step = math.log(BAD_RATIO / peers) if bad else math.log((1.0 - BAD_RATIO) / (1.0 - peers))
        server.error_log_odds = max(0.0, server.error_log_odds + step)
        if server.error_log_odds >= EJECT_LOG_ODDS:
            if ejected_share < EJECT_SHARE:
                self._eject(server, now_ms)
            server.error_log_odds = EJECT_LOG_ODDS / 2.0  # on its return it is on probation
        elif not server.error_log_odds:
            server.ejections = 0

    def _eject(self, server: Server, now_ms: float) -> None:
        """Keep away for a while, longer each time in a row, with jitter; it then returns by itself."""
        if now_ms >= server.ejected_until_ms:
            doubled = 2.0 ** min(server.ejections, EJECT_DOUBLINGS)
            server.ejected_until_ms = now_ms + EJECT_MS * doubled * (0.5 + self._rng.random())
            server.ejections += 1
