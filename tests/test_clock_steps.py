"""Tests that steps of the wall clock do not change the start times of servers."""

from __future__ import annotations

import math
import time
from pathlib import Path

import pytest

from tests.peers import NodeEnvironment, Server, node_environment, run, until
from workspond.clock import now_ms
from workspond.discovery.endpoint_list import EndpointList, read_endpoint_list, server_id_from_name
from workspond.discovery.incarnations import IncarnationTracker

HOUR_S = 3600.0
UPTIME_S = 600.0  # how long each server has been running
SERVER_COUNT = 6


class WallClock:
    """A wall clock for the node that can be stepped; the monotonic clock is not affected."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._true_time = time.time
        self.offset_s = 0.0
        monkeypatch.setattr(time, "time", lambda: self._true_time() + self.offset_s)

    def true_ms(self) -> int:
        """Return the time on the servers' clocks, in Unix time in ms."""
        return int(self._true_time() * 1000.0)


def capacity_fractions(environment: NodeEnvironment) -> dict[str, float]:
    """Return the fraction of its full capacity that the node assumes for each server, by server name."""
    assert environment.node is not None
    balancer = environment.node._balancer
    ids_by_address = {
        environment.node._endpoints.addresses[server_id]: server_id for server_id in balancer.fleet.servers
    }
    ids_by_name = {
        server.name: ids_by_address["127.0.0.1", int(server.address.rpartition(":")[2])]
        for server in environment.servers
    }
    now = now_ms()
    return {
        name: balancer._slow_start.capacity_fraction(balancer.fleet.servers[server_id], now)
        for name, server_id in ids_by_name.items()
    }


async def send_complete_list(environment: NodeEnvironment, entries: list[dict[str, object]]) -> None:
    """Send a complete list, and wait until the node has applied it."""
    watches = environment.agent.watches()
    environment.agent.publish(*entries, snapshot=True)
    await until(lambda: environment.agent.watches() > watches)


def test_after_a_wall_clock_step_only_restarted_servers_are_in_slow_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A step once misplaced the start times of servers.

    After a step back, servers that had run for long were in slow start. After a step forward, a restarted
    server got its full load at once.
    """

    async def test(step_s: float) -> None:
        clock = WallClock(monkeypatch)
        up_since_ms = clock.true_ms() - int(UPTIME_S * 1000.0)
        servers = [Server(name=f"s{n}") for n in range(SERVER_COUNT)]
        async with node_environment(tmp_path, *servers, has_cached_list=False) as environment:
            environment.agent.endpoints = [server.entry(since_ms=up_since_ms) for server in servers]
            await until(lambda: environment.agent.watches() == 1)
            assert set(capacity_fractions(environment).values()) == {1.0}
            clock.offset_s = step_s
            restarted_at_ms = clock.true_ms()
            entries = [server.entry(since_ms=up_since_ms) for server in servers]
            await send_complete_list(
                environment, [*entries[:-1], servers[-1].entry(since_ms=restarted_at_ms)]
            )
            fractions = capacity_fractions(environment)
            restarted_fraction = fractions.pop(servers[-1].name)
            assert set(fractions.values()) == {1.0}
            assert environment.node is not None
            start_capacity = environment.node._config.settings.start_capacity
            assert start_capacity <= restarted_fraction < start_capacity + 0.1

    for step_s in (-HOUR_S, HOUR_S):
        run(test(step_s))


# When the list that reports a start is received, and when the list before it was. The first is the current
# time, because the node's clock counts from the machine's start.
RECEIVED_AT_MS = now_ms()
PREVIOUS_AT_MS = RECEIVED_AT_MS - 1000.0


def entry(name: str, since_ms: float) -> dict[str, object]:
    """Return a list entry as discovery writes it."""
    return {"name": name, "address": "127.0.0.1:1", "status": "active", "since_ms": since_ms}


def list_of_one(since_ms: float, previous_at_ms: float = PREVIOUS_AT_MS) -> EndpointList:
    """Return a list with one server that started at this time."""
    endpoints = read_endpoint_list({"index": 1, "snapshot": True, "endpoints": [entry("s", since_ms)]})
    endpoints.previous_response_at_ms = previous_at_ms
    return endpoints


def assigned_start_ms(
    tracker: IncarnationTracker, endpoints: EndpointList, received_at_ms: float = RECEIVED_AT_MS
) -> float | None:
    """Return the start that the tracker assigns to the one server of a list, on the node's clock."""
    tracker.assign_start_times(endpoints, received_at_ms)
    [endpoint] = endpoints.endpoints
    return endpoint.started_at_ms


@pytest.mark.parametrize(
    ("error_s", "expected_ms"),
    [(HOUR_S, PREVIOUS_AT_MS), (-HOUR_S, RECEIVED_AT_MS)],
    ids=["ahead", "behind"],
)
def test_with_a_wrong_wall_clock_a_new_start_is_limited_to_the_time_between_two_lists(
    error_s: float, expected_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = WallClock(monkeypatch)
    clock.offset_s = error_s
    tracker = IncarnationTracker()
    assert assigned_start_ms(tracker, list_of_one(clock.true_ms())) == expected_ms


def test_the_assigned_start_changes_only_if_discovery_reports_another_one() -> None:
    tracker = IncarnationTracker()
    assert assigned_start_ms(tracker, list_of_one(0)) is None
    # The reported start was long ago, because the server's clock was far behind until it was set.
    assert assigned_start_ms(tracker, list_of_one(1000.0, -math.inf)) is not None
    first_ms = assigned_start_ms(tracker, list_of_one(1000.0))
    assert assigned_start_ms(tracker, list_of_one(1000.0), RECEIVED_AT_MS + 1000.0) == first_ms
    tracker.remove(server_id_from_name("s"))
    # The server returns with the same start, for example after an outage of its region: it was not restarted.
    assert assigned_start_ms(tracker, list_of_one(1000.0), RECEIVED_AT_MS + 2000.0) == first_ms
    # A new start may be earlier than the last one, because the server's clock was set back.
    assert assigned_start_ms(tracker, list_of_one(900.0), RECEIVED_AT_MS + 3000.0) == PREVIOUS_AT_MS


def test_the_number_of_remembered_removed_servers_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("workspond.discovery.incarnations.MAX_REMOVED_SERVERS", 3)
    tracker = IncarnationTracker()
    for number in range(10):
        name = f"s{number}"
        update = {"index": number, "snapshot": False, "endpoints": [entry(name, 1000.0)]}
        tracker.assign_start_times(read_endpoint_list(update), RECEIVED_AT_MS)
        tracker.remove(server_id_from_name(name))
    assert len(tracker._removed) == 3
    assert not tracker._listed
