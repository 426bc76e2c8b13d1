"""Which server gets an attempt: smooth weighted rotation among those that hold the fewest calls.

What is found of a server is kept with it and worked out anew when something happens to it: an attempt begins
or ends, the list changes, or the time comes at which its weight, its budget or its ejection will have
changed. So a pick looks at a few servers only, however many there are.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from dataclasses import dataclass

from workspond.policy.call import Call
from workspond.policy.fleet import Fleet, FleetChange
from workspond.policy.request_statistics import TypicalDelay
from workspond.policy.server import Server
from workspond.policy.slow_start import SlowStart
from workspond.policy.weighted_round_robin import Rotation

MOST_DUE = 8  # servers that one event looks at because their time has come
GROUP_DRAWN = 32  # servers that are compared for a request that may have run, of those that drop a repeat
LEAST_SPEED = 1e-3  # that a server is taken for, so that weights differ only so far
LEAST_WEIGHT = 1e-300  # so that it has a logarithm, whatever share discovery tells


@dataclass(slots=True)
class Candidate:
    """A server that is compared with few others, in a rotation or not."""

    server: Server
    weight: float
    load: float  # calls that it works on for this copy, for the part of it that is this copy's to use

    def current_weight(self) -> float:
        """How far ahead it is."""
        return (
            self.server.rotation_entry.current_weight
            if self.server.rotation_entry is not None
            else self.server.current_weight
        )

    def adjust(self, credit: float) -> None:
        """Give it credit, or take it."""
        if self.server.rotation_entry is not None:
            self.server.rotation_entry.rotation.adjust(self.server, credit)
        else:
            self.server.current_weight += credit


class ServerSelector:
    """Picks a call's next server."""

    def __init__(self, fleet: Fleet, slow_start: SlowStart, usual: TypicalDelay, rng: random.Random) -> None:
        self._fleet, self._slow_start, self._usual, self._rng = fleet, slow_start, usual, rng
        self._open, self._ejected = Rotation(), Rotation()
        self._due: list[tuple[float, int, Server]] = []  # a heap; entries unlike a server's `due_ms` are old
        self._serial = itertools.count()
        self._weight = 0.0  # of all servers that may be sent something, as far as their budgets go
        self._round_weight = 0.0  # of those that took part in the last round
        self._lost_calls = self._ejected_count = 0

    # What is known of servers

    def apply(self, change: FleetChange, now_ms: float) -> None:
        """Take what the list has changed."""
        for server in change.removed:
            self._forget(server)
        for server in change.updated:
            self.update(server, now_ms)

    def update(self, server: Server, now_ms: float) -> None:
        """Work out anew what is known of a server, if it is this copy's to use."""
        if not self._fleet.is_in_subset(server):
            return
        usual, slow_start = self._usual.objective_ratio, self._slow_start
        warmth = slow_start.capacity_fraction(server, now_ms)
        has_budget = (
            warmth >= 1.0
            or slow_start.refill_cold_budget(server, warmth, self._fleet.total_subset_weight, now_ms) >= 1.0
        )
        weight = self._weight_of(server, warmth, now_ms)
        lost = server.count_stalled_calls(now_ms, usual) if server.calls_in_flight else 0
        ejected = now_ms < server.ejected_until_ms
        self._count(server, weight if has_budget else 0.0, lost, ejected)
        selectable = has_budget and server.in_flight < server.in_flight_limit
        rotation = (self._ejected if ejected else self._open) if selectable else None
        self._place(server, rotation, (server.in_flight - lost) / server.subset_weight, weight)
        due_ms = min(
            server.next_speed_change_ms(now_ms, usual), slow_start.next_change_ms(server, warmth, now_ms)
        )
        self._look_again(server, min(due_ms, server.ejected_until_ms) if ejected else due_ms)

    def _weight_of(self, server: Server, warmth: float, now_ms: float) -> float:
        speed = max(warmth * server.speed_factor(now_ms, self._usual.objective_ratio), LEAST_SPEED)
        return max(server.subset_weight * speed, LEAST_WEIGHT)

    def _forget(self, server: Server) -> None:
        """Drop a server that is no longer this copy's to use."""
        if server.rotation_entry is not None:
            server.rotation_entry.rotation.remove(server)
        self._count(server, 0.0, 0, False)
        server.refresh_at_ms = math.inf

    def _count(self, server: Server, weight: float, lost: int, ejected: bool) -> None:
        self._weight += weight - server.counted_weight
        self._lost_calls += lost - server.stalled_calls
        self._ejected_count += ejected - server.ejected
        server.counted_weight, server.stalled_calls, server.ejected = weight, lost, ejected

    def _place(self, server: Server, rotation: Rotation | None, load: float, weight: float) -> None:
        """Put a server where it belongs, with the credit that it has."""
        place = server.rotation_entry
        if place is not None:
            if place.rotation is rotation and place.load == load and server.effective_weight == weight:
                return
            place.rotation.remove(server)
        self._start(server, weight)
        server.effective_weight = weight
        if rotation is not None:
            rotation.add(server, load)

    def _start(self, server: Server, weight: float) -> None:
        """Give a server that is new a random place in the round, so that copies don't go round in step."""
        if not server.effective_weight:
            server.current_weight = -self._rng.random() * max(weight, self._round_weight)
            server.effective_weight = weight

    def _look_again(self, server: Server, due_ms: float) -> None:
        if due_ms < math.inf and due_ms != server.refresh_at_ms:
            heapq.heappush(self._due, (due_ms, next(self._serial), server))
        server.refresh_at_ms = due_ms

    def refresh_due(self, now_ms: float) -> None:
        """Look at servers whose time has come: those of longest ago, so many at most."""
        looked = 0
        while self._due and self._due[0][0] <= now_ms and looked < MOST_DUE:
            due_ms, _, server = heapq.heappop(self._due)
            if server.refresh_at_ms == due_ms:
                self.update(server, now_ms)
                looked += 1

    def count_stalled_calls(self, now_ms: float) -> int:
        """How many calls are out that no server can be working on, as far as can be told."""
        self.refresh_due(now_ms)
        return self._lost_calls

    def ejected_fraction(self, now_ms: float) -> float:
        """The share of this copy's servers that are ejected."""
        self.refresh_due(now_ms)
        return self._ejected_count / (self._fleet.ready_count or 1)

    # Picks

    def pick(self, call: Call, now_ms: float) -> Server | None:
        """The server for the call's next attempt; None where none may get one now."""
        if call.first_possible_run_at_ms is not None:
            return self._pick_in_group(call, now_ms)
        self.refresh_due(now_ms)
        if self._fleet.total_subset_weight:
            self._slow_start.record_warm_fraction(
                max(0.0, self._weight) / self._fleet.total_subset_weight, now_ms
            )
        last, rotation = call.last_server, self._open if self._open.size else self._ejected
        # Elsewhere than last time, where there is a choice.
        aside = last if last is not None and last in rotation and rotation.size > 1 else None
        load = 0.0
        if aside is not None and aside.rotation_entry is not None:
            load = aside.rotation_entry.load
            rotation.remove(aside)
        server = self._leader(now_ms)
        if server is not None and server.rotation_entry is not None:
            self._round_weight = server.rotation_entry.rotation.charge(server)
        if aside is not None:
            rotation.add(aside, load)
        return server if server is not None else aside

    def _leader(self, now_ms: float) -> Server | None:
        """The server whose turn it is; what is known of it is up to date."""
        while True:
            # A slow or stuck server shows first by what it holds: passed over till its peers hold alike. With
            # one more allowed, rota: a call waited behind another where a box that serves one at a time stood
            # idle.
            rotation = self._open if self._open.size else self._ejected
            server = rotation.leader()
            if server is None or server.refresh_at_ms > now_ms:
                return server
            self.update(server, now_ms)

    def _pick_in_group(self, call: Call, now_ms: float) -> Server | None:
        """The server for a call that may have run: of those that drop a repeat, the one furthest ahead."""
        drawn = [
            self._candidate(server, now_ms)
            for server in self._fleet.draw_deduplication_group(call, GROUP_DRAWN)
        ]
        usable = [candidate for candidate in drawn if candidate is not None]
        found = [candidate for candidate in usable if now_ms >= candidate.server.ejected_until_ms] or usable
        if len(found) > 1:
            found = [candidate for candidate in found if candidate.server is not call.last_server]
        least = min((candidate.load for candidate in found), default=0.0)
        found = [candidate for candidate in found if candidate.load <= least]
        if not found:
            return None
        for candidate in found:
            candidate.adjust(candidate.weight)
        best = max(found, key=lambda candidate: candidate.current_weight())
        self._round_weight = sum(candidate.weight for candidate in found)
        best.adjust(-self._round_weight)
        return best.server

    def _candidate(self, server: Server, now_ms: float) -> Candidate | None:
        """A server as it is now, if it may get an attempt."""
        if self._fleet.is_in_subset(server):
            if server.rotation_entry is None or server.refresh_at_ms <= now_ms:
                self.update(server, now_ms)
            return (
                Candidate(server, server.effective_weight, server.rotation_entry.load)
                if server.rotation_entry is not None
                else None
            )
        if server.in_flight >= server.in_flight_limit or not server.subset_weight:
            return None
        warmth, usual = self._slow_start.capacity_fraction(server, now_ms), self._usual.objective_ratio
        if (
            warmth < 1.0
            and self._slow_start.refill_cold_budget(server, warmth, self._fleet.total_subset_weight, now_ms)
            < 1.0
        ):
            return None
        weight = self._weight_of(server, warmth, now_ms)
        self._start(server, weight)
        return Candidate(
            server,
            weight,
            (server.in_flight - server.count_stalled_calls(now_ms, usual)) / server.subset_weight,
        )
