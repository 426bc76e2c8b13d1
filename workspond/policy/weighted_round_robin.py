"""Smooth weighted round robin whose cost of a pick does not grow with the number of items.

In the plain form, each round adds to the current weight of each item its effective weight. The item with the
highest current weight is picked, and the sum of all effective weights is subtracted from it. Only the items
with the lowest load take part in a round, as only they may be picked.

Here items of equal load and equal rounded weight form a group. What the members of a group have gained is one
product for all of them: rounds times rounded weight. Each group keeps a heap of its members by what they had
before, so a pick compares only the first member of each group. Weights are rounded so that there are few
groups. The picked item pays by the same factor, so that in the long run each item is picked exactly in
proportion to its effective weight.
"""

from __future__ import annotations

import heapq
import itertools
import math
from typing import Generic, TypeVar

STEPS_PER_DOUBLING = 8  # of rounded weights: a rounded weight differs from the exact one by 4.5 % at most
# Of a sum of weights. A weight that is a larger fraction is not subtracted from the sum, as what is left
# would be mostly rounding errors: the sum is computed anew.
MAX_SUBTRACTED_FRACTION = 0.5
MIN_COMPACTED_SIZE = 16  # entries; a heap of fewer is not worth a compaction
REMOVED = -1  # the serial number of an entry that has been removed from its rotation

ItemT = TypeVar("ItemT")


def rounded(weight: float) -> float:
    """Return a weight rounded to the nearest of `STEPS_PER_DOUBLING` steps per factor of two."""
    exponent: float = round(math.log2(weight) * STEPS_PER_DOUBLING) / STEPS_PER_DOUBLING
    return math.pow(2.0, exponent)


class RotationEntry(Generic[ItemT]):
    """An item's membership in a rotation.

    Attributes:
        item: The member.
        group: The group of the rotation that the item belongs to.
        effective_weight: The exact weight by which the item is picked.
        base_weight: The current weight less what the group has gained since its load level began.
        serial: The number of the one heap entry that is valid; `REMOVED` after the item was removed.
    """

    __slots__ = ("item", "group", "effective_weight", "base_weight", "serial")

    def __init__(
        self,
        item: ItemT,
        group: WeightGroup[ItemT],
        effective_weight: float,
        base_weight: float,
        serial: int,
    ) -> None:
        self.item = item
        self.group = group
        self.effective_weight = effective_weight
        self.base_weight = base_weight
        self.serial = serial

    @property
    def current_weight(self) -> float:
        """The item's current weight, as smooth weighted round robin defines it."""
        return self.base_weight + self.group.gained_weight

    @property
    def rotation(self) -> Rotation[ItemT]:
        """The rotation that the item is a member of."""
        return self.group.level.rotation

    @property
    def load(self) -> float:
        """The load with which the item was added."""
        return self.group.level.load


class WeightGroup(Generic[ItemT]):
    """Members of equal load and equal rounded weight, in a heap with the highest current weight first."""

    __slots__ = ("level", "rounded_weight", "heap", "size")

    def __init__(self, level: LoadLevel[ItemT], rounded_weight: float) -> None:
        self.level = level
        self.rounded_weight = rounded_weight
        # Negated base weight, serial number, entry. Invalid where the entry has another serial number by now.
        self.heap: list[tuple[float, int, RotationEntry[ItemT]]] = []
        self.size = 0

    @property
    def gained_weight(self) -> float:
        """What each member has gained in all rounds of the load level."""
        return self.rounded_weight * self.level.rounds

    def first(self) -> RotationEntry[ItemT]:
        """Return the member with the highest current weight; the group must not be empty."""
        heap = self.heap
        while heap[0][1] != heap[0][2].serial:
            heapq.heappop(heap)
        return heap[0][2]

    def compact(self) -> None:
        """Drop the invalid entries of the heap once they are the majority."""
        if len(self.heap) > MIN_COMPACTED_SIZE + 2 * self.size:
            self.heap = [heap_entry for heap_entry in self.heap if heap_entry[1] == heap_entry[2].serial]
            heapq.heapify(self.heap)


class LoadLevel(Generic[ItemT]):
    """Members of equal load; they take part in the same rounds."""

    __slots__ = ("rotation", "load", "groups", "rounds", "total_weight")

    def __init__(self, rotation: Rotation[ItemT], load: float) -> None:
        self.rotation = rotation
        self.load = load
        self.groups: dict[float, WeightGroup[ItemT]] = {}  # by rounded weight
        self.rounds = 0
        self.total_weight = 0.0  # the sum of the members' effective weights

    def first(self) -> RotationEntry[ItemT]:
        """Return the member that the next round picks; the level must not be empty."""
        candidates = [group.first() for group in self.groups.values()]
        return max(candidates, key=lambda entry: entry.current_weight + entry.group.rounded_weight)

    def subtract_weight(self, weight: float) -> None:
        """Subtract the weight of a member that has been removed from the total."""
        if weight <= MAX_SUBTRACTED_FRACTION * self.total_weight:
            self.total_weight -= weight
            return
        self.total_weight = sum(
            entry.effective_weight
            for group in self.groups.values()
            for _, serial, entry in group.heap
            if serial == entry.serial
        )


class Rotation(Generic[ItemT]):
    """Items by load; those of the lowest load are picked by smooth weighted round robin."""

    def __init__(self) -> None:
        self._levels: dict[float, LoadLevel[ItemT]] = {}
        self._loads: list[float] = []  # a heap of the levels' loads; those of removed levels may linger
        self._serials = itertools.count()
        self.size = 0

    def add(
        self, item: ItemT, load: float, effective_weight: float, current_weight: float
    ) -> RotationEntry[ItemT]:
        """Add an item.

        Args:
            item: The item; it must not be a member.
            load: Its load; only the items of the lowest load are picked.
            effective_weight: The weight by which it is picked; above 0.
            current_weight: Where it starts; what it had when it was last removed.

        Returns:
            The entry by which the item is removed or adjusted.
        """
        level = self._levels.get(load)
        if level is None:
            level = self._levels[load] = LoadLevel(self, load)
            self._push_load(load)
        rounded_weight = rounded(effective_weight)
        group = level.groups.get(rounded_weight)
        if group is None:
            group = level.groups[rounded_weight] = WeightGroup(level, rounded_weight)
        base_weight = current_weight - group.gained_weight
        serial = next(self._serials)
        entry = RotationEntry(item, group, effective_weight, base_weight, serial)
        heapq.heappush(group.heap, (-base_weight, serial, entry))
        group.size += 1
        level.total_weight += effective_weight
        self.size += 1
        return entry

    def _push_load(self, load: float) -> None:
        """Add a new level's load to the heap; drop removed levels' loads once they are the majority."""
        if len(self._loads) > MIN_COMPACTED_SIZE + 2 * len(self._levels):
            self._loads = list(self._levels)
            heapq.heapify(self._loads)
        else:
            heapq.heappush(self._loads, load)

    def remove(self, entry: RotationEntry[ItemT]) -> None:
        """Remove a member; the entry cannot be used again."""
        group = entry.group
        level = group.level
        entry.serial = REMOVED
        self.size -= 1
        group.size -= 1
        if group.size:
            group.compact()
        else:
            del level.groups[group.rounded_weight]
        if level.groups:
            level.subtract_weight(entry.effective_weight)
        else:
            del self._levels[level.load]

    def first(self) -> RotationEntry[ItemT] | None:
        """Return the entry that the next round picks; None if the rotation is empty."""
        if not self.size:
            return None
        while self._loads[0] not in self._levels:
            heapq.heappop(self._loads)
        return self._levels[self._loads[0]].first()

    def finish_round(self, picked: RotationEntry[ItemT]) -> float:
        """Complete a round: all members of the picked one's level gain, and the picked one pays.

        Returns:
            The sum of the effective weights that took part.
        """
        level = picked.group.level
        level.rounds += 1
        self.add_current_weight(
            picked, -level.total_weight * picked.group.rounded_weight / picked.effective_weight
        )
        return level.total_weight

    def add_current_weight(self, entry: RotationEntry[ItemT], weight: float) -> None:
        """Add to a member's current weight; a negative weight is subtracted."""
        entry.base_weight += weight
        entry.serial = next(self._serials)
        heapq.heappush(entry.group.heap, (-entry.base_weight, entry.serial, entry))
        entry.group.compact()
