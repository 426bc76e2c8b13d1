"""Deterministic subsetting: which part of each server a copy uses, kept up to date by the change.

All servers are shuffled several times, in the same way at every copy. Each shuffle is cut into as many slices
as there are copies, one for each, so that all copies together use every server in proportion to its share.
"""

from __future__ import annotations

import itertools
import math
from bisect import bisect_left, insort
from collections import Counter
from random import Random

REBUILD_FROM = 64  # changes at once, from which shuffles are sorted anew
SLIVER = 1e-9  # of a share: less than that is a rounding error


class Shuffle:
    """All members in an order of their own."""

    def __init__(self, number: int) -> None:
        self._factor = Random(number).getrandbits(32) | 1
        self._order: list[tuple[int, int]] = []  # by hash and member

    def _key(self, member: int) -> tuple[int, int]:
        return member * self._factor % 2**32, member

    def rebuild(self, members: dict[int, float]) -> None:
        """Sort all members anew."""
        self._order = sorted(map(self._key, members))

    def insert(self, member: int) -> None:
        """Add a member that is not in."""
        insort(self._order, self._key(member))

    def remove(self, member: int) -> None:
        """Drop a member that is in."""
        del self._order[bisect_left(self._order, self._key(member))]

    def take_even(self, start: float, end: float, share: float) -> dict[int, float]:
        """What lies from `start` to `end` where all have the same share."""
        taken = {}
        for n in range(int(start / share), min(len(self._order), math.ceil(end / share))):
            part = min((n + 1) * share, end) - max(n * share, start)
            if part > 0.0:
                taken[self._order[n][1]] = part
        return taken

    def take(self, start: float, end: float, shares: dict[int, float]) -> dict[int, float]:
        """What lies from `start` to `end` of all shares, laid end to end."""
        members = [member for _, member in self._order]
        ends = list(itertools.accumulate(shares[member] for member in members))
        taken = {}
        for n in range(bisect_left(ends, start), len(ends)):
            share = shares[members[n]]
            if ends[n] - share >= end:
                break
            part = min(ends[n], end) - max(ends[n] - share, start)
            if part > 0.0:
                taken[members[n]] = part
        return taken


class Subset:
    """What copy `number` of `nodes` uses of each member."""

    def __init__(self, number: int, nodes: int, slices: int) -> None:
        self._number, self._nodes = number % nodes, nodes  # numbered beyond their count it would take nothing
        self.slices = slices
        self._shares: dict[int, float] = {}
        self._counts: Counter[float] = Counter()  # of members by share
        self._changed: set[int] = set()
        self._shuffles: list[Shuffle] = []
        self._ordered: set[int] = set()  # the members that the shuffles hold
        self._resized = False
        self.parts: dict[int, float] = {}  # of each member that this copy uses

    def __len__(self) -> int:
        return len(self._shares)

    def set_share(self, member: int, share: float) -> None:
        """Add a member, or change its share."""
        if self._shares.get(member) != share:
            self._discount(member)
            self._shares[member] = share
            self._counts[share] += 1
            self._changed.add(member)

    def remove(self, member: int) -> None:
        """Drop a member, if it is one."""
        if member in self._shares:
            self._discount(member)
            del self._shares[member]
            self._changed.add(member)

    def _discount(self, member: int) -> None:
        share = self._shares.get(member)
        if share is not None:
            self._counts[share] -= 1
            if not self._counts[share]:
                del self._counts[share]

    def use_slices(self, slices: int) -> None:
        """Use so many slices from the next update on."""
        self._resized = self._resized or slices != self.slices
        self.slices = slices

    def update(self) -> set[int]:
        """Bring `parts` up to date; the members that were set or removed, or whose part has changed."""
        changed, self._changed = self._changed, set()
        if not changed and not self._resized:
            return set()
        if self.slices >= self._nodes:
            self._shuffles.clear()
            return self._use_all(changed)
        self._resized = False
        self._reorder(changed)
        return self._replace(self._cut()) | changed

    def _use_all(self, changed: set[int]) -> set[int]:
        if self._resized:
            self._resized = False
            everything = {member: share for member, share in self._shares.items() if share}
            return self._replace(everything) | changed
        for member in changed:
            share = self._shares.get(member, 0.0)
            if share:
                self.parts[member] = share
            else:
                self.parts.pop(member, None)
        return changed

    def _reorder(self, changed: set[int]) -> None:
        """Bring the shuffles up to date with the members, and to their number."""
        del self._shuffles[self.slices :]
        if len(changed) >= REBUILD_FROM or not self._shuffles:
            self._shuffles.clear()
            self._ordered = set(self._shares)
        for member in changed:
            if member in self._shares and member not in self._ordered:
                self._ordered.add(member)
                for shuffle in self._shuffles:
                    shuffle.insert(member)
            elif member in self._ordered and member not in self._shares:
                self._ordered.remove(member)
                for shuffle in self._shuffles:
                    shuffle.remove(member)
        while len(self._shuffles) < self.slices:
            shuffle = Shuffle(len(self._shuffles))
            shuffle.rebuild(self._shares)
            self._shuffles.append(shuffle)

    def _cut(self) -> dict[int, float]:
        size = math.fsum(share * count for share, count in self._counts.items()) / self._nodes
        start, end = self._number * size, (self._number + 1) * size
        even = next(iter(self._counts)) if len(self._counts) == 1 else 0.0
        taken: dict[int, float] = {}
        for shuffle in self._shuffles:
            piece = shuffle.take_even(start, end, even) if even else shuffle.take(start, end, self._shares)
            for member, part in piece.items():
                taken[member] = taken.get(member, 0.0) + part
        return {member: part for member, part in taken.items() if part > SLIVER * self._shares[member]}

    def _replace(self, parts: dict[int, float]) -> set[int]:
        before, self.parts = self.parts, parts
        changed = {member for member, part in parts.items() if before.get(member) != part}
        return changed | (before.keys() - parts.keys())
