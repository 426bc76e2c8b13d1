"""Reference implementations of the indexed server selection and of the incremental subset."""

from __future__ import annotations

import math
from random import Random

from workspond.policy.call import Call
from workspond.policy.server import Server
from workspond.policy.server_selection import ServerSelector
from workspond.policy.weighted_round_robin import round_weight

# A cached weight may differ from the exact one by `WEIGHT_TOLERANCE` for each of its inputs that change with
# time.
CACHED_WEIGHT_TOLERANCE = 0.25
# Weights below this fraction of the subset weight are near `MIN_SPEED_FACTOR` and are not compared.
MIN_COMPARED_WEIGHT_FRACTION = 2e-3
CURRENT_WEIGHT_TOLERANCE = 1e-6  # for rounding errors of the sums


def reference_subset(
    weights: dict[int, float], replica_index: int, replicas: int, slice_count: int
) -> dict[int, float]:
    """Return a replica's subset weight of each member, by cutting its slice out of each shuffle."""
    if slice_count >= replicas:
        return dict(weights)
    slice_weight = sum(weights.values()) / replicas
    replica_index %= replicas
    start = replica_index * slice_weight
    end = (replica_index + 1) * slice_weight
    subset_weights = dict.fromkeys(weights, 0.0)
    for number in range(slice_count):
        factor = Random(number).getrandbits(32) | 1
        position = 0.0
        for _, member in sorted((member * factor % 2**32, member) for member in weights):
            subset_weights[member] += max(0.0, min(position + weights[member], end) - max(position, start))
            position += weights[member]
    return subset_weights


class CheckedSelector(ServerSelector):
    """Compares each pick with a scan of all servers, except the picks for calls that may have run."""

    checked_picks = 0

    def pick(self, call: Call, now_ms: float) -> Server | None:
        """Return the pick after it has been compared with the scan."""
        if call.first_possible_run_at_ms is not None:
            return super().pick(call, now_ms)
        self.refresh_due(now_ms)
        candidates = self._scan(call, now_ms)
        gained = {
            server.id: server.selection.latest_current_weight()
            + round_weight(server.selection.effective_weight)
            for server in candidates
        }
        picked = super().pick(call, now_ms)
        assert (picked is None) == (not candidates)
        if picked is not None:
            self._check_round(picked, candidates, gained)
            type(self).checked_picks += 1
        return picked

    def _scan(self, call: Call, now_ms: float) -> list[Server]:
        """Return the servers that may be picked, computed for `now_ms` from all servers of the subset."""
        available = [server for server in self._fleet.subset_servers if self._may_get_attempt(server, now_ms)]
        usable = [server for server in available if now_ms >= server.ejected_until_ms] or available
        if call.last_server is not None and len(usable) > 1:
            usable = [server for server in usable if server is not call.last_server]
        # The cached number of stalled attempts is used, because it also depends on the typical delay.
        loads = [
            (server.in_flight - server.selection.stalled_attempts) / server.subset_weight for server in usable
        ]
        min_load = min(loads, default=0.0)
        return [server for server, load in zip(usable, loads, strict=True) if load <= min_load]

    def _may_get_attempt(self, server: Server, now_ms: float) -> bool:
        """Return whether a server is usable, apart from ejections; check its cached weight."""
        if server.selection.refresh_at_ms <= now_ms:
            self.update(server, now_ms)
        capacity_fraction = self._slow_start.capacity_fraction(server, now_ms)
        if capacity_fraction < 1.0 and server.slow_start_budget.tokens < 1.0:
            return False
        speed_factor = server.speed_factor(now_ms, self._typical_delay.objective_ratio)
        weight = server.subset_weight * capacity_fraction * speed_factor
        # The weight of a server with attempts in flight is not compared: it depends on the typical delay,
        # which changes abruptly in these runs, and is soon computed again.
        unchanged = (
            math.isclose(server.selection.effective_weight, weight, rel_tol=CACHED_WEIGHT_TOLERANCE)
            or weight < MIN_COMPARED_WEIGHT_FRACTION * server.subset_weight
        )
        assert server.attempts_in_flight or unchanged
        return server.in_flight < server.in_flight_limit

    def _check_round(self, picked: Server, candidates: list[Server], gained: dict[int, float]) -> None:
        """Check that the picked server had the highest current weight, and that all weights were updated."""
        assert picked in candidates
        assert gained[picked.id] >= max(gained.values()) - CURRENT_WEIGHT_TOLERANCE
        total_weight = sum(server.selection.effective_weight for server in candidates)
        picked_weight = picked.selection.effective_weight
        subtracted = total_weight * round_weight(picked_weight) / picked_weight
        for server in candidates:
            expected = gained[server.id] - (subtracted if server is picked else 0.0)
            current_weight = server.selection.latest_current_weight()
            assert math.isclose(
                current_weight, expected, rel_tol=CURRENT_WEIGHT_TOLERANCE, abs_tol=CURRENT_WEIGHT_TOLERANCE
            )
