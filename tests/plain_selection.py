"""The plain form of what the program does by index: walks over all servers, and whole cuts of the fleet."""

from __future__ import annotations

import math
from random import Random

from workspond.policy.call import Call
from workspond.policy.server import Server
from workspond.policy.server_selection import ServerSelector
from workspond.policy.weighted_round_robin import rounded

STALE = 0.25  # by which a weight that is kept may be off: `WEIGHT_STEP` for each of what fades or grows


def parts(shares: dict[int, float], number: int, nodes: int, slices: int) -> dict[int, float]:
    """What copy `number` of `nodes` takes of each member: one slice each of so many shuffles of all."""
    if slices >= nodes:
        return dict(shares)
    size = sum(shares.values()) / nodes
    number %= nodes
    start, end = number * size, (number + 1) * size
    taken = dict.fromkeys(shares, 0.0)
    for n in range(slices):
        factor, at = Random(n).getrandbits(32) | 1, 0.0
        for _, member in sorted((member * factor % 2**32, member) for member in shares):
            taken[member] += max(0.0, min(at + shares[member], end) - max(at, start))
            at += shares[member]
    return taken


class CheckedSelector(ServerSelector):
    """Checks each first pick of the indexed selection against a walk over all servers."""

    checked = 0

    def pick(self, call: Call, now: float) -> Server | None:
        """The pick, once the walk has confirmed it."""
        if call.first_possible_run_at_ms is not None:
            return super().pick(call, now)
        self.refresh_due(now)
        candidates = self._walk(call, now)
        before = {server.id: self._ahead(server) for server in candidates}
        picked = super().pick(call, now)
        assert (picked is None) == (not candidates)
        if picked is not None:
            self._check_turn(picked, candidates, before)
            type(self).checked += 1
        return picked

    def _ahead(self, server: Server) -> float:
        """A server's credit once all have gained."""
        credit = (
            server.rotation_entry.current_weight
            if server.rotation_entry is not None
            else server.current_weight
        )
        return credit + rounded(server.effective_weight)

    def _walk(self, call: Call, now: float) -> list[Server]:
        """The servers that may be picked, worked out for this moment."""
        usual = self._usual.objective_ratio
        ready = []
        for server in self._fleet.ready:
            if server.refresh_at_ms <= now:
                self.update(server, now)
            warmth = self._slow_start.capacity_fraction(server, now)
            if warmth < 1.0 and server.cold_budget.tokens < 1.0:
                continue
            weight = server.subset_weight * warmth * server.speed_factor(now, usual)
            # That of a busy server follows the usual delay, which jumps on such days; it is looked at soon.
            unchanged = (
                math.isclose(server.effective_weight, weight, rel_tol=STALE)
                or weight < 2e-3 * server.subset_weight
            )
            assert server.calls_in_flight or unchanged
            if server.in_flight < server.in_flight_limit:
                ready.append(server)
        found = [server for server in ready if now >= server.ejected_until_ms] or ready
        if call.last_server is not None and len(found) > 1:
            found = [server for server in found if server is not call.last_server]
        # Which calls are lost follows the usual delay too: taken as last worked out.
        loads = [(server.in_flight - server.stalled_calls) / server.subset_weight for server in found]
        least = min(loads, default=0.0)
        return [server for server, load in zip(found, loads, strict=True) if load <= least]

    def _check_turn(self, picked: Server, candidates: list[Server], before: dict[int, float]) -> None:
        """It was furthest ahead, it has paid, the others have gained."""
        assert picked in candidates
        assert before[picked.id] >= max(before.values()) - 1e-6
        weights = sum(server.effective_weight for server in candidates)
        paid = weights * rounded(picked.effective_weight) / picked.effective_weight
        for server in candidates:
            after = (
                server.rotation_entry.current_weight
                if server.rotation_entry is not None
                else server.current_weight
            )
            expected = before[server.id] - (paid if server is picked else 0.0)
            assert math.isclose(after, expected, rel_tol=1e-6, abs_tol=1e-6)
