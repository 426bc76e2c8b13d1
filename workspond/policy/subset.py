"""Deterministic subsetting with incremental updates: which servers a replica uses, and with which weights.

All members are shuffled several times, in the same way at every replica. Each shuffle is cut into as many
slices of equal weight as there are replicas, and each replica uses one slice of each shuffle. A slice may cut
a member in two, so each replica has a subset weight for each member: the sum of the member's weight in the
replica's slices. All replicas together use every member in proportion to its weight.
"""

from __future__ import annotations

import itertools
import math
from bisect import bisect_left, insort
from collections import Counter
from random import Random

MIN_REBUILD_CHANGES = 64  # fewer changed members are inserted and removed one by one
MIN_SUBSET_WEIGHT_FRACTION = 1e-9  # of the member's weight; less is a rounding error


class Shuffle:
    """All members in a pseudo-random order that depends on the number of the shuffle only."""

    def __init__(self, number: int) -> None:
        self._factor = Random(number).getrandbits(32) | 1
        self._order: list[tuple[int, int]] = []  # sorted pairs of hash and member

    def _sort_key(self, member: int) -> tuple[int, int]:
        return member * self._factor % 2**32, member

    def rebuild(self, members: dict[int, float]) -> None:
        """Replace all members."""
        self._order = sorted(map(self._sort_key, members))

    def insert(self, member: int) -> None:
        """Add a member; it must not be in the shuffle yet."""
        insort(self._order, self._sort_key(member))

    def remove(self, member: int) -> None:
        """Remove a member; it must be in the shuffle."""
        del self._order[bisect_left(self._order, self._sort_key(member))]

    def cut_equal_weights(self, start: float, end: float, weight: float) -> dict[int, float]:
        """Return the weight of each member between `start` and `end` if all members have the same weight.

        The members' weights are laid end to end; `start` and `end` are positions on that line.
        """
        weights_in_slice = {}
        last = min(len(self._order), math.ceil(end / weight))
        for position in range(int(start / weight), last):
            weight_in_slice = min((position + 1) * weight, end) - max(position * weight, start)
            if weight_in_slice > 0.0:
                weights_in_slice[self._order[position][1]] = weight_in_slice
        return weights_in_slice

    def cut(self, start: float, end: float, weights: dict[int, float]) -> dict[int, float]:
        """Return the weight of each member between `start` and `end`; the members' weights may differ."""
        members = [member for _, member in self._order]
        ends = list(itertools.accumulate(weights[member] for member in members))
        weights_in_slice = {}
        for position in range(bisect_left(ends, start), len(ends)):
            member_end = ends[position]
            member_start = member_end - weights[members[position]]
            if member_start >= end:
                break
            weight_in_slice = min(member_end, end) - max(member_start, start)
            if weight_in_slice > 0.0:
                weights_in_slice[members[position]] = weight_in_slice
        return weights_in_slice


class Subset:
    """The weights of all members, and the subset weights of those that one replica uses.

    Attributes:
        slice_count: The number of slices that the replica uses, one of each shuffle. If it is at
            least the number of replicas, the replica uses all members with their whole weights.
        subset_weights: The subset weight of each member that the replica uses, as of the last update.
    """

    def __init__(self, replica_index: int, replicas: int, slice_count: int) -> None:
        self._replica_index = replica_index % replicas  # an index above the last slice would have no members
        self._replicas = replicas
        self.slice_count = slice_count
        self._weights: dict[int, float] = {}
        self._weight_counts: Counter[float] = Counter()  # number of members by weight
        self._changed_members: set[int] = set()
        self._slice_count_changed = False
        self._shuffles: list[Shuffle] = []
        self._shuffled_members: set[int] = set()  # the members that each shuffle contains
        self.subset_weights: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._weights)

    def set_weight(self, member: int, weight: float) -> None:
        """Add a member or change its weight; this takes effect with the next update."""
        if self._weights.get(member) != weight:
            self._decrement_weight_count(member)
            self._weights[member] = weight
            self._weight_counts[weight] += 1
            self._changed_members.add(member)

    def remove(self, member: int) -> None:
        """Remove a member, if it is one; this takes effect with the next update."""
        if member in self._weights:
            self._decrement_weight_count(member)
            del self._weights[member]
            self._changed_members.add(member)

    def _decrement_weight_count(self, member: int) -> None:
        weight = self._weights.get(member)
        if weight is not None:
            self._weight_counts[weight] -= 1
            if not self._weight_counts[weight]:
                del self._weight_counts[weight]

    def set_slice_count(self, slice_count: int) -> None:
        """Set the number of slices to use; this takes effect with the next update."""
        self._slice_count_changed = self._slice_count_changed or slice_count != self.slice_count
        self.slice_count = slice_count

    def update(self) -> set[int]:
        """Bring `subset_weights` up to date.

        Returns:
            The members that were set or removed since the last update, or whose subset weight has changed.
        """
        changed = self._changed_members
        self._changed_members = set()
        if not changed and not self._slice_count_changed:
            return set()
        if self.slice_count >= self._replicas:
            self._shuffles.clear()
            return self._use_whole_fleet(changed)
        self._slice_count_changed = False
        self._update_shuffles(changed)
        return self._replace_subset_weights(self._cut_slices()) | changed

    def _use_whole_fleet(self, changed: set[int]) -> set[int]:
        """Use all members with their whole weights; return the members that may have changed."""
        if self._slice_count_changed:
            self._slice_count_changed = False
            all_weights = {member: weight for member, weight in self._weights.items() if weight}
            return self._replace_subset_weights(all_weights) | changed
        for member in changed:
            weight = self._weights.get(member, 0.0)
            if weight:
                self.subset_weights[member] = weight
            else:
                self.subset_weights.pop(member, None)
        return changed

    def _update_shuffles(self, changed: set[int]) -> None:
        """Update the number of shuffles and their members."""
        del self._shuffles[self.slice_count :]
        if len(changed) >= MIN_REBUILD_CHANGES or not self._shuffles:
            self._shuffles.clear()
            self._shuffled_members = set(self._weights)
        for member in changed:
            self._update_member(member)
        while len(self._shuffles) < self.slice_count:
            shuffle = Shuffle(len(self._shuffles))
            shuffle.rebuild(self._weights)
            self._shuffles.append(shuffle)

    def _update_member(self, member: int) -> None:
        """Add a changed member to the shuffles, or remove it from them."""
        if member in self._weights and member not in self._shuffled_members:
            self._shuffled_members.add(member)
            for shuffle in self._shuffles:
                shuffle.insert(member)
        elif member in self._shuffled_members and member not in self._weights:
            self._shuffled_members.remove(member)
            for shuffle in self._shuffles:
                shuffle.remove(member)

    def _cut_slices(self) -> dict[int, float]:
        """Cut this replica's slice out of each shuffle, and sum the weights by member."""
        total_weight = math.fsum(weight * count for weight, count in self._weight_counts.items())
        slice_weight = total_weight / self._replicas
        start = self._replica_index * slice_weight
        end = (self._replica_index + 1) * slice_weight
        equal_weight = next(iter(self._weight_counts)) if len(self._weight_counts) == 1 else 0.0
        subset_weights: dict[int, float] = {}
        for shuffle in self._shuffles:
            if equal_weight:
                cut = shuffle.cut_equal_weights(start, end, equal_weight)
            else:
                cut = shuffle.cut(start, end, self._weights)
            for member, subset_weight in cut.items():
                subset_weights[member] = subset_weights.get(member, 0.0) + subset_weight
        return {
            member: subset_weight
            for member, subset_weight in subset_weights.items()
            if subset_weight > MIN_SUBSET_WEIGHT_FRACTION * self._weights[member]
        }

    def _replace_subset_weights(self, subset_weights: dict[int, float]) -> set[int]:
        """Replace all subset weights; return the members whose subset weight has changed."""
        before = self.subset_weights
        self.subset_weights = subset_weights
        changed = {
            member for member, subset_weight in subset_weights.items() if before.get(member) != subset_weight
        }
        return changed | (before.keys() - subset_weights.keys())
