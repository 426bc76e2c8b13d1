"""Which server gets an attempt: smooth weighted rotation among those that hold the fewest calls."""

from __future__ import annotations

import random
from collections.abc import Iterable

from nickelbridge.averages import UsualDelay
from nickelbridge.call import Call
from nickelbridge.fleet import Fleet
from nickelbridge.server import Server
from nickelbridge.slow_start import SlowStart


class Rotation:
    """Smooth weighted rotation: all gain their weight, the one furthest ahead is picked and pays."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._total = 0.0

    def pick(self, servers: Iterable[tuple[Server, float]]) -> Server | None:
        """The next server among those that are ready, each with its weight."""
        best: Server | None = None
        total = furthest = 0.0
        for server, weight in servers:
            total += weight
            if server.turn is None:  # a random place in the round, so that copies don't go round in step
                server.turn = -self._rng.random() * max(weight, self._total)
            server.turn += weight
            if best is None or server.turn > furthest:
                best, furthest = server, server.turn
        if best is not None:
            best.turn, self._total = furthest - total, total
        return best


class ServerSelector:
    """Picks a call's next server."""

    def __init__(self, fleet: Fleet, slow_start: SlowStart, usual: UsualDelay, rng: random.Random) -> None:
        self._fleet, self._slow_start, self._usual = fleet, slow_start, usual
        self._rotation = Rotation(rng)

    def pick(self, call: Call, now: float) -> Server | None:
        """The server for the call's next attempt; None where none may get one now."""
        return self._rotation.pick(self._candidates(call, now))

    def _candidates(self, call: Call, now: float) -> list[tuple[Server, float]]:
        """The servers that may get the call's next attempt, with their weights."""
        usual, parts, any_group = self._usual.share, self._fleet.parts, call.first_run_ms is None
        ready: list[tuple[Server, float]] = []
        total = 0.0
        for server in self._fleet.ready if any_group else self._fleet.repeat_group(call):
            warmth = self._slow_start.warmth(server, now)
            weight = server.part * warmth * server.speed(now, usual)
            if warmth < 1.0 and self._slow_start.budget(server, warmth, parts, now) < 1.0:
                continue
            total += weight
            if server.inflight < server.inflight_limit:
                ready.append((server, weight))
        if any_group and parts:
            self._slow_start.note_warm_share(total / parts, now)
        found = [(server, weight) for server, weight in ready if now >= server.ejected_until_ms] or ready
        if (
            call.last_server is not None and len(found) > 1
        ):  # elsewhere than last time, where there is a choice
            found = [(server, weight) for server, weight in found if server is not call.last_server]
        # A slow or stuck server shows first by what it holds: passed over till its peers hold alike. With one
        # more allowed, rota: a call waited behind another where a box that serves one at a time stood idle.
        loads = [server.load(now, usual) for server, _ in found]
        least = min(loads, default=0.0)
        return [pair for pair, load in zip(found, loads, strict=True) if load <= least]
