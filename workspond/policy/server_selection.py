"""Server selection: picks the server of an attempt by smooth weighted round robin among the least loaded.

The values computed for a server are cached in its `SelectionState`. They are computed again when an attempt
to the server begins or ends, when the endpoint list changes, and at the time at which the server's weight,
slow-start budget or ejection is due to change. So a pick examines only a few servers, whatever the size of
the fleet.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from dataclasses import dataclass

from workspond.policy.call import Call
from workspond.policy.fleet import Fleet, SubsetChange
from workspond.policy.request_statistics import TypicalDelay
from workspond.policy.server import Server
from workspond.policy.slow_start import SlowStart
from workspond.policy.weighted_round_robin import Rotation, RotationEntry

MAX_REFRESHED_SERVERS = 8  # per event; bounds the cost of an event when many servers are due
MAX_GROUP_CANDIDATES = 32  # per pick in a deduplication group; bounds the cost of the pick
# The lower bound of the capacity fraction times the speed factor. It bounds the ratio between the effective
# weights of servers of equal subset weight.
MIN_SPEED_FACTOR = 1e-3
# The lower bound of an effective weight. It is above 0 because the logarithm of the weight is computed, and
# discovery may list any weight.
MIN_WEIGHT = 1e-300


@dataclass(slots=True)
class Candidate:
    """A server of a deduplication group that may get a call's next attempt.

    Attributes:
        server: The server.
        weight: The server's effective weight.
        load: The number of this replica's attempts in flight at the server, without stalled ones, divided by
            the server's subset weight.
    """

    server: Server
    weight: float
    load: float


class ServerSelector:
    """Picks the server for each attempt."""

    def __init__(
        self, fleet: Fleet, slow_start: SlowStart, typical_delay: TypicalDelay, rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._slow_start = slow_start
        self._typical_delay = typical_delay
        self._rng = rng
        self._healthy: Rotation[Server] = Rotation()
        self._ejected: Rotation[Server] = Rotation()
        # A heap of refresh time, serial number and server. An entry whose time differs from the server's
        # `refresh_at_ms` is outdated.
        self._refresh_queue: list[tuple[float, int, Server]] = []
        self._refresh_serials = itertools.count()
        # The sum of the effective weights of the servers in the subset, without those that are warming up and
        # have no budget for an attempt.
        self._total_weight = 0.0
        # The sum of the effective weights of the servers that took part in the last round.
        self._last_round_total_weight = 0.0
        self._stalled_attempts = 0
        self._ejected_count = 0

    # State of the servers

    def apply(self, change: SubsetChange, now_ms: float) -> None:
        """Apply a change of this replica's subset of the servers."""
        for server in change.removed:
            self._remove(server)
        for server in change.updated:
            self.update(server, now_ms)

    def update(self, server: Server, now_ms: float) -> None:
        """Compute a server's selection state again, if the server is in this replica's subset."""
        if not self._fleet.is_in_subset(server):
            return
        objective_ratio = self._typical_delay.objective_ratio
        capacity_fraction = self._slow_start.capacity_fraction(server, now_ms)
        has_budget = capacity_fraction >= 1.0 or self._has_slow_start_budget(
            server, capacity_fraction, now_ms
        )
        weight = self._effective_weight(server, capacity_fraction, now_ms)
        stalled_attempts = (
            server.count_stalled_attempts(now_ms, objective_ratio) if server.attempts_in_flight else 0
        )
        is_ejected = now_ms < server.ejected_until_ms
        self._update_totals(server, weight if has_budget else 0.0, stalled_attempts, is_ejected=is_ejected)
        selectable = has_budget and server.in_flight < server.in_flight_limit
        rotation = (self._ejected if is_ejected else self._healthy) if selectable else None
        self._place(server, rotation, (server.in_flight - stalled_attempts) / server.subset_weight, weight)
        refresh_at_ms = min(
            server.next_speed_change_at_ms(now_ms, objective_ratio),
            self._slow_start.next_change_at_ms(server, capacity_fraction, now_ms),
        )
        self._schedule_refresh(
            server, min(refresh_at_ms, server.ejected_until_ms) if is_ejected else refresh_at_ms
        )

    def _has_slow_start_budget(self, server: Server, capacity_fraction: float, now_ms: float) -> bool:
        """Refill the budget of a server that is warming up, and return whether it allows an attempt."""
        tokens = self._slow_start.refill_slow_start_budget(
            server, capacity_fraction, self._fleet.total_subset_weight, now_ms
        )
        return tokens >= 1.0

    def _effective_weight(self, server: Server, capacity_fraction: float, now_ms: float) -> float:
        """Return the effective weight: the subset weight times the capacity fraction and the speed factor."""
        speed_factor = server.speed_factor(now_ms, self._typical_delay.objective_ratio)
        return max(server.subset_weight * max(capacity_fraction * speed_factor, MIN_SPEED_FACTOR), MIN_WEIGHT)

    def _remove(self, server: Server) -> None:
        """Remove a server that has left this replica's subset."""
        server.selection.leave_rotation()
        self._update_totals(server, 0.0, 0, is_ejected=False)
        server.selection.refresh_at_ms = math.inf

    def _update_totals(
        self, server: Server, weight: float, stalled_attempts: int, *, is_ejected: bool
    ) -> None:
        """Replace a server's contribution to the totals of weight, stalled attempts and ejected servers."""
        state = server.selection
        self._total_weight += weight - state.counted_weight
        self._stalled_attempts += stalled_attempts - state.stalled_attempts
        self._ejected_count += is_ejected - state.is_ejected
        state.counted_weight = weight
        state.stalled_attempts = stalled_attempts
        state.is_ejected = is_ejected

    def _place(self, server: Server, rotation: Rotation[Server] | None, load: float, weight: float) -> None:
        """Move a server to a rotation, or out of its rotation (None); the server keeps its current weight."""
        state = server.selection
        entry = state.rotation_entry
        if entry is not None:
            level = entry.group.level
            if level.rotation is rotation and level.load == load and state.effective_weight == weight:
                return
            state.leave_rotation()
        if not state.effective_weight:
            self._randomize_current_weight(server, weight)
        state.effective_weight = weight
        if rotation is not None:
            state.rotation_entry = rotation.add(server, load, weight, state.current_weight)

    def _randomize_current_weight(self, server: Server, weight: float) -> None:
        """Give a new server a random current weight, so that replicas do not pick in the same order."""
        server.selection.current_weight = -self._rng.random() * max(weight, self._last_round_total_weight)

    def _schedule_refresh(self, server: Server, refresh_at_ms: float) -> None:
        state = server.selection
        if refresh_at_ms < math.inf and refresh_at_ms != state.refresh_at_ms:
            heapq.heappush(self._refresh_queue, (refresh_at_ms, next(self._refresh_serials), server))
        state.refresh_at_ms = refresh_at_ms

    def refresh_due(self, now_ms: float) -> None:
        """Update at most `MAX_REFRESHED_SERVERS` servers that are due, in the order of their due times."""
        refreshed = 0
        queue = self._refresh_queue
        while queue and queue[0][0] <= now_ms and refreshed < MAX_REFRESHED_SERVERS:
            refresh_at_ms, _, server = heapq.heappop(queue)
            if server.selection.refresh_at_ms == refresh_at_ms:
                self.update(server, now_ms)
                refreshed += 1

    def count_stalled_attempts(self, now_ms: float) -> int:
        """Return the number of stalled attempts: those in flight that their servers have probably lost."""
        self.refresh_due(now_ms)
        return self._stalled_attempts

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
            available_fraction = max(0.0, self._total_weight) / self._fleet.total_subset_weight
            self._slow_start.record_available_fraction(available_fraction, now_ms)
        previous = call.last_server
        if previous is not None:
            rotation = self._active_rotation()
            entry = previous.selection.rotation_entry
            # A retry goes to another server than the last attempt, if there is another one.
            if entry is not None and entry.rotation is rotation and rotation.size > 1:
                return self._pick_excluding(previous, entry, now_ms)
        return self._pick_next(now_ms)

    def _active_rotation(self) -> Rotation[Server]:
        """Return the rotation to pick from: the ejected servers only if there are no healthy ones."""
        return self._healthy if self._healthy.size else self._ejected

    def _pick_excluding(self, excluded: Server, entry: RotationEntry[Server], now_ms: float) -> Server:
        """Pick a server other than `excluded`, or that one if there is no other."""
        rotation = entry.rotation
        load = entry.load
        state = excluded.selection
        state.leave_rotation()
        picked = self._pick_next(now_ms)
        state.rotation_entry = rotation.add(excluded, load, state.effective_weight, state.current_weight)
        return picked if picked is not None else excluded

    def _pick_next(self, now_ms: float) -> Server | None:
        """Complete the next round; return the server that it picks, or None if no server may be picked."""
        entry = self._next_entry(now_ms)
        if entry is None:
            return None
        self._last_round_total_weight = entry.rotation.finish_round(entry)
        return entry.item

    def _next_entry(self, now_ms: float) -> RotationEntry[Server] | None:
        """Return the entry that the next round picks, with its server's state up to date."""
        while True:
            # Only servers of the lowest load are picked. The first sign of a slow or stuck server is that its
            # attempts stay in flight; it is skipped until its peers have as many. If servers with one attempt
            # more were picked too, attempts would wait behind others at servers that work on one request at a
            # time, while another server is idle.
            entry = self._active_rotation().first()
            if entry is None or entry.item.selection.refresh_at_ms > now_ms:
                return entry
            self.update(entry.item, now_ms)

    def _pick_in_group(self, call: Call, now_ms: float) -> Server | None:
        """Pick a server for a call that may have run: one that would recognise and drop a repeat of it."""
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
        self._last_round_total_weight = sum(candidate.weight for candidate in candidates)
        picked.selection.add_current_weight(-self._last_round_total_weight)
        return picked

    def _group_candidates(self, call: Call, now_ms: float) -> list[Candidate]:
        """Return the usable servers of a call's deduplication group.

        Ejected servers are included only if there are no others, and the server of the last attempt only if
        it is the only candidate.
        """
        sampled = [
            self._candidate(server, now_ms)
            for server in self._fleet.sample_deduplication_group(call, MAX_GROUP_CANDIDATES)
        ]
        usable = [candidate for candidate in sampled if candidate is not None]
        healthy = [candidate for candidate in usable if now_ms >= candidate.server.ejected_until_ms]
        candidates = healthy or usable
        if len(candidates) > 1:
            return [candidate for candidate in candidates if candidate.server is not call.last_server]
        return candidates

    def _candidate(self, server: Server, now_ms: float) -> Candidate | None:
        """Return a server of a deduplication group as a candidate; None if it may get no attempt now."""
        if self._fleet.is_in_subset(server):
            return self._subset_candidate(server, now_ms)
        if server.in_flight >= server.in_flight_limit or not server.subset_weight:
            return None
        capacity_fraction = self._slow_start.capacity_fraction(server, now_ms)
        if capacity_fraction < 1.0 and not self._has_slow_start_budget(server, capacity_fraction, now_ms):
            return None
        weight = self._effective_weight(server, capacity_fraction, now_ms)
        if not server.selection.effective_weight:
            self._randomize_current_weight(server, weight)
            server.selection.effective_weight = weight
        stalled_attempts = server.count_stalled_attempts(now_ms, self._typical_delay.objective_ratio)
        return Candidate(server, weight, (server.in_flight - stalled_attempts) / server.subset_weight)

    def _subset_candidate(self, server: Server, now_ms: float) -> Candidate | None:
        """Return a server of this replica's subset as a candidate; None if it may get no attempt now."""
        state = server.selection
        if state.rotation_entry is None or state.refresh_at_ms <= now_ms:
            self.update(server, now_ms)
        entry = state.rotation_entry
        return Candidate(server, state.effective_weight, entry.load) if entry is not None else None
