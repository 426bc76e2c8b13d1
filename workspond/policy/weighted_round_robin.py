"""Smooth weighted round robin in which the cost of a pick does not grow with the number of items.

The standard algorithm adds to the current weight of each item its effective weight in every round. It picks
the item with the highest current weight and subtracts the sum of all effective weights from it. Here only the
items with the lowest load take part in a round, because only they may be picked.

Items of equal load and equal rounded weight form a group. All members of a group have gained the same weight:
the number of rounds times the rounded weight. Each group keeps its members in a heap, ordered by current
weight without that gain, so a pick compares only the first member of each group. Weights are rounded to keep
the number of groups small. The weight subtracted from a picked item is scaled by the ratio of its rounded
weight to its exact one, so in the long run each item is picked exactly in proportion to its effective weight.
"""

from __future__ import annotations

import heapq
import itertools
import math
from typing import Generic, TypeVar

STEPS_PER_DOUBLING = 8  # a rounded weight differs from the exact one by at most 4.5 %
# Subtracting a larger fraction from a sum of weights could leave mostly rounding errors, so the sum is
# computed again instead.
MAX_SUBTRACTED_FRACTION = 0.5
MIN_COMPACTED_SIZE = 16  # heap entries; compacting a smaller heap does not pay off
REMOVED_SERIAL = -1  # marks an entry that has been removed from its rotation

ItemT = TypeVar("ItemT")


def round_weight(weight: float) -> float:
    """Return a weight rounded on a logarithmic scale with `STEPS_PER_DOUBLING` steps per factor of two."""
    exponent: float = round(math.log2(weight) * STEPS_PER_DOUBLING) / STEPS_PER_DOUBLING
    return math.pow(2.0, exponent)


class RotationEntry(Generic[ItemT]):
    """An item's membership in a rotation.

    Attributes:
        item: The member.
        group: The group that the item belongs to.
        effective_weight: The exact weight in proportion to which the item is picked.
        base_weight: The current weight minus the weight that the group has gained.
        serial: The serial number of the item's only valid heap entry; `REMOVED_SERIAL` once the item has been
            removed.
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
        """The load that was given when the item was added."""
        return self.group.level.load


class WeightGroup(Generic[ItemT]):
    """Members of equal load and equal rounded weight, in a heap with the highest current weight first."""

    __slots__ = ("level", "rounded_weight", "heap", "size")

    def __init__(self, level: LoadLevel[ItemT], rounded_weight: float) -> None:
        self.level = level
        self.rounded_weight = rounded_weight
        # Tuples of negated base weight, serial number and entry. A tuple is outdated if its serial number
        # differs from the entry's.
        self.heap: list[tuple[float, int, RotationEntry[ItemT]]] = []
        self.size = 0

    @property
    def gained_weight(self) -> float:
        """The weight that each member has gained in all rounds of the load level."""
        return self.rounded_weight * self.level.rounds

    def first(self) -> RotationEntry[ItemT]:
        """Return the member with the highest current weight; the group must not be empty."""
        heap = self.heap
        while heap[0][1] != heap[0][2].serial:
            heapq.heappop(heap)
        return heap[0][2]

    def compact(self) -> None:
        """Remove the outdated tuples from the heap once they are the majority."""
        if len(self.heap) > MIN_COMPACTED_SIZE + 2 * self.size:
            self.heap = [heap_entry for heap_entry in self.heap if heap_entry[1] == heap_entry[2].serial]
            heapq.heapify(self.heap)


class LoadLevel(Generic[ItemT]):
    """Members of equal load, which take part in the same rounds."""

    __slots__ = ("rotation", "load", "groups", "rounds", "total_weight")

    def __init__(self, rotation: Rotation[ItemT], load: float) -> None:
        self.rotation = rotation
        self.load = load
        self.groups: dict[float, WeightGroup[ItemT]] = {}  # by rounded weight
        self.rounds = 0  # completed rounds
        self.total_weight = 0.0  # the sum of the members' effective weights

    def first(self) -> RotationEntry[ItemT]:
        """Return the member that the next round picks; the level must not be empty."""
        candidates = [group.first() for group in self.groups.values()]
        return max(candidates, key=lambda entry: entry.current_weight + entry.group.rounded_weight)

    def subtract_weight(self, weight: float) -> None:
        """Subtract the weight of a removed member from the total weight."""
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
    """Picks items of the lowest load by smooth weighted round robin."""

    def __init__(self) -> None:
        self._levels: dict[float, LoadLevel[ItemT]] = {}
        self._loads: list[float] = []  # a heap of the levels' loads; may contain loads of removed levels
        self._serials = itertools.count()
        self.size = 0

    def add(
        self, item: ItemT, load: float, effective_weight: float, current_weight: float
    ) -> RotationEntry[ItemT]:
        """Add an item.

        Args:
            item: The item; it must not be a member.
            load: The item's load; only items of the lowest load are picked.
            effective_weight: The weight in proportion to which the item is picked; must be above 0.
            current_weight: The initial current weight; for an item that was a member before, the one that it
                had when it was removed.

        Returns:
            The entry of the item, for `remove` and `add_current_weight`.
        """
        level = self._levels.get(load)
        if level is None:
            level = self._levels[load] = LoadLevel(self, load)
            self._push_load(load)
        rounded_weight = round_weight(effective_weight)
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
        """Add a new level's load to the heap; if most loads in it are of removed levels, rebuild the heap."""
        if len(self._loads) > MIN_COMPACTED_SIZE + 2 * len(self._levels):
            self._loads = list(self._levels)
            heapq.heapify(self._loads)
        else:
            heapq.heappush(self._loads, load)

    def remove(self, entry: RotationEntry[ItemT]) -> None:
        """Remove a member; its entry must not be used afterwards."""
        group = entry.group
        level = group.level
        entry.serial = REMOVED_SERIAL
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
        """Complete a round: raise all current weights of the picked member's level, then lower that member's.

        Returns:
            The sum of the effective weights of the level's members.
        """
        level = picked.group.level
        level.rounds += 1
        self.add_current_weight(
            picked, -level.total_weight * picked.group.rounded_weight / picked.effective_weight
        )
        return level.total_weight

    def add_current_weight(self, entry: RotationEntry[ItemT], weight: float) -> None:
        """Add a weight, which may be negative, to a member's current weight."""
        entry.base_weight += weight
        entry.serial = next(self._serials)
        heapq.heappush(entry.group.heap, (-entry.base_weight, entry.serial, entry))
        entry.group.compact()
