"""The operating rules, the endpoint list and each exception, in one small case each."""

from __future__ import annotations

import math

import pytest

from tests.helpers import Replica, answers, endpoints, sends, timers
from workspond.policy import admission
from workspond.policy.actions import (
    CloseIdleConnections,
    FailRequest,
    PolicyAction,
    RejectRequest,
    SendAttempt,
    SetTimer,
    Subscribe,
)
from workspond.policy.balancer import Balancer
from workspond.policy.concurrency_limit import INITIAL_PER_SERVER, concurrency_limit
from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.events import (
    AttemptEnded,
    EndpointUpdate,
    Outcome,
    RequestAbandoned,
    RequestReceived,
    StreamStarted,
    TimerFired,
    UpdateKind,
)
from workspond.policy.fleet import SLICES
from workspond.policy.retry_policy import BASE_BACKOFF_FRACTION, MAX_BASE_BACKOFF_MS
from workspond.policy.settings import Idempotency, RequestClass, Settings, Tenant
from workspond.policy.subscription_backoff import MAX_SUBSCRIPTION_BACKOFF_MS


def test_first_sends_take_even_turns() -> None:
    replica = Replica(servers=4)
    picked = replica.serve(40)
    assert {picked.count(n) for n in range(4)} == {10}


def test_first_sends_follow_weights() -> None:
    replica = Replica(servers=0)
    replica.replace_endpoints([Endpoint(1, weight=3.0), Endpoint(2, weight=1.0)])
    picked = replica.serve(40)
    assert picked.count(1) == pytest.approx(30, abs=1)


def test_a_failed_attempt_waits_then_goes_elsewhere() -> None:
    replica = Replica()
    replica.receive("a")
    [timer] = timers(replica.end_attempt("a", Outcome.ERROR))
    assert timer.delay_ms > 0
    [send] = sends(replica.handle(TimerFired(timer.token), timer.delay_ms))
    assert send.server_id != replica.sent_to["a"][0]


def test_back_off_doubles_with_jitter() -> None:
    # Without jitter, replicas retry in step after a common stall.
    firsts, seconds = [], []
    for salt in range(200):
        replica = Replica(salt=salt)
        replica.receive("a", ttl_ms=30_000.0)
        [first] = timers(replica.end_attempt("a", Outcome.ERROR))
        replica.handle(TimerFired(first.token), first.delay_ms)
        [second] = timers(replica.end_attempt("a", Outcome.ERROR))
        firsts.append(first.delay_ms)
        seconds.append(second.delay_ms)
    assert sum(seconds) == pytest.approx(2.0 * sum(firsts), rel=0.1)
    assert max(firsts) > 2.0 * min(firsts)


def test_rule_1_the_deadlines_own_time_out_is_answered() -> None:
    replica = Replica()
    replica.receive("a", "non_idempotent", 800.0)
    assert len(answers(replica.end_attempt("a", Outcome.TIMEOUT, 800.0))) == 1
    assert replica.handle(RequestAbandoned("a")) == []


def test_rule_1_without_servers_a_request_still_ends_in_time() -> None:
    replica = Replica(servers=0)
    actions = replica.receive("a", ttl_ms=900.0)
    start = replica.now_ms
    while not answers(actions):
        [timer] = timers(actions)
        actions = replica.handle(TimerFired(timer.token), timer.delay_ms)
    assert isinstance(answers(actions)[0], RejectRequest)
    assert replica.now_ms - start < 900.0


def test_rule_1_nothing_is_sent_after_the_client_has_gone() -> None:
    replica = Replica()
    replica.receive("a")
    [timer] = timers(replica.end_attempt("a", Outcome.ERROR))
    replica.handle(RequestAbandoned("a"))
    assert replica.handle(TimerFired(timer.token), timer.delay_ms) == []


def test_rule_2_unsafe_is_not_repeated_once_it_may_have_run() -> None:
    for outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
        replica = Replica()
        replica.receive("a", "non_idempotent")
        assert answers(replica.end_attempt("a", outcome)) == [FailRequest("a")]


def test_rule_2_unsafe_is_repeated_when_it_never_ran() -> None:
    replica = Replica()
    replica.receive("a", "non_idempotent")
    [timer] = timers(replica.end_attempt("a", Outcome.REJECTED))
    assert sends(replica.handle(TimerFired(timer.token), timer.delay_ms))


def test_rule_2_keyed_stays_in_its_group() -> None:
    for salt in range(20):
        replica = Replica(servers=8, salt=salt)
        replica.receive("a", "keyed")
        [timer] = timers(replica.end_attempt("a", Outcome.ERROR))
        [send] = sends(replica.handle(TimerFired(timer.token), timer.delay_ms))
        assert send.server_id % 2 == replica.sent_to["a"][0] % 2


def test_rule_2_keyed_is_not_sent_after_its_window() -> None:
    replica = Replica()
    replica.receive("a", "keyed", ttl_ms=3000.0)
    actions = replica.end_attempt("a", Outcome.TIMEOUT, 1990.0)
    assert answers(actions) == [FailRequest("a")] and not timers(actions)


def test_rule_3_a_draining_server_gets_nothing() -> None:
    replica = Replica(servers=2)
    replica.update_endpoints(Endpoint(0, state=EndpointState.DRAINING))
    assert set(replica.serve(10)) == {1}


def test_rule_3_a_server_missing_from_a_full_list_is_gone() -> None:
    replica = Replica(servers=2)
    replica.replace_endpoints(endpoints([1]), 2)
    assert set(replica.serve(10)) == {1}


def test_rule_3_changes_leave_the_rest_of_the_list() -> None:
    replica = Replica(servers=2)
    replica.update_endpoints(Endpoint(7))
    assert set(replica.serve(30)) == {0, 1, 7}


def test_a_failed_subscription_is_asked_for_again_with_jitter() -> None:
    delays = set()
    for salt in range(5):
        replica = Replica(salt=salt, requires_subscription=True)
        assert Subscribe() in [a for _, a in replica.actions]
        [timer] = timers(replica.handle(EndpointUpdate(UpdateKind.FAILED)))
        delays.add(timer.delay_ms)
        assert replica.handle(TimerFired(timer.token), timer.delay_ms) == [Subscribe()]
        assert timer.delay_ms < replica.balancer.settings.poll_interval_ms / 4
        seldom = Replica(salt=salt, requires_subscription=True, poll_interval_ms=60_000.0)
        [timer] = timers(seldom.handle(EndpointUpdate(UpdateKind.FAILED)))
        assert timer.delay_ms <= MAX_SUBSCRIPTION_BACKOFF_MS  # the discovery watcher relies on it
    assert len(delays) == 5


def test_rule_4_a_cold_server_gets_its_part_only() -> None:
    replica = Replica(servers=4)
    replica.serve(200)
    replica.update_endpoints(Endpoint(9, started_at_ms=replica.now_ms))
    picked = replica.serve(100)  # 6 seconds, most of the ramp
    assert 0 < picked.count(9) < 100 / 5


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
        and old.cold_budget.tokens >= 1.0
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
    assert new.cold_budget.tokens < 1.0
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
    stuck = replica.balancer.fleet.ready[0].id
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
        assert sum(replica.now_ms < server.ejected_until_ms for server in replica.balancer.fleet.ready) <= 2


def test_copies_share_a_large_fleet_out_evenly() -> None:
    """Many replicas that each use all servers need more connections than the servers accept."""
    callers = dict.fromkeys(range(60), 0)
    load = dict.fromkeys(callers, 0.0)
    for number in range(40):
        fleet = Replica(60, replicas=40, replica_index=number).balancer.fleet
        assert len(fleet.ready) < 30
        assert math.isclose(sum(server.subset_weight for server in fleet.ready), SLICES * 60 / 40)
        for server in fleet.ready:
            callers[server.id] += 1
            load[server.id] += server.subset_weight
    assert max(callers.values()) <= 40 / 2
    assert all(math.isclose(part, SLICES) for part in load.values())


def test_a_hot_caller_takes_more_of_the_fleet() -> None:
    replica = Replica(60, replicas=40, tier=1)
    few = len(replica.balancer.fleet.ready)
    replica.serve(50)
    assert len(replica.balancer.fleet.ready) == few
    for n in range(40):
        replica.receive(f"{n}")
    assert len(replica.balancer.fleet.ready) > few
    assert len({server for sent in replica.sent_to.values() for server in sent}) > few
    replica.replace_endpoints(endpoints(range(60)))
    assert len(replica.balancer.fleet.ready) == few


def test_a_pinned_repeat_may_leave_the_copys_part_but_not_the_group() -> None:
    replica = Replica(40, replicas=40)
    own = {server.id for server in replica.balancer.fleet.ready}
    replica.receive("k", "keyed")
    (first,) = replica.sent_to["k"]
    replica.replace_endpoints(
        endpoints(n for n in range(40) if n == first or n % 2 != first % 2 or n not in own)
    )
    replica.update_endpoints(*endpoints([first], state=EndpointState.REMOVED))
    (timer,) = timers(replica.end_attempt("k", Outcome.ERROR))
    replica.handle(TimerFired(timer.token), timer.delay_ms)
    second = replica.sent_to["k"][1]
    assert second not in own
    assert second % 2 == first % 2


def test_a_burst_is_held_at_the_clients_tier_and_refused_in_time() -> None:
    # Otherwise work that clients have abandoned fills the servers.
    replica = Replica(servers=2)
    replica.serve(200)
    for n in range(300):
        replica.receive(f"b{n}")
    in_flight = sum(s.in_flight for s in replica.balancer.fleet.ready)
    assert in_flight < 100
    waiting = [a for _, a in replica.actions if isinstance(a, SetTimer)]
    assert len(waiting) >= 200
    rejected = 0
    for timer in waiting:
        rejected += len(answers(replica.handle(TimerFired(timer.token))))
    assert rejected >= 200


def test_what_waits_for_room_is_not_sent_once_its_client_has_gone() -> None:
    replica = Replica(servers=2, replicas=1)
    replica.serve(30)
    for n in range(60):
        replica.receive(f"burst-{n}")
    waiting = [request_id for request_id in replica.balancer._calls if request_id not in replica.sent_to]
    assert waiting
    for request_id in waiting:
        replica.handle(RequestAbandoned(request_id))
    for request_id in [request_id for request_id in replica.sent_to if request_id.startswith("burst")]:
        replica.end_attempt(request_id, Outcome.SUCCESS)
    assert not replica.sent_to.keys() & set(waiting)


def test_deeper_tiers_do_not_hold_for_the_window() -> None:
    replica = Replica(servers=2, tier=1)
    replica.serve(200)
    for n in range(300):
        replica.receive(f"b{n}")
    assert sum(s.in_flight for s in replica.balancer.fleet.ready) == 300


def fill(replica: Replica) -> int:
    """Receive requests of low priority until one has to wait; how many were sent."""
    n = 0
    while not timers(replica.receive(f"fill{n}")):
        n += 1
    return n


def test_held_requests_of_most_worth_go_first() -> None:
    replica = Replica(servers=2)
    replica.serve(200)
    n = fill(replica)
    while sends(
        replica.receive(f"preferred{n}", "non_idempotent")
    ):  # the rest of the limit is reserved for it
        n += 1
    sent = [send for k in range(5) for send in sends(replica.end_attempt(f"fill{k}", Outcome.SUCCESS, 1.0))]
    assert sent[0].request_id == f"preferred{n}"


def test_a_dear_class_that_takes_too_long_goes_behind() -> None:
    """Twice the weight for far more time is no better use of a full tier."""
    replica = Replica(servers=2)
    replica.serve(200)
    replica.serve(200, "keyed_all", delay_ms=400.0)
    n = fill(replica)
    replica.receive("slow", "keyed_all")
    sent: list[SendAttempt] = []
    for k in range(n):
        sent += sends(replica.end_attempt(f"fill{k}", Outcome.SUCCESS, 1.0))
    assert next(send.request_id for send in sent if send.request_id in (f"fill{n}", "slow")) == f"fill{n}"


def test_the_worst_served_class_is_not_starved_where_that_counts() -> None:
    """A strict order of priority weights starves the class of the lower one."""

    def first(worst_class_weight: float) -> str:
        replica = Replica(servers=2, worst_class_weight=worst_class_weight)
        replica.serve(100)
        replica.serve(100, "keyed_all")
        for n in range(20):
            replica.receive(f"f{n}")
            replica.end_attempt(f"f{n}", Outcome.ERROR, 1.0, request_finished=False)
            replica.handle(TimerFired(replica.balancer._timers.last_token), 3000.0)
        n = fill(replica)
        replica.receive("preferred", "keyed_all")
        for k in range(n):
            sent = sends(replica.end_attempt(f"fill{k}", Outcome.SUCCESS, 1.0))
            if sent:
                return sent[0].request_id
        raise AssertionError("nothing was released")

    assert first(0.0) == "preferred"
    assert first(2.0).startswith("fill")


def test_the_last_of_the_window_is_kept_for_the_class_of_most_value() -> None:
    """Otherwise requests of the best class are rejected while others are admitted."""
    replica = Replica(servers=2)
    replica.serve(200)
    replica.serve(200, "non_idempotent")
    n = fill(replica)
    assert sends(replica.receive("preferred", "non_idempotent"))
    limit = concurrency_limit(replica.balancer.controller, 2.0, replica.now_ms)
    assert n < limit <= n + 3


def test_over_share_tenants_wait_last() -> None:
    tenants = [Tenant("x", 0.5, 5.0), Tenant("y", 0.5, 5.0)]
    replica = Replica(servers=2, tenants=tenants, over_quota_fraction=0.05)
    replica.serve(200)
    n = 0
    while not timers(replica.receive(f"b{n}", tenant="x")):
        n += 1
    for k in range(5):
        replica.receive(f"x{k}", tenant="x")
    replica.receive("fair", tenant="y")
    sent: list[SendAttempt] = []
    for k in range(n):
        sent += sends(replica.end_attempt(f"b{k}", Outcome.SUCCESS, 1.0))
        if sent:
            break
    assert sent[0].request_id == "fair"


def test_unknown_ids_and_timers_change_nothing() -> None:
    replica = Replica()
    assert replica.handle(TimerFired(999)) == []
    assert replica.handle(RequestAbandoned("nobody")) == []
    replica.handle(AttemptEnded("nobody", 0, 0, Outcome.SUCCESS, 5.0, True))
    replica.handle(AttemptEnded("nobody", 0, 77, Outcome.ERROR, 5.0, True))
    assert math.isfinite(replica.balancer.controller.allowed_rate)


def test_a_stream_binds_its_request() -> None:
    replica = Replica()
    replica.receive("a")
    replica.handle(StreamStarted("a", 0, replica.sent_to["a"][0]))
    assert not sends(replica.end_attempt("a", Outcome.RESET, 50.0, request_finished=True))


def test_a_copy_that_sees_only_failures_goes_on() -> None:
    # There is no delay sample yet, after a second of failures.
    replica = Replica()
    for n in range(40):
        replica.receive(f"f{n}")
        replica.end_attempt(f"f{n}", Outcome.CONNECT_FAILED, 100.0)
    assert concurrency_limit(replica.balancer.controller, 4.0, replica.now_ms) == INITIAL_PER_SERVER * 4.0
    assert sends(replica.receive("later"))


def gate(replica: Replica, request_id: str, server: int) -> bool:
    """Send through the gate directly, as new code that forgets a rule would."""
    balancer = replica.balancer
    return balancer._send(balancer._calls[request_id], balancer.fleet.servers[server], replica.now_ms)


def test_the_gate_itself_keeps_rules_1_and_2() -> None:
    replica = Replica(servers=4)
    replica.receive("in flight", "idempotent")
    assert not gate(replica, "in flight", 1)  # an attempt is in flight
    replica.receive("late", "idempotent", 400.0)
    replica.end_attempt("late", Outcome.ERROR, 100.0)
    replica.now_ms += 298.0
    assert not gate(replica, "late", 1)  # no time left
    replica.receive("keyed", "keyed")
    replica.end_attempt("keyed", Outcome.ERROR, 10.0)
    other = 1 - replica.sent_to["keyed"][0] % 2
    assert not gate(replica, "keyed", other)  # another group
    replica.now_ms += 1995.0
    assert not gate(replica, "keyed", 1 - other)  # the deduplication window is over
    replica.receive("retried", "idempotent")
    replica.end_attempt("retried", Outcome.ERROR, 10.0)
    assert gate(replica, "retried", 1)  # the gate does let attempts pass


def test_the_gate_itself_keeps_the_cold_budget() -> None:
    replica = Replica(servers=4)
    replica.serve(200)
    replica.update_endpoints(Endpoint(9, started_at_ms=replica.now_ms))
    passed = 0
    for n in range(60):  # without any time passing
        replica.receive(f"c{n}")
        replica.end_attempt(f"c{n}", Outcome.CONNECT_FAILED, 0.0)
        passed += gate(replica, f"c{n}", 9)
    assert passed <= 4


def test_a_cold_server_takes_fewer_turns_than_its_budget_allows() -> None:
    replica = Replica(servers=4, overload_factor=50.0)
    replica.serve(200)
    replica.update_endpoints(Endpoint(9, started_at_ms=replica.now_ms))
    assert replica.serve(20).count(9) <= 2


def test_an_attempt_is_not_waited_for_much_longer_than_usual() -> None:
    """Attempts to lost servers must not wait for the whole deadline and fill the tier above."""
    replica = Replica(servers=4, tier=1, passes_deadline=False)
    (early,) = sends(replica.receive("early"))
    assert early.timeout_ms > 2000.0  # the usual delay is not known yet
    replica.end_attempt("early", Outcome.SUCCESS)
    replica.serve(100, delay_ms=50.0)
    (send,) = sends(replica.receive("lost"))
    assert 100.0 < send.timeout_ms < 600.0
    (other,) = sends(replica.receive("brief", ttl_ms=100.0))
    assert other.timeout_ms < 100.0


def test_an_attempt_is_not_given_up_before_its_retry_could_go_out() -> None:
    """A multiple of a tiny delay is less than the event loop's jitter, and the retry waits anyway."""
    replica = Replica()
    replica.serve(40, delay_ms=0.1)
    backoff_ms = min(MAX_BASE_BACKOFF_MS, BASE_BACKOFF_FRACTION * 1000.0)
    [first] = sends(replica.receive("a"))
    assert first.timeout_ms == pytest.approx(backoff_ms)
    [timer] = timers(replica.end_attempt("a", Outcome.TIMEOUT, first.timeout_ms))
    [second] = sends(replica.handle(TimerFired(timer.token), timer.delay_ms))
    assert second.timeout_ms == pytest.approx(2.0 * backoff_ms)


def test_a_time_out_has_waited_for_its_retry_already() -> None:
    """Otherwise a request that was lost on a dropped connection is retried only after its objective."""
    replica = Replica(servers=4)
    replica.serve(100)
    [first] = sends(replica.receive("a"))
    assert 0.0 < first.timeout_ms < 300.0  # a multiple of the usual 50
    [timer] = timers(replica.end_attempt("a", Outcome.TIMEOUT, first.timeout_ms))
    assert timer.delay_ms == 0.0
    [second] = sends(replica.handle(TimerFired(timer.token)))
    assert second.server_id != first.server_id and second.timeout_ms > 1.5 * first.timeout_ms
    [timer] = timers(replica.end_attempt("a", Outcome.ERROR, 1.0))
    assert timer.delay_ms > 0.0


def test_where_all_is_slow_a_first_attempt_is_not_cut_for_a_second_that_comes_too_late() -> None:
    """In a slow tier the second attempt meets the same delay, or the concurrency limit."""
    replica = Replica(servers=4)
    replica.serve(100, delay_ms=350.0)
    [first] = sends(replica.receive("a"))
    assert first.timeout_ms > 1.5 * 4.0 * 350.0


def test_calls_lost_on_dead_connections_leave_room_for_others(monkeypatch: pytest.MonkeyPatch) -> None:
    replica = Replica(servers=1)
    replica.serve(100)
    silent = [f"silent-{n}" for n in range(3)]
    for request_id in silent:
        assert sends(replica.receive(request_id, "non_idempotent"))
    replica.now_ms += 1.0
    replica.serve(1)
    limit = concurrency_limit(replica.balancer.controller, 1.0, replica.now_ms + 300.0)
    monkeypatch.setattr(admission, "concurrency_limit", lambda *_: 3.0)
    assert limit > 0.0 and not sends(replica.receive("queued", "non_idempotent"))
    replica.now_ms += 300.0
    assert sends(replica.receive("admitted", "non_idempotent"))


def test_a_fresh_copy_starts_with_a_few_calls_a_server_and_grows_with_answers() -> None:
    """A replica without a limit in its first second can choke a whole tier."""
    replica = Replica(servers=4)
    for n in range(100):
        replica.receive(f"a{n}")
    first = list(replica.sent_to)
    assert INITIAL_PER_SERVER * 4 * 0.8 <= len(first) <= INITIAL_PER_SERVER * 4
    for request_id in first[:10]:
        replica.end_attempt(request_id, Outcome.SUCCESS, 1.0)
    assert len(replica.sent_to) >= len(first) + 18  # each response admits two: in its own place, and one more


def test_a_copy_numbered_beyond_their_count_still_has_servers() -> None:
    replica = Replica(60, replicas=40, replica_index=57)
    assert replica.balancer.fleet.ready
    assert sends(replica.receive("a"))


def test_rule_5_further_attempts_stay_within_the_stated_budget() -> None:
    """Requests that leave the window take their part of the budget along."""
    replica = Replica(8, retry_budget_ratio=0.1, retry_budget_floor=2.0, retry_budget_window_ms=5000.0)

    def passed_retries(count: int) -> int:
        """Receive requests whose first attempts fail; how many retries pass the gate."""
        retries = 0
        for n in range(count):
            request_id = f"{replica.now_ms}-{n}"
            replica.receive(request_id)
            replica.end_attempt(request_id, Outcome.CONNECT_FAILED, 0.0)
            retries += gate(replica, request_id, n % 8)
        return retries

    assert passed_retries(9) == 2
    assert passed_retries(1) == 1  # the tenth request earns one
    replica.now_ms += 4990.0
    assert passed_retries(1) == 0  # within the window, whatever else is in it
    replica.now_ms += 20.0
    assert passed_retries(8) == 2  # the first have left the window, and nine requests earn none


def test_without_a_stated_budget_further_attempts_are_not_counted() -> None:
    replica = Replica(8)
    for n in range(20):
        replica.receive(f"{n}")
        replica.end_attempt(f"{n}", Outcome.CONNECT_FAILED, 0.0)
        assert gate(replica, f"{n}", 1)


def test_rule_6_full_is_no_proof_where_so_stated() -> None:
    replica = Replica(rejected_may_have_run=True)
    replica.receive("a", "non_idempotent")
    assert answers(replica.end_attempt("a", Outcome.REJECTED)) == [FailRequest("a")]
    replica.receive("b", "keyed")
    replica.end_attempt("b", Outcome.REJECTED, 10.0)
    assert not gate(replica, "b", 1 - replica.sent_to["b"][0] % 2)  # it stays in its deduplication group
    replica.receive("c", "non_idempotent")
    assert timers(replica.end_attempt("c", Outcome.CONNECT_FAILED))  # that still proves that it never ran


def test_the_loop_sheds_first_sends_while_the_delay_is_over_the_target() -> None:
    """Otherwise servers with too many requests fail one after another, and stay overloaded."""
    replica = Replica(servers=4)
    replica.serve(100, delay_ms=50.0)
    assert replica.balancer.controller.shed_fraction(replica.now_ms) == 0.0
    for n in range(30):
        replica.receive(f"slow{n}", "non_idempotent")
        if replica.sent_to.get(f"slow{n}"):
            replica.end_attempt(f"slow{n}", Outcome.SUCCESS, 900.0)
    assert replica.balancer.controller.shed_fraction(replica.now_ms) > 0.3
    admitted = sum(bool(sends(replica.receive(f"low{n}"))) for n in range(100))
    assert admitted < 70  # the class of the lowest priority is shed first
    deeper = Replica(servers=4, tier=1)
    deeper.balancer.controller._shed_fraction = 0.8
    deeper.balancer.controller._sampled_at_ms = deeper.now_ms
    assert sends(deeper.receive("a"))  # behind the first tier a rejection wastes the work done before


def test_a_refusal_is_a_delay_sample_of_one_aim() -> None:
    """Rejections come fast; taken as short delays they would leave all retries allowed."""
    replica = Replica(servers=4)
    replica.serve(100, delay_ms=50.0)
    for n in range(20):
        replica.receive(f"f{n}", "non_idempotent")
        if replica.sent_to.get(f"f{n}"):
            replica.end_attempt(f"f{n}", Outcome.REJECTED, 5.0)
    assert replica.balancer.controller.shed_fraction(replica.now_ms) > 0.0


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


def test_answers_that_nobody_waits_for_any_more_still_teach() -> None:
    """Clients that disconnect early abandon slow requests: without these, delay and rate come out low."""
    replica = Replica(servers=2)
    replica.serve(20)
    share, answers = (
        replica.balancer.typical_delay.objective_ratio,
        replica.balancer.controller.response_rate.events,
    )
    replica.receive("abandoned")
    replica.handle(RequestAbandoned("abandoned"), 10.0)
    replica.end_attempt("abandoned", Outcome.SUCCESS, 800.0, request_finished=True)
    assert replica.balancer.typical_delay.objective_ratio > 1.2 * share
    assert replica.balancer.controller.response_rate.events > 0.8 * answers + 0.9
    replica.receive("abandoned late")
    replica.handle(RequestAbandoned("abandoned late"), 10.0)
    replica.end_attempt("abandoned late", Outcome.TIMEOUT, 2850.0, request_finished=True)
    assert replica.balancer.fleet.servers[replica.sent_to["abandoned late"][0]].relative_latency > 2.0


def test_what_was_sent_before_a_server_came_back_to_the_list_is_not_counted_twice() -> None:
    replica = Replica(servers=1)
    replica.receive("before")
    replica.replace_endpoints([])
    replica.replace_endpoints(endpoints([0]))
    replica.receive("after")
    server = replica.balancer.fleet.servers[0]
    assert server.in_flight == 1
    replica.end_attempt("before", Outcome.SUCCESS)
    assert server.in_flight == 1 and replica.balancer.in_flight == 1
    replica.end_attempt("after", Outcome.SUCCESS)
    assert server.in_flight == replica.balancer.in_flight == 0


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


def test_a_refusal_wherever_a_repeat_is_harmless() -> None:
    """A failure does not tell the client that a retry is harmless."""
    for class_name, outcome, answer_type in (
        ("idempotent", Outcome.ERROR, RejectRequest),
        ("keyed_all", Outcome.ERROR, RejectRequest),
        ("non_idempotent", Outcome.CONNECT_FAILED, RejectRequest),
        ("keyed", Outcome.ERROR, FailRequest),
        ("non_idempotent", Outcome.ERROR, FailRequest),
    ):
        replica = Replica(max_attempts=1)
        replica.receive("a", class_name)
        [answer] = answers(replica.end_attempt("a", outcome))
        assert isinstance(answer, answer_type)


@pytest.mark.parametrize("max_retry_after_ms", [0.0, 250.0, 1000.0])
def test_a_refusal_advises_the_longest_that_callers_follow(max_retry_after_ms: float) -> None:
    # With the short wait of an own retry as advice, clients come back to an overloaded tier at once.
    replica = Replica(max_attempts=1, max_retry_after_ms=max_retry_after_ms)
    replica.receive("a")
    [answer] = answers(replica.end_attempt("a", Outcome.ERROR))
    assert isinstance(answer, RejectRequest) and answer.retry_after_ms == max_retry_after_ms


def test_idle_connections_are_closed_after_two_losses_on_such() -> None:
    """Connections that were dropped while idle answer nothing, at all servers alike."""
    replica = Replica(servers=4, tier=1)
    replica.serve(40)

    def idle_send(request_id: str) -> list[PolicyAction]:
        replica.now_ms += 3000.0
        return replica.receive(request_id)

    for n in range(2):
        assert not [a for a in idle_send(f"l{n}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"l{n}", Outcome.TIMEOUT, 500.0)
    actions = idle_send("later")
    assert isinstance(actions[0], CloseIdleConnections) and isinstance(actions[1], SendAttempt)
    assert actions[0].server_id == actions[1].server_id


def test_one_loss_on_an_idle_connection_closes_nothing() -> None:
    """Otherwise each timeout causes new connections, which cost servers work."""
    replica = Replica(servers=1, tier=1)
    replica.serve(10)
    for n, outcome in enumerate([Outcome.TIMEOUT, Outcome.SUCCESS, Outcome.TIMEOUT, Outcome.SUCCESS]):
        replica.now_ms += 3000.0 + 1000.0 * n
        assert not [a for a in replica.receive(f"{n}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"{n}", outcome, 500.0)


def test_losses_on_connections_in_use_lately_close_nothing() -> None:
    """A timeout after a short idle time shows a slow request, not a dropped connection."""
    replica = Replica(servers=4, keepalive_ms=60_000.0)
    replica.serve(40)
    for n in range(4):
        replica.now_ms += 200.0
        assert not [a for a in replica.receive(f"l{n}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"l{n}", Outcome.TIMEOUT, 500.0)


def test_a_reset_at_once_on_an_idled_connection_closes_such_before_use() -> None:
    """Some of the connections may be closed after a short idle time, and each costs a request an attempt."""
    replica = Replica(servers=1)
    replica.serve(40)
    for n, outcome in enumerate([Outcome.RESET, Outcome.SUCCESS, Outcome.SUCCESS, Outcome.RESET]):
        replica.now_ms += 300.0
        assert not [a for a in replica.receive(f"{n}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"{n}", outcome, 0.5)
    replica.now_ms += 300.0
    actions = replica.receive("a")
    assert isinstance(actions[0], CloseIdleConnections) and isinstance(actions[1], SendAttempt)


def test_a_reset_of_a_call_in_work_says_nothing_of_idling() -> None:
    replica = Replica(servers=1)
    replica.serve(40)
    for n in range(4):
        replica.now_ms += 300.0
        assert not [a for a in replica.receive(f"{n}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"{n}", Outcome.RESET, 30.0)


def test_a_hot_copy_takes_no_more_slices_than_there_are() -> None:
    """The slices must not double without end, as the subset is computed anew each time."""
    settings = Settings([RequestClass("read", 1000.0, 3000.0)], replicas=20, tier=1, tiers=2)
    balancer = Balancer(settings, 1)
    balancer.handle(EndpointUpdate(UpdateKind.COMPLETE, 1, [Endpoint(n) for n in range(4)]), 0.0)
    for n in range(200):
        balancer.handle(RequestReceived(f"{n}", "read", 3000.0), float(n))
    assert balancer.in_flight == 200
    assert 20 <= balancer.fleet.slice_count < 40


def test_no_further_attempt_where_its_answer_can_not_come_any_more() -> None:
    # An attempt in the last of the time left, after a timeout that used up the rest, is wasted work.
    replica = Replica()
    replica.serve(60, delay_ms=100.0)
    replica.receive("a", ttl_ms=300.0)
    actions = replica.end_attempt("a", Outcome.TIMEOUT, 285.0)
    assert not timers(actions) and len(answers(actions)) == 1
    replica.receive("b", ttl_ms=600.0)  # with time left for it, a retry is still sent
    assert timers(replica.end_attempt("b", Outcome.ERROR, 10.0))


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


def test_a_first_retry_waits_little_of_the_aim() -> None:
    """The waits of all tiers add up, and occupy the tiers above."""
    waits = []
    for salt in range(50):
        replica = Replica(salt=salt)
        replica.receive("a")
        [timer] = timers(replica.end_attempt("a", Outcome.RESET, 1.0))
        waits.append(timer.delay_ms)
    assert max(waits) <= 0.1 * 1000.0


@pytest.mark.parametrize(("late_fraction", "is_retried"), [(0.0, False), (0.5, True)])
def test_no_further_attempt_whose_answer_could_only_be_worthless(
    late_fraction: float, is_retried: bool
) -> None:
    # The client waits for 3 s, but an answer after the objective of 1 s has no value if late_fraction is 0.
    request_class = RequestClass(
        "read", 1000.0, 3000.0, late_fraction=late_fraction, idempotency=Idempotency.IDEMPOTENT
    )
    replica = Replica(classes=[request_class])
    replica.serve(60, "read", delay_ms=100.0)
    replica.receive("a", "read")
    actions = replica.end_attempt("a", Outcome.ERROR, 950.0)
    assert bool(timers(actions)) is is_retried and bool(answers(actions)) is not is_retried


@pytest.mark.parametrize(("tier", "is_early"), [(0, True), (2, False)])
def test_a_first_attempt_is_cut_early_only_by_its_tiers_part_of_the_aim(tier: int, is_early: bool) -> None:
    """The objective is that of the whole chain: a late tier that uses all of it does its work twice."""
    replica = Replica(servers=4, tier=tier, tiers=3)
    replica.serve(100, delay_ms=120.0)
    [send] = sends(replica.receive("a"))
    assert (send.timeout_ms < 5.0 * 120.0) is is_early
