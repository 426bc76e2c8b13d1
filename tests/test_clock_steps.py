"""Steps of the wall clock change nothing that is known of when servers started."""

from __future__ import annotations

import math
import time
from pathlib import Path

import pytest

from tests.peers import Server, World, run, until, world
from workspond.clock import now_ms
from workspond.discovery.endpoint_list import EndpointList, read_endpoint_list, server_id
from workspond.discovery.incarnations import IncarnationTracker

HOUR_S = 3600.0
UP_S = 600.0  # how long all servers have been up
COUNT = 6


class WallClock:
    """The node's wall clock; steps of it leave the monotonic clock alone."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._true_time = time.time
        self.offset_s = 0.0
        monkeypatch.setattr(time, "time", lambda: self._true_time() + self.offset_s)

    def true_ms(self) -> int:
        """The time by the servers' clocks, in ms."""
        return int(self._true_time() * 1000.0)


def warmths(scene: World) -> dict[str, float]:
    """The share of its capacity that each server is taken to have, by its name."""
    assert scene.node is not None
    module = scene.node._balancer
    names = {scene.node._endpoints.addresses[id]: id for id in module.fleet.servers}
    by_name = {
        server.name: names["127.0.0.1", int(server.address.rpartition(":")[2])] for server in scene.servers
    }
    now = now_ms()
    return {
        name: module._slow_start.capacity_fraction(module.fleet.servers[id], now)
        for name, id in by_name.items()
    }


async def told(scene: World, entries: list[dict[str, object]]) -> None:
    """Tell the whole list and wait until the node has taken it."""
    watches = scene.registry.watches()
    scene.registry.tell(*entries, snapshot=True)
    await until(lambda: scene.registry.watches() > watches)


def test_a_step_of_the_wall_clock_leaves_warm_servers_warm_and_cold_ones_cold(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Stepped back all servers were taken for cold, stepped forward a new one got a full share at once."""

    async def test(step_s: float) -> None:
        clock = WallClock(monkeypatch)
        up = clock.true_ms() - int(UP_S * 1000.0)
        servers = [Server(name=f"s{n}") for n in range(COUNT)]
        async with world(tmp_path, *servers, known=False) as scene:
            scene.registry.whole = [server.entry(since_ms=up) for server in servers]
            await until(lambda: scene.registry.watches() == 1)
            assert set(warmths(scene).values()) == {1.0}
            clock.offset_s = step_s
            restarted = clock.true_ms()
            entries = [server.entry(since_ms=up) for server in servers]
            await told(scene, [*entries[:-1], servers[-1].entry(since_ms=restarted)])
            warmth = warmths(scene)
            cold = warmth.pop(servers[-1].name)
            assert set(warmth.values()) == {1.0}
            assert scene.node is not None
            start = scene.node._config.settings.start_capacity
            assert start <= cold < start + 0.1

    for step_s in (-HOUR_S, HOUR_S):
        run(test(step_s))


TOLD_MS = now_ms()  # of the list that tells a start: by the machine's clock, however long it has been up
PREVIOUS_MS = TOLD_MS - 1000.0  # of the one before it


def listing(since_ms: float, previous_ms: float = PREVIOUS_MS) -> EndpointList:
    entry = {"name": "s", "address": "127.0.0.1:1", "status": "active", "since_ms": since_ms}
    made = read_endpoint_list({"index": 1, "snapshot": True, "endpoints": [entry]})
    made.previous_response_at_ms = previous_ms
    return made


def placed(starts: IncarnationTracker, told: EndpointList, told_ms: float = TOLD_MS) -> float | None:
    starts.assign_start_times(told, told_ms)
    [entry] = told.endpoints
    return entry.started_at_ms


@pytest.mark.parametrize(
    ("wrong_s", "first"), [(HOUR_S, PREVIOUS_MS), (-HOUR_S, TOLD_MS)], ids=["ahead", "behind"]
)
def test_with_a_wall_clock_that_was_always_wrong_a_new_start_lies_between_two_lists(
    wrong_s: float, first: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = WallClock(monkeypatch)
    clock.offset_s = wrong_s
    starts = IncarnationTracker()
    assert placed(starts, listing(clock.true_ms())) == first


def test_a_start_is_new_only_where_discovery_tells_another_one() -> None:
    starts = IncarnationTracker()
    assert placed(starts, listing(0)) is None
    assert placed(starts, listing(1000.0, -math.inf)) is not None  # a clock that was set, long ago
    old = placed(starts, listing(1000.0))
    assert placed(starts, listing(1000.0), TOLD_MS + 1000.0) == old
    starts.forget(server_id("s"))  # a region's return: as it was, not cold
    assert placed(starts, listing(1000.0), TOLD_MS + 2000.0) == old
    assert placed(starts, listing(900.0), TOLD_MS + 3000.0) == PREVIOUS_MS  # back, by the server's clock


def test_what_is_remembered_of_servers_that_left_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("workspond.discovery.incarnations.MOST_REMEMBERED", 3)
    starts = IncarnationTracker()
    for n in range(10):
        entry = {"name": f"s{n}", "address": "127.0.0.1:1", "status": "active", "since_ms": 1000.0}
        starts.assign_start_times(
            read_endpoint_list({"index": n, "snapshot": False, "endpoints": [entry]}), TOLD_MS
        )
        starts.forget(server_id(f"s{n}"))
    assert len(starts._left) == 3 and not starts._listed
