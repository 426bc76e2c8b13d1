"""The plain form of what the program does by index: walks over all servers, and whole cuts of the fleet."""

from __future__ import annotations

import math
from random import Random

from workspond.policy.call import Call
from workspond.policy.server import Server
from workspond.policy.server_selection import ServerSelector
from workspond.policy.weighted_round_robin import rounded

# By how much a kept weight may be off: `WEIGHT_TOLERANCE` for each of the things that fade or grow.
KEPT_WEIGHT_TOLERANCE = 0.25
# Of the subset weight; a weight below this is near `MIN_SPEED_FACTOR` and is not compared.
MIN_COMPARED_WEIGHT_FRACTION = 2e-3
CURRENT_WEIGHT_TOLERANCE = 1e-6  # rounding errors of the sums


def cut_subset(weights: dict[int, float], replica_index: int, replicas: int, slices: int) -> dict[int, float]:
    """Return a replica's portion of each member: one slice each of so many shuffles of all."""
    if slices >= replicas:
        return dict(weights)
    slice_weight = sum(weights.values()) / replicas
    replica_index %= replicas
    start = replica_index * slice_weight
    end = (replica_index + 1) * slice_weight
    portions = dict.fromkeys(weights, 0.0)
    for number in range(slices):
        factor = Random(number).getrandbits(32) | 1
        position = 0.0
        for _, member in sorted((member * factor % 2**32, member) for member in weights):
            portions[member] += max(0.0, min(position + weights[member], end) - max(position, start))
            position += weights[member]
    return portions


class CheckedSelector(ServerSelector):
    """Checks each pick of a first attempt by the indexed selection against a walk over all servers."""

    checked = 0

    def pick(self, call: Call, now_ms: float) -> Server | None:
        """Return the pick, once the walk has confirmed it."""
        if call.first_possible_run_at_ms is not None:
            return super().pick(call, now_ms)
        self.refresh_due(now_ms)
        candidates = self._walk(call, now_ms)
        gained = {
            server.id: server.selection.latest_current_weight() + rounded(server.selection.effective_weight)
            for server in candidates
        }
        picked = super().pick(call, now_ms)
        assert (picked is None) == (not candidates)
        if picked is not None:
            self._check_round(picked, candidates, gained)
            type(self).checked += 1
        return picked

    def _walk(self, call: Call, now_ms: float) -> list[Server]:
        """Return the servers that may be picked, worked out for this moment."""
        ready = [server for server in self._fleet.subset_servers if self._may_get_attempt(server, now_ms)]
        found = [server for server in ready if now_ms >= server.ejected_until_ms] or ready
        if call.last_server is not None and len(found) > 1:
            found = [server for server in found if server is not call.last_server]
        # Which calls are stalled follows the typical delay too: taken as last worked out.
        loads = [
            (server.in_flight - server.selection.stalled_calls) / server.subset_weight for server in found
        ]
        min_load = min(loads, default=0.0)
        return [server for server, load in zip(found, loads, strict=True) if load <= min_load]

    def _may_get_attempt(self, server: Server, now_ms: float) -> bool:
        """Whether a server is usable but for an ejection; checks its kept weight."""
        if server.selection.refresh_at_ms <= now_ms:
            self.update(server, now_ms)
        capacity_fraction = self._slow_start.capacity_fraction(server, now_ms)
        if capacity_fraction < 1.0 and server.slow_start_budget.tokens < 1.0:
            return False
        speed_factor = server.speed_factor(now_ms, self._typical_delay.objective_ratio)
        weight = server.subset_weight * capacity_fraction * speed_factor
        # That of a busy server follows the typical delay, which jumps in these runs; it is looked at soon.
        unchanged = (
            math.isclose(server.selection.effective_weight, weight, rel_tol=KEPT_WEIGHT_TOLERANCE)
            or weight < MIN_COMPARED_WEIGHT_FRACTION * server.subset_weight
        )
        assert server.calls_in_flight or unchanged
        return server.in_flight < server.in_flight_limit

    def _check_round(self, picked: Server, candidates: list[Server], gained: dict[int, float]) -> None:
        """Check that the picked server's weight was the highest, that it has paid and the others gained."""
        assert picked in candidates
        assert gained[picked.id] >= max(gained.values()) - CURRENT_WEIGHT_TOLERANCE
        total_weight = sum(server.selection.effective_weight for server in candidates)
        picked_weight = picked.selection.effective_weight
        paid = total_weight * rounded(picked_weight) / picked_weight
        for server in candidates:
            expected = gained[server.id] - (paid if server is picked else 0.0)
            current_weight = server.selection.latest_current_weight()
            assert math.isclose(
                current_weight, expected, rel_tol=CURRENT_WEIGHT_TOLERANCE, abs_tol=CURRENT_WEIGHT_TOLERANCE
            )
