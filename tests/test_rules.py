"""The operating rules, each in small cases; see the table of rules in docs/glossary.md."""

from __future__ import annotations

from tests.helpers import Replica, answers, endpoints, passes_gate, sends, timers
from workspond.policy.actions import FailRequest, RejectRequest
from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.events import Outcome, RequestAbandoned, TimerFired


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


def test_rule_4_a_cold_server_gets_its_part_only() -> None:
    replica = Replica(servers=4)
    replica.serve(200)
    replica.update_endpoints(Endpoint(9, started_at_ms=replica.now_ms))
    picked = replica.serve(100)  # 6 seconds, most of the ramp
    assert 0 < picked.count(9) < 100 / 5


def test_a_pinned_repeat_may_leave_the_copys_part_but_not_the_group() -> None:
    replica = Replica(40, replicas=40)
    own = {server.id for server in replica.balancer.fleet.subset_servers}
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


def test_the_gate_itself_keeps_rules_1_and_2() -> None:
    replica = Replica(servers=4)
    replica.receive("in flight", "idempotent")
    assert not passes_gate(replica, "in flight", 1)  # an attempt is in flight
    replica.receive("late", "idempotent", 400.0)
    replica.end_attempt("late", Outcome.ERROR, 100.0)
    replica.now_ms += 298.0
    assert not passes_gate(replica, "late", 1)  # no time left
    replica.receive("keyed", "keyed")
    replica.end_attempt("keyed", Outcome.ERROR, 10.0)
    other = 1 - replica.sent_to["keyed"][0] % 2
    assert not passes_gate(replica, "keyed", other)  # another group
    replica.now_ms += 1995.0
    assert not passes_gate(replica, "keyed", 1 - other)  # the deduplication window is over
    replica.receive("retried", "idempotent")
    replica.end_attempt("retried", Outcome.ERROR, 10.0)
    assert passes_gate(replica, "retried", 1)  # the gate does let attempts pass


def test_the_gate_itself_keeps_the_cold_budget() -> None:
    replica = Replica(servers=4)
    replica.serve(200)
    replica.update_endpoints(Endpoint(9, started_at_ms=replica.now_ms))
    passed = 0
    for n in range(60):  # without any time passing
        replica.receive(f"c{n}")
        replica.end_attempt(f"c{n}", Outcome.CONNECT_FAILED, 0.0)
        passed += passes_gate(replica, f"c{n}", 9)
    assert passed <= 4


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
            retries += passes_gate(replica, request_id, n % 8)
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
        assert passes_gate(replica, f"{n}", 1)


def test_rule_6_full_is_no_proof_where_so_stated() -> None:
    replica = Replica(rejected_may_have_run=True)
    replica.receive("a", "non_idempotent")
    assert answers(replica.end_attempt("a", Outcome.REJECTED)) == [FailRequest("a")]
    replica.receive("b", "keyed")
    replica.end_attempt("b", Outcome.REJECTED, 10.0)
    assert not passes_gate(replica, "b", 1 - replica.sent_to["b"][0] % 2)  # another group
    replica.receive("c", "non_idempotent")
    assert timers(replica.end_attempt("c", Outcome.CONNECT_FAILED))  # that still proves that it never ran


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
