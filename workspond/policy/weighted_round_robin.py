"""Smooth weighted rotation whose cost of a pick does not grow with the number of servers.

In the plain form each server gains its weight in every round, the one that is furthest ahead is picked, and
it pays the sum of the weights. Only the servers with the least load take part, as only they may be picked.
Here servers of one load that gain alike stand together: what they have gained since they came is one product
for all of them, and a heap by what they had before tells which of them is furthest ahead. A pick compares the
first of each such group. So that there are few groups, gains are rounded to steps; a server that is picked
pays by the same factor, so that in the long run each gets its weight's share exactly.
"""

from __future__ import annotations

import heapq
import itertools
import math

from workspond.policy.server import Server

STEPS_PER_DOUBLING = 8  # of gains: one differs from the weight by 4.5% at most
DOMINANT = 0.5  # a weight of such a part of a sum is not subtracted: what is left would be rounding errors
LEAST_KEPT = 16  # entries of a heap that are never worth a clean-up


def rounded(weight: float) -> float:
    """A weight, rounded to the steps of gains."""
    exponent: float = round(math.log2(weight) * STEPS_PER_DOUBLING) / STEPS_PER_DOUBLING
    return math.pow(2.0, exponent)


class RotationEntry:
    """Where a server stands in a rotation; one that has been given up has no server."""

    __slots__ = ("base", "group", "rotation", "server")

    def __init__(self, server: Server, group: GainGroup, base: float, rotation: Rotation) -> None:
        self.server: Server | None = server
        self.group, self.base, self.rotation = group, base, rotation

    @property
    def current_weight(self) -> float:
        """How far ahead its server is."""
        return self.base + self.group.accumulated

    @property
    def load(self) -> float:
        """What its server holds."""
        return self.group.level.load


class GainGroup:
    """Servers of one load and one gain, the one furthest ahead first."""

    __slots__ = ("heap", "level", "members", "step")

    def __init__(self, level: Level, gain: float) -> None:
        self.level, self.step = level, gain
        self.heap: list[tuple[float, int, RotationEntry]] = []  # some places may have been given up
        self.members = 0

    @property
    def accumulated(self) -> float:
        """What a member has gained since its base was taken."""
        return self.step * self.level.rounds

    def leader(self) -> RotationEntry:
        """The place furthest ahead; there must be one."""
        while self.heap[0][2].server is None:
            heapq.heappop(self.heap)
        return self.heap[0][2]

    def clean(self) -> None:
        """Drop the places that have been given up, once they are most."""
        if len(self.heap) > LEAST_KEPT + 2 * self.members:
            self.heap = [entry for entry in self.heap if entry[2].server is not None]
            heapq.heapify(self.heap)


class Level:
    """Servers of one load."""

    __slots__ = ("groups", "load", "rounds", "weight")

    def __init__(self, load: float) -> None:
        self.load = load
        self.groups: dict[float, GainGroup] = {}  # by gain
        self.rounds = 0
        self.weight = 0.0  # of all members

    def leader(self) -> RotationEntry:
        """The place that is furthest ahead once all have gained; there must be one."""
        leaders = [group.leader() for group in self.groups.values()]
        return max(leaders, key=lambda place: place.current_weight + place.group.step)

    def discount(self, weight: float) -> None:
        """Take the weight of a member that has gone from the sum."""
        if weight <= DOMINANT * self.weight:
            self.weight -= weight
            return
        places = (entry[2] for group in self.groups.values() for entry in group.heap)
        self.weight = sum(place.server.effective_weight for place in places if place.server is not None)


class Rotation:
    """Servers by load, and in turn among those of the least load."""

    def __init__(self) -> None:
        self._levels: dict[float, Level] = {}
        self._loads: list[float] = []  # a heap of all levels' loads; some may be gone
        self._serial = itertools.count()
        self.size = 0

    def __contains__(self, server: Server) -> bool:
        return server.rotation_entry is not None and server.rotation_entry.rotation is self

    def add(self, server: Server, load: float) -> None:
        """Let a server take part, with the credit that it has."""
        level = self._levels.get(load)
        if level is None:
            level = self._levels[load] = Level(load)
            self._note_load(load)
        gain = rounded(server.effective_weight)
        group = level.groups.get(gain)
        if group is None:
            group = level.groups[gain] = GainGroup(level, gain)
        self._stand(server, group, server.current_weight - group.accumulated)
        group.members += 1
        level.weight += server.effective_weight
        self.size += 1

    def _note_load(self, load: float) -> None:
        """Put a new level's load on the heap; drop those that are gone, once they are most."""
        if len(self._loads) > LEAST_KEPT + 2 * len(self._levels):
            self._loads = list(self._levels)
            heapq.heapify(self._loads)
        else:
            heapq.heappush(self._loads, load)

    def _stand(self, server: Server, group: GainGroup, base: float) -> None:
        server.rotation_entry = RotationEntry(server, group, base, self)
        heapq.heappush(group.heap, (-base, next(self._serial), server.rotation_entry))

    def remove(self, server: Server) -> None:
        """Take a server out; it keeps its credit. It must be in."""
        place = server.rotation_entry
        assert place is not None
        group, level = place.group, place.group.level
        server.current_weight = place.current_weight
        server.rotation_entry, place.server = None, None
        self.size -= 1
        group.members -= 1
        if group.members:
            group.clean()
        else:
            del level.groups[group.step]
        if level.groups:
            level.discount(server.effective_weight)
        else:
            del self._levels[level.load]

    def leader(self) -> Server | None:
        """The server whose turn it is."""
        if not self.size:
            return None
        while self._loads[0] not in self._levels:
            heapq.heappop(self._loads)
        return self._levels[self._loads[0]].leader().server

    def charge(self, server: Server) -> float:
        """A round ends with this server picked: its level gains, it pays. The weight that took part."""
        place = server.rotation_entry
        assert place is not None
        level = place.group.level
        level.rounds += 1
        self.adjust(server, -level.weight * place.group.step / server.effective_weight)
        return level.weight

    def adjust(self, server: Server, credit: float) -> None:
        """Give credit to a server that is in, or take it."""
        place = server.rotation_entry
        assert place is not None
        place.server = None
        self._stand(server, place.group, place.base + credit)
        place.group.clean()
