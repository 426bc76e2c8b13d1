"""Selection of the server for an attempt: smooth weighted round robin among the servers of the lowest load.

What is worked out for a server is kept in its `SelectionState` and worked out anew when something happens to
it: an attempt begins or ends, the endpoint list changes, or the moment comes at which its weight, its cold
budget or its ejection will have changed. So a pick looks at a few servers only, however many there are.
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
from workspond.policy.weighted_round_robin import Rotation, RotationEntry

MAX_REFRESHED_SERVERS = 8  # that one event refreshes because they are due: bounds the cost of an event
MAX_GROUP_CANDIDATES = 32  # servers of a deduplication group that are compared for one pick
MIN_SPEED_FACTOR = 1e-3  # of a server, so that weights differ only so far
MIN_WEIGHT = 1e-300  # of a server, so that its weight has a logarithm, whatever weight discovery lists


@dataclass(slots=True)
class Candidate:
    """A server of a deduplication group that may get a call's next attempt.

    Attributes:
        server: The server.
        weight: Its effective weight.
        load: The calls of this replica that it works on, by subset weight.
    """

    server: Server
    weight: float
    load: float


class ServerSelector:
    """Picks the servers of calls' attempts."""

    def __init__(
        self, fleet: Fleet, slow_start: SlowStart, typical_delay: TypicalDelay, rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._slow_start = slow_start
        self._typical_delay = typical_delay
        self._rng = rng
        self._healthy: Rotation[Server] = Rotation()
        self._ejected: Rotation[Server] = Rotation()
        # A heap of moments and servers. An entry is invalid if the server's `refresh_at_ms` differs by now.
        self._refresh_queue: list[tuple[float, int, Server]] = []
        self._refresh_serials = itertools.count()
        self._total_weight = 0.0  # of the servers in the subset whose cold budget allows an attempt
        self._last_round_weight = 0.0  # the sum of the weights that took part in the last round
        self._stalled_calls = 0
        self._ejected_count = 0

    # State of the servers

    def apply(self, change: FleetChange, now_ms: float) -> None:
        """Take over a change of this replica's subset of the servers."""
        for server in change.removed:
            self._forget(server)
        for server in change.updated:
            self.update(server, now_ms)

    def update(self, server: Server, now_ms: float) -> None:
        """Work out a server's selection state anew, if it is in this replica's subset."""
        if not self._fleet.is_in_subset(server):
            return
        objective_ratio = self._typical_delay.objective_ratio
        capacity_fraction = self._slow_start.capacity_fraction(server, now_ms)
        has_budget = capacity_fraction >= 1.0 or self._has_cold_budget(server, capacity_fraction, now_ms)
        weight = self._weight_of(server, capacity_fraction, now_ms)
        stalled_calls = server.count_stalled_calls(now_ms, objective_ratio) if server.calls_in_flight else 0
        is_ejected = now_ms < server.ejected_until_ms
        self._count(server, weight if has_budget else 0.0, stalled_calls, is_ejected=is_ejected)
        selectable = has_budget and server.in_flight < server.in_flight_limit
        rotation = (self._ejected if is_ejected else self._healthy) if selectable else None
        self._place(server, rotation, (server.in_flight - stalled_calls) / server.subset_weight, weight)
        refresh_at_ms = min(
            server.next_speed_change_at_ms(now_ms, objective_ratio),
            self._slow_start.next_change_at_ms(server, capacity_fraction, now_ms),
        )
        self._schedule_refresh(
            server, min(refresh_at_ms, server.ejected_until_ms) if is_ejected else refresh_at_ms
        )

    def _has_cold_budget(self, server: Server, capacity_fraction: float, now_ms: float) -> bool:
        """Whether the budget of a server that is warming up allows an attempt."""
        tokens = self._slow_start.refill_slow_start_budget(
            server, capacity_fraction, self._fleet.total_subset_weight, now_ms
        )
        return tokens >= 1.0

    def _weight_of(self, server: Server, capacity_fraction: float, now_ms: float) -> float:
        """Return the effective weight: the subset weight times how fast the server is."""
        speed_factor = server.speed_factor(now_ms, self._typical_delay.objective_ratio)
        return max(server.subset_weight * max(capacity_fraction * speed_factor, MIN_SPEED_FACTOR), MIN_WEIGHT)

    def _forget(self, server: Server) -> None:
        """Drop a server that has left this replica's subset."""
        server.selection.leave_rotation()
        self._count(server, 0.0, 0, is_ejected=False)
        server.selection.refresh_at_ms = math.inf

    def _count(self, server: Server, weight: float, stalled_calls: int, *, is_ejected: bool) -> None:
        """Replace a server's part of the totals."""
        state = server.selection
        self._total_weight += weight - state.counted_weight
        self._stalled_calls += stalled_calls - state.stalled_calls
        self._ejected_count += is_ejected - state.is_ejected
        state.counted_weight = weight
        state.stalled_calls = stalled_calls
        state.is_ejected = is_ejected

    def _place(self, server: Server, rotation: Rotation[Server] | None, load: float, weight: float) -> None:
        """Move a server to a rotation, or out of all (None); it keeps its current weight."""
        state = server.selection
        entry = state.rotation_entry
        if entry is not None:
            level = entry.group.level
            if level.rotation is rotation and level.load == load and state.effective_weight == weight:
                return
            state.leave_rotation()
        if not state.effective_weight:
            self._draw_current_weight(server, weight)
        state.effective_weight = weight
        if rotation is not None:
            state.rotation_entry = rotation.add(server, load, weight, state.current_weight)

    def _draw_current_weight(self, server: Server, weight: float) -> None:
        """Give a new server a random place in the round, so that replicas do not go round in step."""
        server.selection.current_weight = -self._rng.random() * max(weight, self._last_round_weight)

    def _schedule_refresh(self, server: Server, refresh_at_ms: float) -> None:
        state = server.selection
        if refresh_at_ms < math.inf and refresh_at_ms != state.refresh_at_ms:
            heapq.heappush(self._refresh_queue, (refresh_at_ms, next(self._refresh_serials), server))
        state.refresh_at_ms = refresh_at_ms

    def refresh_due(self, now_ms: float) -> None:
        """Update the servers that are due, the longest due first, up to `MAX_REFRESHED_SERVERS`."""
        refreshed = 0
        queue = self._refresh_queue
        while queue and queue[0][0] <= now_ms and refreshed < MAX_REFRESHED_SERVERS:
            refresh_at_ms, _, server = heapq.heappop(queue)
            if server.selection.refresh_at_ms == refresh_at_ms:
                self.update(server, now_ms)
                refreshed += 1

    def count_stalled_calls(self, now_ms: float) -> int:
        """Count the calls in flight that no server can be working on, as far as can be told."""
        self.refresh_due(now_ms)
        return self._stalled_calls

    def ejected_fraction(self, now_ms: float) -> float:
        """Return the fraction of the servers in this replica's subset that are ejected."""
        self.refresh_due(now_ms)
        return self._ejected_count / (self._fleet.subset_size or 1)

    # Picks

    def pick(self, call: Call, now_ms: float) -> Server | None:
        """Pick the server for a call's next attempt; None if no server may get one now."""
        if call.first_possible_run_at_ms is not None:
            return self._pick_in_group(call, now_ms)
        self.refresh_due(now_ms)
        if self._fleet.total_subset_weight:
            warm_fraction = max(0.0, self._total_weight) / self._fleet.total_subset_weight
            self._slow_start.record_warm_fraction(warm_fraction, now_ms)
        previous = call.last_server
        if previous is not None:
            rotation = self._active_rotation()
            entry = previous.selection.rotation_entry
            # A retry goes to another server than the last attempt, where there is a choice.
            if entry is not None and entry.rotation is rotation and rotation.size > 1:
                return self._pick_other(previous, entry, now_ms)
        return self._pick_first(now_ms)

    def _active_rotation(self) -> Rotation[Server]:
        """Return the rotation that picks come from: ejected servers only where there are no others."""
        return self._healthy if self._healthy.size else self._ejected

    def _pick_other(self, excluded: Server, entry: RotationEntry[Server], now_ms: float) -> Server:
        """Pick any server but one; that one only if no other is left."""
        rotation = entry.rotation
        load = entry.load
        state = excluded.selection
        state.leave_rotation()
        picked = self._pick_first(now_ms)
        state.rotation_entry = rotation.add(excluded, load, state.effective_weight, state.current_weight)
        return picked if picked is not None else excluded

    def _pick_first(self, now_ms: float) -> Server | None:
        """Pick the server that the next round picks, and complete the round."""
        entry = self._first_entry(now_ms)
        if entry is None:
            return None
        self._last_round_weight = entry.rotation.finish_round(entry)
        return entry.item

    def _first_entry(self, now_ms: float) -> RotationEntry[Server] | None:
        """Return the entry that the next round picks, with its server's state up to date."""
        while True:
            # Only servers of the lowest load are picked. So a slow or stuck server, which shows first by the
            # calls that it holds, is passed over until its peers hold as many. If one more call were allowed,
            # calls would wait behind others while a server that works on one at a time stands idle.
            entry = self._active_rotation().first()
            if entry is None or entry.item.selection.refresh_at_ms > now_ms:
                return entry
            self.update(entry.item, now_ms)

    def _pick_in_group(self, call: Call, now_ms: float) -> Server | None:
        """Pick a server for a call that may have run: one of those that drop a repeat of it."""
        candidates = self._group_candidates(call, now_ms)
        min_load = min((candidate.load for candidate in candidates), default=0.0)
        candidates = [candidate for candidate in candidates if candidate.load <= min_load]
        if not candidates:
            return None
        for candidate in candidates:
            candidate.server.selection.add_current_weight(candidate.weight)
        picked = max(
            candidates, key=lambda candidate: candidate.server.selection.latest_current_weight()
        ).server
        self._last_round_weight = sum(candidate.weight for candidate in candidates)
        picked.selection.add_current_weight(-self._last_round_weight)
        return picked

    def _group_candidates(self, call: Call, now_ms: float) -> list[Candidate]:
        """Return the usable servers of a call's deduplication group.

        Ejected servers are among them only if there are no others. The server of the last attempt is among
        them only if there is no other.
        """
        drawn = [
            self._candidate(server, now_ms)
            for server in self._fleet.draw_deduplication_group(call, MAX_GROUP_CANDIDATES)
        ]
        usable = [candidate for candidate in drawn if candidate is not None]
        healthy = [candidate for candidate in usable if now_ms >= candidate.server.ejected_until_ms]
        candidates = healthy or usable
        if len(candidates) > 1:
            return [candidate for candidate in candidates if candidate.server is not call.last_server]
        return candidates

    def _candidate(self, server: Server, now_ms: float) -> Candidate | None:
        """Return a server as a candidate of a group; None if it may get no attempt now."""
        if self._fleet.is_in_subset(server):
            return self._subset_candidate(server, now_ms)
        if server.in_flight >= server.in_flight_limit or not server.subset_weight:
            return None
        capacity_fraction = self._slow_start.capacity_fraction(server, now_ms)
        if capacity_fraction < 1.0 and not self._has_cold_budget(server, capacity_fraction, now_ms):
            return None
        weight = self._weight_of(server, capacity_fraction, now_ms)
        if not server.selection.effective_weight:
            self._draw_current_weight(server, weight)
            server.selection.effective_weight = weight
        stalled_calls = server.count_stalled_calls(now_ms, self._typical_delay.objective_ratio)
        return Candidate(server, weight, (server.in_flight - stalled_calls) / server.subset_weight)

    def _subset_candidate(self, server: Server, now_ms: float) -> Candidate | None:
        """Return a server of this replica's subset as a candidate; None if it may get no attempt now."""
        state = server.selection
        if state.rotation_entry is None or state.refresh_at_ms <= now_ms:
            self.update(server, now_ms)
        entry = state.rotation_entry
        return Candidate(server, state.effective_weight, entry.load) if entry is not None else None
