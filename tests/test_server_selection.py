"""Picks, subsets and lists: by index they come to the same as by walks, at a cost that does not grow."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from bench.decisions import Case, Run
from bench.server_state import ServerState
from tests.coldfleet import ColdFleet, Scenario
from tests.helpers import Replica, endpoints
from tests.plain_selection import CheckedSelector, cut_subset
from tests.test_property import run_random_events
from workspond.policy import balancer
from workspond.policy.deduplication_groups import DeduplicationGroups
from workspond.policy.endpoint import Endpoint
from workspond.policy.events import EndpointUpdate, UpdateKind
from workspond.policy.server import Server
from workspond.policy.settings import DeduplicationScope, RequestClass, Settings
from workspond.policy.subset import Subset
from workspond.policy.token_bucket import TokenBucket
from workspond.policy.weighted_round_robin import LoadLevel, Rotation, RotationEntry

FEW, MANY = 30, 2000
EVERYWHERE = (DeduplicationScope.ALL, None)
CALLS = 150
MAX_EXTRA_UPDATES = 12  # a call, warm-up calls (half as many again) included


@pytest.fixture
def checked(monkeypatch: pytest.MonkeyPatch) -> type[CheckedSelector]:
    """Has each pick of a balancer checked."""
    monkeypatch.setattr(balancer, "ServerSelector", CheckedSelector)
    monkeypatch.setattr(CheckedSelector, "checked", 0)
    return CheckedSelector


def test_picks_are_those_of_a_walk_on_random_days(checked: type[CheckedSelector]) -> None:
    @hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 2**32), st.integers(1, 5), st.integers(0, 2), st.integers(1, 9))
    def histories(seed: int, attempts: int, tier: int, replicas: int) -> None:
        run_random_events(
            seed, max_attempts=attempts, tier=tier, replicas=replicas, replica_index=seed % replicas
        )

    histories()
    assert checked.checked > 5000


@pytest.mark.parametrize(
    "scenario",
    [
        Scenario(),
        Scenario(replica_restarts_at_ms=(1500.0, 3000.0)),
        Scenario(load=lambda _: 1.3),
        Scenario(warm=0, load=lambda _: 0.9),
    ],
)
def test_picks_are_those_of_a_walk_among_cold_servers(
    scenario: Scenario, checked: type[CheckedSelector]
) -> None:
    ColdFleet(replace(scenario, before_ms=4000.0), replicas=6, seed=1)
    assert checked.checked > 500


def pays_nothing(self: Rotation[Server], picked: RotationEntry[Server]) -> float:
    return 1.0


def first_before_the_round(self: LoadLevel[Server]) -> RotationEntry[Server]:
    return max((group.first() for group in self.groups.values()), key=lambda entry: entry.current_weight)


def add_with_equal_load(
    self: Rotation[Server], server: Server, load: float, effective_weight: float, current_weight: float
) -> RotationEntry[Server]:
    return add(self, server, 0.0, effective_weight, current_weight)


add = Rotation.add


@pytest.mark.parametrize(
    ("owner", "name", "broken"),
    [
        (Rotation, "finish_round", pays_nothing),
        (LoadLevel, "first", first_before_the_round),
        (Rotation, "add", add_with_equal_load),
    ],
)
def test_the_walk_notices_a_broken_index(
    owner: type, name: str, broken: object, checked: type[CheckedSelector], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second is one that the simulator's score had shown, by 0.015."""
    monkeypatch.setattr(owner, name, broken)
    with pytest.raises(AssertionError):
        for seed in range(30):
            run_random_events(seed, replicas=7, replica_index=2)


@hypothesis_settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 2**32))
def test_a_subset_kept_up_to_date_is_that_of_a_whole_cut(seed: int) -> None:
    rng = Random(seed)
    replicas = rng.choice((1, 2, 5, 9, 33))
    replica_index = rng.randrange(replicas + 3)
    weights: dict[int, float] = {}
    subset = Subset(replica_index, replicas, 4)
    for _ in range(12):
        before = dict(subset.portions)
        for member in rng.sample(range(200), rng.choice((1, 2, 150))):
            if rng.random() < 0.4:
                weights.pop(member, None)
                subset.remove(member)
            else:
                weights[member] = rng.choice((1.0, 0.5, 2.0)) if seed % 2 else 1.0
                subset.set_weight(member, weights[member])
        slices = rng.choice((4, 4, 8, 16))
        subset.use_slices(slices)
        changed = subset.update()
        plain = cut_subset(weights, replica_index, replicas, slices)
        expected = {member: portion for member, portion in plain.items() if portion > 1e-9}
        assert subset.portions == pytest.approx(expected)
        members = before.keys() | subset.portions
        assert {m for m in members if before.get(m) != subset.portions.get(m)} <= changed


def test_groups_hold_what_was_put_in_and_draw_a_part_of_it() -> None:
    rng = Random(1)
    groups = DeduplicationGroups()
    zones: dict[int, str] = {}
    servers = [Server(Endpoint(n), 0.0, rng) for n in range(60)]
    for _ in range(2000):
        server = rng.choice(servers)
        zone = rng.choice("abc")
        if rng.random() < 0.3:
            groups.remove(server)
            zones.pop(server.id, None)
        else:
            groups.put(server, ((DeduplicationScope.ZONE, zone), EVERYWHERE))
            zones[server.id] = zone
        expected = {server_id for server_id, other in zones.items() if other == zone}
        drawn = groups.draw((DeduplicationScope.ZONE, zone), 100, rng)
        assert {server.id for server in drawn} == expected
    draws = Counter(server.id for _ in range(3000) for server in groups.draw(EVERYWHERE, 5, rng))
    assert set(draws) == set(zones) and max(draws.values()) < 2 * min(draws.values())


def count_updates(monkeypatch: pytest.MonkeyPatch, case: Case) -> int:
    """Return how often the speed of a server is worked out in a run of the bench."""
    count = 0
    speed_factor = Server.speed_factor

    def counted(self: Server, now_ms: float, objective_ratio: float) -> float:
        nonlocal count
        count += 1
        return speed_factor(self, now_ms, objective_ratio)

    with monkeypatch.context() as patch:
        run = Run(case)
        patch.setattr(Server, "speed_factor", counted)
        run.cost()
    return count


@pytest.mark.parametrize("state", ServerState)
def test_what_a_call_looks_at_does_not_grow_with_the_list(
    state: ServerState, monkeypatch: pytest.MonkeyPatch
) -> None:
    few, many = (count_updates(monkeypatch, Case(servers, 1, state, CALLS)) for servers in (FEW, MANY))
    # Besides two updates of its own server, a call brings some of those that are due.
    print(f"{state.value}: {few / CALLS:.2f} a call with {FEW} servers, {many / CALLS:.2f} with {MANY}")
    assert many <= 1.15 * few + MAX_EXTRA_UPDATES * CALLS


def test_a_list_with_nothing_new_looks_at_no_server(monkeypatch: pytest.MonkeyPatch) -> None:
    node = Replica(servers=200, replicas=8, replica_index=3)
    monkeypatch.setattr(Server, "speed_factor", lambda *_: pytest.fail("a server was looked at"))
    node.replace_endpoints(endpoints(range(200)))


def test_a_change_looks_at_the_server_that_it_names(monkeypatch: pytest.MonkeyPatch) -> None:
    node = Replica(servers=200)
    updated: list[int] = []

    def speed_factor(server: Server, *_: float) -> float:
        updated.append(server.id)
        return 1.0

    monkeypatch.setattr(Server, "speed_factor", speed_factor)
    node.update_endpoints(Endpoint(7, "z", "k", 1, weight=2.0))
    assert set(updated) == {7}


def test_a_cold_server_that_is_seldom_looked_at_saves_up_no_more() -> None:
    """What comes into a budget grows with the ramp: a look after a long while took the last rate for all."""
    often, seldom = TokenBucket(0.0, 0.0), TokenBucket(0.0, 0.0)
    settings = Settings(
        [RequestClass("read", 100.0, 400.0)],
        start_capacity=0.2,
        ramp_time_ms=8000.0,
        overload_factor=2.5,
        overload_window_ms=1e6,
    )
    saved = []
    for bucket, step_ms in ((often, 10), (seldom, 2000)):
        node = balancer.Balancer(settings, 1)
        node.handle(EndpointUpdate(UpdateKind.COMPLETE, 1, [Endpoint(1, started_at_ms=0.0)]), 0.0)
        server = node.fleet.servers[1]
        slow_start = node._slow_start
        server.slow_start_budget = bucket
        for now_ms in map(float, range(0, 4001, step_ms)):
            capacity_fraction = slow_start.capacity_fraction(server, now_ms)
            total_weight = node.fleet.total_subset_weight
            slow_start.refill_slow_start_budget(server, capacity_fraction, total_weight, now_ms)
        saved.append(bucket.tokens)
    assert saved[1] == pytest.approx(saved[0], rel=0.05)


def test_what_the_selection_holds_does_not_grow_with_the_calls() -> None:
    """Each call opened a level of load of its own, and left its number behind."""
    node = Replica(servers=20, tier=1)
    sizes = []
    for _ in range(3):
        node.serve(400)
        selector = node.balancer._selector
        rotation = selector._healthy
        entries_held = sum(
            len(group.heap) for level in rotation._levels.values() for group in level.groups.values()
        )
        sizes.append(
            (len(selector._refresh_queue), len(rotation._loads), len(rotation._levels), entries_held)
        )
    assert max(map(max, sizes)) <= 100, sizes


@pytest.mark.parametrize("changes", [{"start_capacity": 0.0}, {"overload_factor": 0.0}])
def test_servers_that_may_be_sent_nothing_at_first_stop_no_pick(changes: dict[str, Any]) -> None:
    """A rate of nothing was divided by; a weight of nothing was looked at again at once, for ever."""
    for seed in range(10):
        run_random_events(seed, **changes)
    node = Replica(servers=0, tier=1, **changes)
    node.replace_endpoints([Endpoint(n, started_at_ms=node.now_ms) for n in range(3)])
    for n in range(50):
        node.receive(f"{n}")
        node.now_ms += 200.0


def test_a_server_of_hardly_any_weight_stops_no_pick() -> None:
    node = Replica(servers=0)
    node.replace_endpoints([Endpoint(1, weight=5e-324), Endpoint(2, weight=1.0)])
    assert set(node.serve(20)) <= {1, 2}


def test_a_cold_server_is_used_soon_after_its_peers_answer_more() -> None:
    """Its next look lay most of a wait ahead that had been worked out while hardly any answers came."""
    node = Replica(servers=2, ramp_time_ms=60_000.0, start_capacity=0.2, overload_factor=2.5, tier=1)
    node.serve(10, gap_ms=2_000.0)
    node.update_endpoints(Endpoint(9, "z", "k", 1, started_at_ms=node.now_ms))
    cold = node.balancer.fleet.servers[9]
    cold.slow_start_budget.tokens = 0.0
    node.balancer._selector.update(cold, node.now_ms)
    began_at_ms = node.now_ms
    while 9 not in node.serve(1, gap_ms=0.0, delay_ms=10.0):
        assert node.now_ms - began_at_ms < 1_600.0
