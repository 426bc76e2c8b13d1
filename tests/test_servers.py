"""Distribution of attempts over servers: weights, slow start, slow and failing servers, and subsets."""

from __future__ import annotations

import math

import pytest

from tests.helpers import Replica, endpoints, sends
from workspond.policy.balancer import Balancer
from workspond.policy.endpoint import Endpoint
from workspond.policy.events import AttemptEnded, EndpointUpdate, Outcome, RequestReceived, UpdateKind
from workspond.policy.fleet import INITIAL_SLICES
from workspond.policy.settings import RequestClass, Settings


def test_servers_of_equal_weight_get_equal_numbers_of_requests() -> None:
    replica = Replica(servers=4)
    picked = replica.serve(40)
    assert {picked.count(number) for number in range(4)} == {10}


def test_servers_of_different_weights_get_requests_in_proportion() -> None:
    replica = Replica(servers=0)
    replica.replace_endpoints([Endpoint(1, weight=3.0), Endpoint(2, weight=1.0)])
    picked = replica.serve(40)
    assert picked.count(1) == pytest.approx(30, abs=1)


def test_restarted_server_with_its_old_id_has_no_state_of_the_old_process() -> None:
    """The in-flight limit, ejection and slow-start budget of the old process do not apply to the new one."""
    replica = Replica(servers=2)
    replica.serve(200)
    replica.update_endpoints(Endpoint(1, "z", "k", 1, started_at_ms=replica.now_ms - 5000.0))
    for number in range(40):  # all connection attempts to server 1 fail
        replica.receive(f"down-{number}", "non_idempotent")
        replica.end_attempt(
            f"down-{number}",
            Outcome.CONNECT_FAILED if replica.sent_to[f"down-{number}"][0] == 1 else Outcome.SUCCESS,
            5.0,
        )
    old = replica.balancer.fleet.servers[1]
    assert (
        old.in_flight_limit < math.inf
        and old.ejected_until_ms > replica.now_ms
        and old.slow_start_budget.tokens >= 1.0
    )
    while "late" not in replica.sent_to or replica.sent_to["late"][-1] != 1:
        old.ejected_until_ms, replica.sent_to["late"] = -math.inf, []
        replica.receive("late")
        if replica.sent_to["late"][-1] != 1:
            replica.end_attempt("late", Outcome.SUCCESS, 5.0)
    replica.update_endpoints(
        Endpoint(1, "z", "k", 1, started_at_ms=old.started_at_ms and old.started_at_ms + 50.0)
    )
    # The start time differs by 50 ms only, as if read from another clock: it is the same process.
    assert replica.balancer.fleet.servers[1] is old
    replica.update_endpoints(Endpoint(1, "z", "k", 1, started_at_ms=replica.now_ms))
    new = replica.balancer.fleet.servers[1]
    assert (new.in_flight_limit, new.ejections, new.relative_latency, new.in_flight) == (math.inf, 0, 1.0, 0)
    assert new.slow_start_budget.tokens < 1.0
    replica.end_attempt("late", Outcome.RESET)  # the attempt was sent to the old process
    assert not new.error_log_odds and not new.relative_latency > 1.0


def test_new_replica_with_only_cold_servers_sends_requests() -> None:
    """A new replica has no responses to estimate the capacity from, but must not wait for warm servers."""
    replica = Replica(servers=0, tier=1)
    start_at_ms = replica.now_ms
    replica.replace_endpoints([Endpoint(number, started_at_ms=start_at_ms) for number in range(4)])
    sent_count = 0
    for number in range(400):  # 4 s, which is half of the ramp
        replica.receive(f"{number}")
        if f"{number}" in replica.sent_to:
            sent_count += 1
            replica.end_attempt(f"{number}", Outcome.SUCCESS, 5.0)
        replica.now_ms = start_at_ms + 10.0 * number
    # The upper bound is the limit of the settings if all answers are immediate.
    assert 4 <= sent_count <= 4 * 0.5 * 3.0 * 4 * 100


def test_server_started_before_the_ramp_time_is_warm() -> None:
    replica = Replica(servers=0)
    replica.replace_endpoints([Endpoint(1), Endpoint(2, started_at_ms=replica.now_ms - 9000.0)])
    picked = replica.serve(40)
    assert picked.count(2) == 20


def test_stuck_server_gets_few_requests() -> None:
    """Otherwise a few stuck servers can block a whole tier."""
    replica = Replica(servers=4)
    replica.serve(80)
    stuck = replica.balancer.fleet.subset_servers[0].id
    sent_to_stuck = 0
    for number in range(100):
        replica.receive(f"r{number}")
        if replica.sent_to[f"r{number}"][0] == stuck:
            sent_to_stuck += 1
        else:
            replica.end_attempt(f"r{number}", Outcome.SUCCESS)
    assert sent_to_stuck <= 5


def test_slow_server_loses_weight_and_recovers_it() -> None:
    replica = Replica(servers=4)
    for _ in range(200):
        request_id = f"s{replica.now_ms}"
        replica.receive(request_id)
        replica.end_attempt(
            request_id, Outcome.SUCCESS, 400.0 if replica.sent_to[request_id][0] == 0 else 50.0
        )
    slow = replica.balancer.fleet.servers[0]
    assert slow.speed_factor(replica.now_ms, 0.0) < 0.5
    assert replica.serve(20, gap_ms=0.0).count(0) <= 2  # an equal share is 5
    assert slow.speed_factor(replica.now_ms + 60_000.0, 0.0) == pytest.approx(1.0)


def test_server_that_fails_fast_is_ejected_and_returns() -> None:
    replica = Replica(servers=4)
    replica.serve(100)
    failures = 0
    for number in range(60):
        replica.receive(f"e{number}", "non_idempotent")
        is_failing = replica.sent_to[f"e{number}"][0] == 0
        failures += is_failing
        replica.end_attempt(f"e{number}", Outcome.ERROR if is_failing else Outcome.SUCCESS, 20.0)
    assert failures <= 4
    replica.now_ms += 60_000.0
    assert 0 in replica.serve(8)


def test_fleet_in_which_all_requests_fail_has_at_most_half_its_servers_ejected() -> None:
    replica = Replica(servers=4)
    replica.serve(100)
    for number in range(80):
        replica.receive(f"e{number}", "non_idempotent")
        replica.end_attempt(f"e{number}", Outcome.ERROR, 20.0)
        assert (
            sum(replica.now_ms < server.ejected_until_ms for server in replica.balancer.fleet.subset_servers)
            <= 2
        )


def test_subsets_of_many_replicas_cover_a_large_fleet_evenly() -> None:
    """If many replicas used all servers, they would need more connections than the servers accept."""
    replicas_by_server = dict.fromkeys(range(60), 0)
    total_weights = dict.fromkeys(replicas_by_server, 0.0)
    for number in range(40):
        fleet = Replica(60, replicas=40, replica_index=number).balancer.fleet
        assert len(fleet.subset_servers) < 30
        assert math.isclose(
            sum(server.subset_weight for server in fleet.subset_servers), INITIAL_SLICES * 60 / 40
        )
        for server in fleet.subset_servers:
            replicas_by_server[server.id] += 1
            total_weights[server.id] += server.subset_weight
    assert max(replicas_by_server.values()) <= 40 / 2
    assert all(math.isclose(weight, INITIAL_SLICES) for weight in total_weights.values())


def test_busy_replica_uses_a_larger_subset_until_the_next_endpoint_list() -> None:
    replica = Replica(60, replicas=40, tier=1)
    initial_size = len(replica.balancer.fleet.subset_servers)
    replica.serve(50)
    assert len(replica.balancer.fleet.subset_servers) == initial_size
    for number in range(40):
        replica.receive(f"{number}")
    assert len(replica.balancer.fleet.subset_servers) > initial_size
    assert len({server for sent in replica.sent_to.values() for server in sent}) > initial_size
    replica.replace_endpoints(endpoints(range(60)))
    assert len(replica.balancer.fleet.subset_servers) == initial_size


def test_cold_server_with_a_large_budget_still_has_a_low_weight() -> None:
    replica = Replica(servers=4, overload_factor=50.0)
    replica.serve(200)
    replica.update_endpoints(Endpoint(9, started_at_ms=replica.now_ms))
    assert replica.serve(20).count(9) <= 2


def test_replica_with_index_above_the_replica_count_has_servers() -> None:
    replica = Replica(60, replicas=40, replica_index=57)
    assert replica.balancer.fleet.subset_servers
    assert sends(replica.receive("a"))


def test_overdue_attempt_reduces_the_weight_of_its_server_before_it_ends() -> None:
    """Otherwise a slow or unresponsive server gets several more requests before the first one times out."""
    replica = Replica(servers=4, tier=1)
    replica.serve(200)
    replica.receive("stuck")
    [stuck] = replica.sent_to["stuck"]
    replica.now_ms += 1000.0
    assert stuck not in replica.serve(30)
    replica.end_attempt("stuck", Outcome.SUCCESS, 0.0)
    assert stuck in replica.serve(30)


def test_attempt_overtaken_by_later_ones_does_not_reduce_the_weight_of_its_server() -> None:
    """The server answers later attempts, so the connection was lost; the timeout does not count either."""
    replica = Replica(servers=4, tier=1)
    replica.serve(200)
    for number in range(8):
        replica.now_ms += 1.0
        replica.receive(f"c{number}")
    overtaken = next(
        number
        for number in range(8)
        if replica.sent_to[f"c{number}"] in [replica.sent_to[f"c{later}"] for later in range(number + 1, 8)]
    )
    for number in range(8):
        if number != overtaken:
            replica.end_attempt(f"c{number}", Outcome.SUCCESS, 5.0)
    [server] = replica.sent_to[f"c{overtaken}"]
    replica.now_ms += 1000.0
    assert server in replica.serve(12)
    replica.end_attempt(f"c{overtaken}", Outcome.TIMEOUT, 500.0)
    assert server in replica.serve(12)


def test_reported_queue_reduces_the_weight_and_decays() -> None:
    """An overloaded server reports its queue in its responses before it fails."""
    replica = Replica(servers=4, tier=1)
    replica.serve(200)
    replica.receive("a")
    [overloaded] = replica.sent_to["a"]
    event = AttemptEnded("a", 0, overloaded, Outcome.SUCCESS, 50.0, True, {"queue": 6.0})
    replica.handle(event, 50.0)
    assert overloaded not in replica.serve(20)
    replica.now_ms += 60_000.0
    assert overloaded in replica.serve(20)


def test_busy_replica_with_few_servers_stops_doubling_its_slices() -> None:
    """The slice count must have a bound, because the subset is computed again at each doubling."""
    settings = Settings([RequestClass("read", 1000.0, 3000.0)], replicas=20, tier=1, tiers=2)
    balancer = Balancer(settings, 1)
    balancer.handle(EndpointUpdate(UpdateKind.COMPLETE, 1, [Endpoint(number) for number in range(4)]), 0.0)
    for number in range(200):
        balancer.handle(RequestReceived(f"{number}", "read", 3000.0), float(number))
    assert balancer.in_flight == 200
    assert 20 <= balancer.fleet.slice_count < 40


def test_request_goes_to_an_idle_server_rather_than_to_a_busy_one() -> None:
    """Some servers work on one request at a time, so the request would wait there."""
    replica = Replica(servers=4)
    replica.serve(40)
    for number in range(4):
        replica.receive(f"a{number}")
    assert len({replica.sent_to[f"a{number}"][0] for number in range(4)}) == 4
    [busy] = replica.sent_to["a0"]
    for number in range(1, 4):
        replica.end_attempt(f"a{number}", Outcome.SUCCESS, 1.0)
    for number in range(3):  # without the busy server's attempt in flight, the first of these would go to it
        replica.receive(f"b{number}")
    assert busy not in [replica.sent_to[f"b{number}"][0] for number in range(3)]
