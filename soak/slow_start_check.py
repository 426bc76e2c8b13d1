"""Checks that servers which are warming up get no more attempts than they can bear."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass

from soak import settings

SMALL_COUNT = 30.0  # under which a cold server is allowed a wider margin
SMALL_MARGIN = 3.0  # standard deviations, and attempts
USUAL_MARGIN = 2.0
# Of what overloads a cold server this fraction has to come from nodes that were notified of its start.
MIN_NOTIFIED_FRACTION = 2.0 / 3.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One attempt at a server."""

    at_s: float
    node: int


class SlowStartCheck:
    """The starts of servers, and the attempts that arrived lately at those that are warming up."""

    def __init__(self, capacity_per_s: float) -> None:
        """`capacity_per_s`: the requests that a warm server can do."""
        self._capacity_per_s = capacity_per_s
        self._started_at_s: dict[str, float] = {}  # last starts; none for servers up from the beginning
        self._arrivals: defaultdict[str, deque[Arrival]] = defaultdict(deque)

    def server_started(self, server: str, at_s: float) -> None:
        """A server has started cold."""
        self._started_at_s[server] = at_s
        self._arrivals[server].clear()

    def capacity_fraction(self, server: str, at_s: float) -> float:
        """The part of its capacity that a server has by then."""
        age_s = at_s - self._started_at_s.get(server, -math.inf)
        ramp = min(1.0, age_s / settings.RAMP_S)
        return settings.START_CAPACITY + (1.0 - settings.START_CAPACITY) * ramp

    def overload(
        self, server: str, arrival: Arrival, knows_start: Callable[[int, str, float], bool]
    ) -> str | None:
        """Add an arrival; what is wrong, if the server is overloaded by nodes that know of its start.

        Args:
            server: The server's name.
            arrival: The attempt.
            knows_start: Whether a node has been notified of a server's start at a time.
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
        return f"{count} attempts in a window of {maximum:.1f}"

    def _recent_arrivals(self, server: str, arrival: Arrival) -> deque[Arrival]:
        """The arrivals within the overload window, with a new one."""
        arrivals = self._arrivals[server]
        arrivals.append(arrival)
        while arrivals[0].at_s < arrival.at_s - settings.OVERLOAD_WINDOW_S:
            arrivals.popleft()
        return arrivals

    def _max_arrivals(self, server: str, at_s: float) -> float:
        """How many attempts the window may hold: what the server can bear, and a margin for chance."""
        fraction = self.capacity_fraction(server, at_s)
        allowed = settings.OVERLOAD_FACTOR * self._capacity_per_s * fraction * settings.OVERLOAD_WINDOW_S
        margin = SMALL_MARGIN if allowed < SMALL_COUNT else USUAL_MARGIN
        return allowed + margin * math.sqrt(allowed) + margin
