"""Load shedding, the concurrency limit and the queue in front of it."""

from __future__ import annotations

import pytest

from tests.helpers import Replica, answers, sends, timers
from workspond.policy import admission
from workspond.policy.actions import SendAttempt, SetTimer
from workspond.policy.concurrency_limit import INITIAL_PER_SERVER, concurrency_limit
from workspond.policy.events import Outcome, RequestAbandoned, TimerFired
from workspond.policy.settings import Tenant


def test_a_burst_is_held_at_the_clients_tier_and_refused_in_time() -> None:
    # Otherwise work that clients have abandoned fills the servers.
    replica = Replica(servers=2)
    replica.serve(200)
    for n in range(300):
        replica.receive(f"b{n}")
    in_flight = sum(s.in_flight for s in replica.balancer.fleet.subset_servers)
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
    assert sum(s.in_flight for s in replica.balancer.fleet.subset_servers) == 300


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
    replica = Replica(servers=2, tenants=tenants, over_quota_value_fraction=0.05)
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


def test_a_copy_that_sees_only_failures_goes_on() -> None:
    # There is no delay sample yet, after a second of failures.
    replica = Replica()
    for n in range(40):
        replica.receive(f"f{n}")
        replica.end_attempt(f"f{n}", Outcome.CONNECT_FAILED, 100.0)
    assert concurrency_limit(replica.balancer.controller, 4.0, replica.now_ms) == INITIAL_PER_SERVER * 4.0
    assert sends(replica.receive("later"))
