"""The operating rules, each tested in small cases; docs/glossary.md has a table of the rules."""

from __future__ import annotations

from tests.helpers import Replica, answers, endpoints, sends, timers, try_send
from workspond.policy.actions import FailRequest, RejectRequest
from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.events import Outcome, RequestAbandoned, TimerFired


def test_rule_1_timeout_at_the_deadline_is_answered_once() -> None:
    replica = Replica()
    replica.receive("a", "non_idempotent", 800.0)
    assert len(answers(replica.end_attempt("a", Outcome.TIMEOUT, 800.0))) == 1
    assert replica.handle(RequestAbandoned("a")) == []


def test_rule_1_request_without_servers_is_rejected_before_its_deadline() -> None:
    replica = Replica(servers=0)
    actions = replica.receive("a", ttl_ms=900.0)
    received_at_ms = replica.now_ms
    while not answers(actions):
        [timer] = timers(actions)
        actions = replica.handle(TimerFired(timer.token), timer.delay_ms)
    assert isinstance(answers(actions)[0], RejectRequest)
    assert replica.now_ms - received_at_ms < 900.0


def test_rule_1_request_of_a_disconnected_client_is_not_sent() -> None:
    replica = Replica()
    replica.receive("a")
    [timer] = timers(replica.end_attempt("a", Outcome.ERROR))
    replica.handle(RequestAbandoned("a"))
    assert replica.handle(TimerFired(timer.token), timer.delay_ms) == []


def test_rule_2_non_idempotent_request_that_may_have_run_is_not_retried() -> None:
    for outcome in (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
        replica = Replica()
        replica.receive("a", "non_idempotent")
        assert answers(replica.end_attempt("a", outcome)) == [FailRequest("a")]


def test_rule_2_non_idempotent_request_that_never_ran_is_retried() -> None:
    replica = Replica()
    replica.receive("a", "non_idempotent")
    [timer] = timers(replica.end_attempt("a", Outcome.REJECTED))
    assert sends(replica.handle(TimerFired(timer.token), timer.delay_ms))


def test_rule_2_keyed_request_is_retried_in_its_deduplication_group() -> None:
    for salt in range(20):
        replica = Replica(servers=8, salt=salt)
        replica.receive("a", "keyed")
        [timer] = timers(replica.end_attempt("a", Outcome.ERROR))
        [send] = sends(replica.handle(TimerFired(timer.token), timer.delay_ms))
        assert send.server_id % 2 == replica.sent_to["a"][0] % 2


def test_rule_2_keyed_request_is_not_retried_after_its_deduplication_window() -> None:
    replica = Replica()
    replica.receive("a", "keyed", ttl_ms=3000.0)
    actions = replica.end_attempt("a", Outcome.TIMEOUT, 1990.0)
    assert answers(actions) == [FailRequest("a")] and not timers(actions)


def test_rule_3_draining_server_gets_no_attempts() -> None:
    replica = Replica(servers=2)
    replica.update_endpoints(Endpoint(0, state=EndpointState.DRAINING))
    assert set(replica.serve(10)) == {1}


def test_rule_3_server_missing_from_a_complete_list_gets_no_attempts() -> None:
    replica = Replica(servers=2)
    replica.replace_endpoints(endpoints([1]), 2)
    assert set(replica.serve(10)) == {1}


def test_rule_3_incremental_update_keeps_the_other_servers() -> None:
    replica = Replica(servers=2)
    replica.update_endpoints(Endpoint(7))
    assert set(replica.serve(30)) == {0, 1, 7}


def test_rule_4_server_that_is_warming_up_gets_a_reduced_share() -> None:
    replica = Replica(servers=4)
    replica.serve(200)
    replica.update_endpoints(Endpoint(9, started_at_ms=replica.now_ms))
    picked = replica.serve(100)  # takes 6 seconds, most of the ramp time
    assert 0 < picked.count(9) < 100 / 5


def test_keyed_retry_may_leave_the_subset_but_not_the_deduplication_group() -> None:
    replica = Replica(40, replicas=40)
    subset = {server.id for server in replica.balancer.fleet.subset_servers}
    replica.receive("k", "keyed")
    (first,) = replica.sent_to["k"]
    replica.replace_endpoints(
        endpoints(n for n in range(40) if n == first or n % 2 != first % 2 or n not in subset)
    )
    replica.update_endpoints(*endpoints([first], state=EndpointState.REMOVED))
    (timer,) = timers(replica.end_attempt("k", Outcome.ERROR))
    replica.handle(TimerFired(timer.token), timer.delay_ms)
    second = replica.sent_to["k"][1]
    assert second not in subset
    assert second % 2 == first % 2


def test_send_gate_alone_enforces_rules_1_and_2() -> None:
    replica = Replica(servers=4)
    replica.receive("in flight", "idempotent")
    assert not try_send(replica, "in flight", 1)  # an attempt is in flight
    replica.receive("late", "idempotent", 400.0)
    replica.end_attempt("late", Outcome.ERROR, 100.0)
    replica.now_ms += 298.0
    assert not try_send(replica, "late", 1)  # no time left
    replica.receive("keyed", "keyed")
    replica.end_attempt("keyed", Outcome.ERROR, 10.0)
    other_group = 1 - replica.sent_to["keyed"][0] % 2  # also the id of a server of that group
    assert not try_send(replica, "keyed", other_group)
    replica.now_ms += 1995.0
    assert not try_send(replica, "keyed", 1 - other_group)  # the deduplication window is over
    replica.receive("retried", "idempotent")
    replica.end_attempt("retried", Outcome.ERROR, 10.0)
    assert try_send(replica, "retried", 1)  # allowed by all rules


def test_send_gate_alone_enforces_the_slow_start_budget() -> None:
    replica = Replica(servers=4)
    replica.serve(200)
    replica.update_endpoints(Endpoint(9, started_at_ms=replica.now_ms))
    sent = 0
    for number in range(60):  # no time passes, so the budget is not refilled
        replica.receive(f"failed-{number}")
        replica.end_attempt(f"failed-{number}", Outcome.CONNECT_FAILED, 0.0)
        sent += try_send(replica, f"failed-{number}", 9)
    assert sent <= 4


def test_rule_5_retries_stay_within_the_retry_budget() -> None:
    """Requests that leave the window no longer count towards the budget."""
    replica = Replica(8, retry_budget_ratio=0.1, retry_budget_floor=2.0, retry_budget_window_ms=5000.0)

    def count_allowed_retries(count: int) -> int:
        """Receive requests whose first attempts fail, and return how many of them the gate lets retry."""
        retries = 0
        for number in range(count):
            request_id = f"{replica.now_ms}-{number}"
            replica.receive(request_id)
            replica.end_attempt(request_id, Outcome.CONNECT_FAILED, 0.0)
            retries += try_send(replica, request_id, number % 8)
        return retries

    assert count_allowed_retries(9) == 2  # the floor of the budget
    assert count_allowed_retries(1) == 1  # the tenth request adds one retry to the budget
    replica.now_ms += 4990.0
    assert count_allowed_retries(1) == 0  # the earlier retries are still in the window
    replica.now_ms += 20.0
    # The first ten requests and their retries have left the window. The nine requests in it add no retry.
    assert count_allowed_retries(8) == 2


def test_retries_are_not_limited_if_there_is_no_retry_budget() -> None:
    replica = Replica(8)
    for number in range(20):
        replica.receive(f"{number}")
        replica.end_attempt(f"{number}", Outcome.CONNECT_FAILED, 0.0)
        assert try_send(replica, f"{number}", 1)


def test_rule_6_rejected_request_may_have_run_if_the_settings_say_so() -> None:
    replica = Replica(rejected_may_have_run=True)
    replica.receive("a", "non_idempotent")
    assert answers(replica.end_attempt("a", Outcome.REJECTED)) == [FailRequest("a")]
    replica.receive("b", "keyed")
    replica.end_attempt("b", Outcome.REJECTED, 10.0)
    assert not try_send(replica, "b", 1 - replica.sent_to["b"][0] % 2)  # a server of the other group
    replica.receive("c", "non_idempotent")
    assert timers(replica.end_attempt("c", Outcome.CONNECT_FAILED))  # this request has certainly not run


def test_request_is_rejected_if_a_client_retry_is_harmless_and_failed_if_not() -> None:
    """A rejection tells the client that it may safely retry; a failure does not."""
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
