"""How requests are spread over servers: weights, slow start, slow and failing servers, the subset."""

from __future__ import annotations

import math

import pytest

from tests.helpers import Replica, endpoints, sends
from workspond.policy.balancer import Balancer
from workspond.policy.endpoint import Endpoint
from workspond.policy.events import AttemptEnded, EndpointUpdate, Outcome, RequestReceived, UpdateKind
from workspond.policy.fleet import SLICES
from workspond.policy.settings import RequestClass, Settings


def test_first_sends_take_even_turns() -> None:
    replica = Replica(servers=4)
    picked = replica.serve(40)
    assert {picked.count(n) for n in range(4)} == {10}


def test_first_sends_follow_weights() -> None:
    replica = Replica(servers=0)
    replica.replace_endpoints([Endpoint(1, weight=3.0), Endpoint(2, weight=1.0)])
    picked = replica.serve(40)
    assert picked.count(1) == pytest.approx(30, abs=1)


def test_a_server_that_starts_anew_under_its_name_is_one_of_which_nothing_is_known() -> None:
    """The limit, ejection and slow-start budget of the old process must not pass to the new one."""
    replica = Replica(servers=2)
    replica.serve(200)
    replica.update_endpoints(Endpoint(1, "z", "k", 1, started_at_ms=replica.now_ms - 5000.0))
    for n in range(40):  # the server goes down: nothing connects
        replica.receive(f"down-{n}", "non_idempotent")
        replica.end_attempt(
            f"down-{n}",
            Outcome.CONNECT_FAILED if replica.sent_to[f"down-{n}"][0] == 1 else Outcome.SUCCESS,
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
    assert replica.balancer.fleet.servers[1] is old  # the same start, read by another clock
    replica.update_endpoints(Endpoint(1, "z", "k", 1, started_at_ms=replica.now_ms))
    new = replica.balancer.fleet.servers[1]
    assert (new.in_flight_limit, new.ejections, new.relative_latency, new.in_flight) == (math.inf, 0, 1.0, 0)
    assert new.slow_start_budget.tokens < 1.0
    replica.end_attempt("late", Outcome.RESET)  # an attempt on the old process says nothing about the new one
    assert not new.error_log_odds and not new.relative_latency > 1.0


def test_a_new_copy_gets_on_where_all_servers_are_cold() -> None:
    """Without responses to estimate the capacity from, a new replica must not wait until they are warm."""
    replica = Replica(servers=0, tier=1)
    start = replica.now_ms
    replica.replace_endpoints([Endpoint(n, started_at_ms=start) for n in range(4)])
    served = 0
    for n in range(400):  # 4 s, half of the ramp
        replica.receive(f"{n}")
        if f"{n}" in replica.sent_to:
            served += 1
            replica.end_attempt(f"{n}", Outcome.SUCCESS, 5.0)
        replica.now_ms = start + 10.0 * n
    assert 4 <= served <= 4 * 0.5 * 3.0 * 4 * 100  # what the settings allow, if each answers at once


def test_a_server_with_an_old_start_is_warm() -> None:
    replica = Replica(servers=0)
    replica.replace_endpoints([Endpoint(1), Endpoint(2, started_at_ms=replica.now_ms - 9000.0)])
    picked = replica.serve(40)
    assert picked.count(2) == 20


def test_a_stuck_server_is_passed_over() -> None:
    # A few stuck servers can hold up a whole tier.
    replica = Replica(servers=4)
    replica.serve(80)
    stuck = replica.balancer.fleet.subset_servers[0].id
    to_stuck = 0
    for n in range(100):
        replica.receive(f"r{n}")
        if replica.sent_to[f"r{n}"][0] == stuck:
            to_stuck += 1
        else:
            replica.end_attempt(f"r{n}", Outcome.SUCCESS)
    assert to_stuck <= 5


def test_a_slow_server_loses_weight_and_gets_it_back() -> None:
    replica = Replica(servers=4)
    for _ in range(200):
        request_id = f"s{replica.now_ms}"
        replica.receive(request_id)
        replica.end_attempt(
            request_id, Outcome.SUCCESS, 400.0 if replica.sent_to[request_id][0] == 0 else 50.0
        )
    slow = replica.balancer.fleet.servers[0]
    assert slow.speed_factor(replica.now_ms, 0.0) < 0.5
    assert replica.serve(20, gap_ms=0.0).count(0) <= 2  # an equal part is 5
    assert slow.speed_factor(replica.now_ms + 60_000.0, 0.0) == pytest.approx(1.0)


def test_a_server_that_fails_fast_is_ejected_and_returns() -> None:
    replica = Replica(servers=4)
    replica.serve(100)
    bad = 0
    for n in range(60):
        replica.receive(f"e{n}", "non_idempotent")
        failing = replica.sent_to[f"e{n}"][0] == 0
        bad += failing
        replica.end_attempt(f"e{n}", Outcome.ERROR if failing else Outcome.SUCCESS, 20.0)
    assert bad <= 4
    replica.now_ms += 60_000.0
    assert 0 in replica.serve(8)


def test_half_the_fleet_bad_at_once_is_not_emptied() -> None:
    replica = Replica(servers=4)
    replica.serve(100)
    for n in range(80):
        replica.receive(f"e{n}", "non_idempotent")
        replica.end_attempt(f"e{n}", Outcome.ERROR, 20.0)
        assert (
            sum(replica.now_ms < server.ejected_until_ms for server in replica.balancer.fleet.subset_servers)
            <= 2
        )


def test_copies_share_a_large_fleet_out_evenly() -> None:
    """Many replicas that each use all servers need more connections than the servers accept."""
    callers = dict.fromkeys(range(60), 0)
    load = dict.fromkeys(callers, 0.0)
    for number in range(40):
        fleet = Replica(60, replicas=40, replica_index=number).balancer.fleet
        assert len(fleet.subset_servers) < 30
        assert math.isclose(sum(server.subset_weight for server in fleet.subset_servers), SLICES * 60 / 40)
        for server in fleet.subset_servers:
            callers[server.id] += 1
            load[server.id] += server.subset_weight
    assert max(callers.values()) <= 40 / 2
    assert all(math.isclose(part, SLICES) for part in load.values())


def test_a_hot_caller_takes_more_of_the_fleet() -> None:
    replica = Replica(60, replicas=40, tier=1)
    few = len(replica.balancer.fleet.subset_servers)
    replica.serve(50)
    assert len(replica.balancer.fleet.subset_servers) == few
    for n in range(40):
        replica.receive(f"{n}")
    assert len(replica.balancer.fleet.subset_servers) > few
    assert len({server for sent in replica.sent_to.values() for server in sent}) > few
    replica.replace_endpoints(endpoints(range(60)))
    assert len(replica.balancer.fleet.subset_servers) == few


def test_a_cold_server_takes_fewer_turns_than_its_budget_allows() -> None:
    replica = Replica(servers=4, overload_factor=50.0)
    replica.serve(200)
    replica.update_endpoints(Endpoint(9, started_at_ms=replica.now_ms))
    assert replica.serve(20).count(9) <= 2


def test_a_copy_numbered_beyond_their_count_still_has_servers() -> None:
    replica = Replica(60, replicas=40, replica_index=57)
    assert replica.balancer.fleet.subset_servers
    assert sends(replica.receive("a"))


def test_a_call_overdue_takes_its_servers_weight_before_it_ends() -> None:
    """Otherwise slow or silent servers get several more requests before the first times out."""
    replica = Replica(servers=4, tier=1)
    replica.serve(200)
    replica.receive("stuck")
    [stuck] = replica.sent_to["stuck"]
    replica.now_ms += 1000.0
    assert stuck not in replica.serve(30)
    replica.end_attempt("stuck", Outcome.SUCCESS, 0.0)
    assert stuck in replica.serve(30)


def test_a_call_that_later_ones_overtook_says_nothing_of_its_server() -> None:
    """Neither while it is in flight nor by its timeout: the server answers, the connection was dropped."""
    replica = Replica(servers=4, tier=1)
    replica.serve(200)
    for n in range(8):
        replica.now_ms += 1.0
        replica.receive(f"c{n}")
    silent = next(
        n for n in range(8) if replica.sent_to[f"c{n}"] in [replica.sent_to[f"c{m}"] for m in range(n + 1, 8)]
    )
    for n in range(8):
        if n != silent:
            replica.end_attempt(f"c{n}", Outcome.SUCCESS, 5.0)
    [server] = replica.sent_to[f"c{silent}"]
    replica.now_ms += 1000.0
    assert server in replica.serve(12)
    replica.end_attempt(f"c{silent}", Outcome.TIMEOUT, 500.0)
    assert server in replica.serve(12)


def test_a_reported_queue_takes_weight_and_fades() -> None:
    """An overloaded server reports it in its responses, before it fails."""
    replica = Replica(servers=4, tier=1)
    replica.serve(200)
    replica.receive("a")
    [crowded] = replica.sent_to["a"]
    event = AttemptEnded("a", 0, crowded, Outcome.SUCCESS, 50.0, True, {"queue": 6.0})
    replica.handle(event, 50.0)
    assert crowded not in replica.serve(20)
    replica.now_ms += 60_000.0
    assert crowded in replica.serve(20)


def test_a_hot_copy_takes_no_more_slices_than_there_are() -> None:
    """The slices must not double without end, as the subset is computed anew each time."""
    settings = Settings([RequestClass("read", 1000.0, 3000.0)], replicas=20, tier=1, tiers=2)
    balancer = Balancer(settings, 1)
    balancer.handle(EndpointUpdate(UpdateKind.COMPLETE, 1, [Endpoint(n) for n in range(4)]), 0.0)
    for n in range(200):
        balancer.handle(RequestReceived(f"{n}", "read", 3000.0), float(n))
    assert balancer.in_flight == 200
    assert 20 <= balancer.fleet.slice_count < 40


def test_a_call_does_not_wait_behind_another_of_the_copy_while_a_peer_stands_idle() -> None:
    """Some servers work on one request at a time."""
    replica = Replica(servers=4)
    replica.serve(40)
    for n in range(4):
        replica.receive(f"a{n}")
    assert len({replica.sent_to[f"a{n}"][0] for n in range(4)}) == 4
    [busy] = replica.sent_to["a0"]
    for n in range(1, 4):
        replica.end_attempt(f"a{n}", Outcome.SUCCESS, 1.0)
    for n in range(3):  # the first of these is the turn of the busy server
        replica.receive(f"b{n}")
    assert busy not in [replica.sent_to[f"b{n}"][0] for n in range(3)]
