"""Server selection and subsets match their references, at a cost that does not grow with the servers."""

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
from tests.cold_start_simulation import ColdStartSimulation, Scenario
from tests.helpers import Replica, endpoints
from tests.reference_selection import CheckedSelector, reference_subset
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

FEW_SERVERS, MANY_SERVERS = 30, 2000
ALL_SERVERS_KEY = (DeduplicationScope.ALL, None)
CALLS = 150
# Per measured call. The updates by the warm-up calls, half as many as the measured calls, count too.
MAX_EXTRA_UPDATES = 12


@pytest.fixture
def checked_selector(monkeypatch: pytest.MonkeyPatch) -> type[CheckedSelector]:
    """Make all balancers check each pick."""
    monkeypatch.setattr(balancer, "ServerSelector", CheckedSelector)
    monkeypatch.setattr(CheckedSelector, "checked_picks", 0)
    return CheckedSelector


def test_picks_with_random_events_match_a_scan_of_all_servers(
    checked_selector: type[CheckedSelector],
) -> None:
    @hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 2**32), st.integers(1, 5), st.integers(0, 2), st.integers(1, 9))
    def check_random_events(seed: int, attempts: int, tier: int, replicas: int) -> None:
        run_random_events(
            seed, max_attempts=attempts, tier=tier, replicas=replicas, replica_index=seed % replicas
        )

    check_random_events()
    assert checked_selector.checked_picks > 5000


@pytest.mark.parametrize(
    "scenario",
    [
        Scenario(),
        Scenario(replica_restarts_at_ms=(1500.0, 3000.0)),
        Scenario(load=lambda _: 1.3),
        Scenario(warm=0, load=lambda _: 0.9),
    ],
)
def test_picks_among_cold_servers_match_a_scan_of_all_servers(
    scenario: Scenario, checked_selector: type[CheckedSelector]
) -> None:
    ColdStartSimulation(replace(scenario, before_ms=4000.0), replicas=6, seed=1)
    assert checked_selector.checked_picks > 500


def finish_round_without_change(self: Rotation[Server], picked: RotationEntry[Server]) -> float:
    return 1.0


def first_by_weight_before_round(self: LoadLevel[Server]) -> RotationEntry[Server]:
    return max((group.first() for group in self.groups.values()), key=lambda entry: entry.current_weight)


def add_with_load_zero(
    self: Rotation[Server], server: Server, load: float, effective_weight: float, current_weight: float
) -> RotationEntry[Server]:
    return original_add(self, server, 0.0, effective_weight, current_weight)


original_add = Rotation.add


@pytest.mark.parametrize(
    ("owner", "method_name", "broken_method"),
    [
        (Rotation, "finish_round", finish_round_without_change),
        (LoadLevel, "first", first_by_weight_before_round),
        (Rotation, "add", add_with_load_zero),
    ],
)
def test_broken_rotation_is_detected_by_the_scan(
    owner: type,
    method_name: str,
    broken_method: object,
    checked_selector: type[CheckedSelector],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The second fault was first revealed by the simulator's score, by a difference of 0.015."""
    monkeypatch.setattr(owner, method_name, broken_method)
    with pytest.raises(AssertionError):
        for seed in range(30):
            run_random_events(seed, replicas=7, replica_index=2)


@hypothesis_settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 2**32))
def test_incrementally_updated_subset_matches_the_reference(seed: int) -> None:
    rng = Random(seed)
    replicas = rng.choice((1, 2, 5, 9, 33))
    replica_index = rng.randrange(replicas + 3)
    weights: dict[int, float] = {}
    subset = Subset(replica_index, replicas, 4)
    for _ in range(12):
        before = dict(subset.subset_weights)
        for member in rng.sample(range(200), rng.choice((1, 2, 150))):
            if rng.random() < 0.4:
                weights.pop(member, None)
                subset.remove(member)
            else:
                weights[member] = rng.choice((1.0, 0.5, 2.0)) if seed % 2 else 1.0
                subset.set_weight(member, weights[member])
        slice_count = rng.choice((4, 4, 8, 16))
        subset.set_slice_count(slice_count)
        changed = subset.update()
        reference = reference_subset(weights, replica_index, replicas, slice_count)
        expected = {
            member: subset_weight for member, subset_weight in reference.items() if subset_weight > 1e-9
        }
        assert subset.subset_weights == pytest.approx(expected)
        members = before.keys() | subset.subset_weights
        assert {
            member for member in members if before.get(member) != subset.subset_weights.get(member)
        } <= changed


def test_deduplication_groups_after_random_changes_sample_all_members_evenly() -> None:
    rng = Random(1)
    groups = DeduplicationGroups()
    zones: dict[int, str] = {}
    servers = [Server(Endpoint(number), 0.0, rng) for number in range(60)]
    for _ in range(2000):
        server = rng.choice(servers)
        zone = rng.choice("abc")
        if rng.random() < 0.3:
            groups.remove(server)
            zones.pop(server.id, None)
        else:
            groups.assign(server, ((DeduplicationScope.ZONE, zone), ALL_SERVERS_KEY))
            zones[server.id] = zone
        expected = {server_id for server_id, other in zones.items() if other == zone}
        sampled = groups.sample((DeduplicationScope.ZONE, zone), 100, rng)
        assert {server.id for server in sampled} == expected
    sample_counts = Counter(
        server.id for _ in range(3000) for server in groups.sample(ALL_SERVERS_KEY, 5, rng)
    )
    assert set(sample_counts) == set(zones)
    assert max(sample_counts.values()) < 2 * min(sample_counts.values())


def count_updates(monkeypatch: pytest.MonkeyPatch, case: Case) -> int:
    """Return how often the speed factor of a server is computed in a run of the bench."""
    count = 0
    speed_factor = Server.speed_factor

    def counted_speed_factor(self: Server, now_ms: float, objective_ratio: float) -> float:
        nonlocal count
        count += 1
        return speed_factor(self, now_ms, objective_ratio)

    with monkeypatch.context() as patch:
        run = Run(case)
        patch.setattr(Server, "speed_factor", counted_speed_factor)
        run.cost()
    return count


@pytest.mark.parametrize("state", ServerState)
def test_server_updates_per_call_do_not_grow_with_the_endpoint_list(
    state: ServerState, monkeypatch: pytest.MonkeyPatch
) -> None:
    few_updates, many_updates = (
        count_updates(monkeypatch, Case(servers, 1, state, CALLS)) for servers in (FEW_SERVERS, MANY_SERVERS)
    )
    # Each call updates its own server twice, and some servers that are due for a refresh.
    print(
        f"{state.value}: {few_updates / CALLS:.2f} updates a call with {FEW_SERVERS} servers,"
        f" {many_updates / CALLS:.2f} with {MANY_SERVERS}"
    )
    assert many_updates <= 1.15 * few_updates + MAX_EXTRA_UPDATES * CALLS


def test_unchanged_endpoint_list_updates_no_server(monkeypatch: pytest.MonkeyPatch) -> None:
    replica = Replica(servers=200, replicas=8, replica_index=3)
    monkeypatch.setattr(
        Server, "speed_factor", lambda *_: pytest.fail("the speed factor of a server was computed")
    )
    replica.replace_endpoints(endpoints(range(200)))


def test_incremental_endpoint_update_updates_only_the_listed_server(monkeypatch: pytest.MonkeyPatch) -> None:
    replica = Replica(servers=200)
    updated: list[int] = []

    def speed_factor(server: Server, *_: float) -> float:
        updated.append(server.id)
        return 1.0

    monkeypatch.setattr(Server, "speed_factor", speed_factor)
    replica.update_endpoints(Endpoint(7, "z", "k", 1, weight=2.0))
    assert set(updated) == {7}


def test_slow_start_budget_refilled_rarely_grows_as_much_as_one_refilled_often() -> None:
    """The refill rate grows during the ramp, but a late refill used the last rate for the whole interval."""
    often_refilled, rarely_refilled = TokenBucket(0.0, 0.0), TokenBucket(0.0, 0.0)
    settings = Settings(
        [RequestClass("read", 100.0, 400.0)],
        start_capacity=0.2,
        ramp_time_ms=8000.0,
        overload_factor=2.5,
        overload_window_ms=1e6,
    )
    final_tokens = []
    for bucket, interval_ms in ((often_refilled, 10), (rarely_refilled, 2000)):
        replica = balancer.Balancer(settings, 1)
        replica.handle(EndpointUpdate(UpdateKind.COMPLETE, 1, [Endpoint(1, started_at_ms=0.0)]), 0.0)
        server = replica.fleet.servers[1]
        slow_start = replica._slow_start
        server.slow_start_budget = bucket
        for now_ms in map(float, range(0, 4001, interval_ms)):
            capacity_fraction = slow_start.capacity_fraction(server, now_ms)
            total_weight = replica.fleet.total_subset_weight
            slow_start.refill_slow_start_budget(server, capacity_fraction, total_weight, now_ms)
        final_tokens.append(bucket.tokens)
    assert final_tokens[1] == pytest.approx(final_tokens[0], rel=0.05)


def test_selection_state_does_not_grow_with_the_number_of_calls() -> None:
    """Each call created a load level, and the loads of removed levels stayed in the heap."""
    replica = Replica(servers=20, tier=1)
    sizes = []
    for _ in range(3):
        replica.serve(400)
        selector = replica.balancer._selector
        rotation = selector._healthy
        heap_entries = sum(
            len(group.heap) for level in rotation._levels.values() for group in level.groups.values()
        )
        sizes.append(
            (len(selector._refresh_queue), len(rotation._loads), len(rotation._levels), heap_entries)
        )
    assert max(map(max, sizes)) <= 100, sizes


@pytest.mark.parametrize("changes", [{"start_capacity": 0.0}, {"overload_factor": 0.0}])
def test_servers_without_capacity_or_budget_at_first_do_not_break_picks(changes: dict[str, Any]) -> None:
    """A rate of 0 caused a division by zero, and a weight of 0 an endless loop of refreshes."""
    for seed in range(10):
        run_random_events(seed, **changes)
    replica = Replica(servers=0, tier=1, **changes)
    replica.replace_endpoints([Endpoint(number, started_at_ms=replica.now_ms) for number in range(3)])
    for number in range(50):
        replica.receive(f"{number}")
        replica.now_ms += 200.0


def test_server_with_minimal_weight_does_not_break_picks() -> None:
    replica = Replica(servers=0)
    replica.replace_endpoints([Endpoint(1, weight=5e-324), Endpoint(2, weight=1.0)])
    assert set(replica.serve(20)) <= {1, 2}


def test_cold_server_is_used_soon_after_its_peers_answer_more_calls() -> None:
    """The next check was scheduled after most of a wait that had been computed from a low response rate."""
    replica = Replica(servers=2, ramp_time_ms=60_000.0, start_capacity=0.2, overload_factor=2.5, tier=1)
    replica.serve(10, gap_ms=2_000.0)
    replica.update_endpoints(Endpoint(9, "z", "k", 1, started_at_ms=replica.now_ms))
    cold = replica.balancer.fleet.servers[9]
    cold.slow_start_budget.tokens = 0.0
    replica.balancer._selector.update(cold, replica.now_ms)
    start_at_ms = replica.now_ms
    while 9 not in replica.serve(1, gap_ms=0.0, delay_ms=10.0):
        assert replica.now_ms - start_at_ms < 1_600.0
