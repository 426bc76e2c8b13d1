"""Checks that servers in slow start are not overloaded."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass

from soak import settings

SMALL_COUNT = 30.0  # number of allowed attempts in the window, below which the margin is wider
# A margin of N allows for random variation: N standard deviations plus N attempts.
SMALL_COUNT_MARGIN = 3.0
DEFAULT_MARGIN = 2.0
# An overload counts only if more than this fraction of the attempts is from nodes notified of the start.
MIN_NOTIFIED_FRACTION = 2.0 / 3.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """An attempt that arrived at a server."""

    at_s: float
    node: int


class SlowStartCheck:
    """Tracks the starts of servers and the recent attempts at servers in slow start."""

    def __init__(self, capacity_per_s: float) -> None:
        """`capacity_per_s` is the number of requests per second that a warm server can serve."""
        self._capacity_per_s = capacity_per_s
        self._started_at_s: dict[str, float] = {}  # last start, by server; absent before a restart
        self._arrivals: defaultdict[str, deque[Arrival]] = defaultdict(deque)

    def server_started(self, server: str, at_s: float) -> None:
        """Record that a server has started cold."""
        self._started_at_s[server] = at_s
        self._arrivals[server].clear()

    def capacity_fraction(self, server: str, at_s: float) -> float:
        """Return the fraction of its full capacity that a server has at a time."""
        age_s = at_s - self._started_at_s.get(server, -math.inf)
        ramp = min(1.0, age_s / settings.RAMP_S)
        return settings.START_CAPACITY + (1.0 - settings.START_CAPACITY) * ramp

    def check_arrival(
        self, server: str, arrival: Arrival, knows_start: Callable[[int, str, float], bool]
    ) -> str | None:
        """Record an arrival; return a description if nodes that know of the start overload the server.

        Args:
            server: The server's name.
            arrival: The attempt that has arrived.
            knows_start: Returns whether a node has been notified of a server's start at a time.
        """
        started_at_s = self._started_at_s.get(server)
        if started_at_s is None or arrival.at_s - started_at_s > settings.RAMP_S:
            return None
        arrivals = self._recent_arrivals(server, arrival)
        maximum = self._max_arrivals(server, arrival.at_s)
        notified = sum(knows_start(earlier.node, server, started_at_s) for earlier in arrivals)
        count = len(arrivals)
        if count <= maximum or notified <= MIN_NOTIFIED_FRACTION * count:
            return None
        arrivals.clear()
        return f"{count} attempts in the overload window, at most {maximum:.1f} are allowed"

    def _recent_arrivals(self, server: str, arrival: Arrival) -> deque[Arrival]:
        """Add an arrival and return the arrivals within the overload window."""
        arrivals = self._arrivals[server]
        arrivals.append(arrival)
        while arrivals[0].at_s < arrival.at_s - settings.OVERLOAD_WINDOW_S:
            arrivals.popleft()
        return arrivals

    def _max_arrivals(self, server: str, at_s: float) -> float:
        """Return the allowed number of attempts in the window, with a margin for random variation."""
        fraction = self.capacity_fraction(server, at_s)
        allowed = settings.OVERLOAD_FACTOR * self._capacity_per_s * fraction * settings.OVERLOAD_WINDOW_S
        margin = SMALL_COUNT_MARGIN if allowed < SMALL_COUNT else DEFAULT_MARGIN
        return allowed + margin * math.sqrt(allowed) + margin
