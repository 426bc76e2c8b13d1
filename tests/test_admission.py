"""Load shedding, the concurrency limit and the queue in front of it."""

from __future__ import annotations

import pytest

from tests.helpers import Replica, answers, sends, timers
from workspond.policy import admission
from workspond.policy.actions import SendAttempt, SetTimer
from workspond.policy.concurrency_limit import INITIAL_LIMIT_PER_SERVER, concurrency_limit
from workspond.policy.events import Outcome, RequestAbandoned, TimerFired
from workspond.policy.settings import Tenant


def test_burst_at_first_tier_is_queued_and_rejected_when_its_queue_timers_fire() -> None:
    # Without the limit, servers would be busy with requests that their clients have abandoned.
    replica = Replica(servers=2)
    replica.serve(200)
    for number in range(300):
        replica.receive(f"burst-{number}")
    in_flight = sum(s.in_flight for s in replica.balancer.fleet.subset_servers)
    assert in_flight < 100
    queue_timers = [a for _, a in replica.actions if isinstance(a, SetTimer)]
    assert len(queue_timers) >= 200
    rejected = 0
    for timer in queue_timers:
        rejected += len(answers(replica.handle(TimerFired(timer.token))))
    assert rejected >= 200


def test_queued_request_is_not_sent_after_its_client_disconnects() -> None:
    replica = Replica(servers=2, replicas=1)
    replica.serve(30)
    for number in range(60):
        replica.receive(f"burst-{number}")
    queued = [request_id for request_id in replica.balancer._calls if request_id not in replica.sent_to]
    assert queued
    for request_id in queued:
        replica.handle(RequestAbandoned(request_id))
    for request_id in [request_id for request_id in replica.sent_to if request_id.startswith("burst")]:
        replica.end_attempt(request_id, Outcome.SUCCESS)
    assert not replica.sent_to.keys() & set(queued)


def test_later_tiers_have_no_concurrency_limit() -> None:
    replica = Replica(servers=2, tier=1)
    replica.serve(200)
    for number in range(300):
        replica.receive(f"burst-{number}")
    assert sum(s.in_flight for s in replica.balancer.fleet.subset_servers) == 300


def fill_to_limit(replica: Replica) -> int:
    """Receive requests of low priority until one is queued, and return how many were sent."""
    sent_count = 0
    while not timers(replica.receive(f"fill{sent_count}")):
        sent_count += 1
    return sent_count


def test_queued_requests_of_highest_priority_are_sent_first() -> None:
    replica = Replica(servers=2)
    replica.serve(200)
    fill_to_limit(replica)
    # The rest of the limit is reserved for the class of highest priority, so it has to be used up too.
    preferred_count = 0
    while sends(replica.receive(f"preferred{preferred_count}", "non_idempotent")):
        preferred_count += 1
    sent = [send for k in range(5) for send in sends(replica.end_attempt(f"fill{k}", Outcome.SUCCESS, 1.0))]
    assert sent[0].request_id == f"preferred{preferred_count}"


def test_slow_class_of_twice_the_weight_is_sent_after_fast_class() -> None:
    """Priority is value per time: twice the weight does not outweigh a far longer delay."""
    replica = Replica(servers=2)
    replica.serve(200)
    replica.serve(200, "keyed_all", delay_ms=400.0)
    sent_count = fill_to_limit(replica)
    queued_fast_id = f"fill{sent_count}"
    replica.receive("slow", "keyed_all")
    sent: list[SendAttempt] = []
    for number in range(sent_count):
        sent += sends(replica.end_attempt(f"fill{number}", Outcome.SUCCESS, 1.0))
    sent_queued_ids = [send.request_id for send in sent if send.request_id in (queued_fast_id, "slow")]
    assert sent_queued_ids[0] == queued_fast_id


def test_worst_served_class_is_sent_first_only_with_a_worst_class_weight() -> None:
    """A strict order by priority weight would starve the class of the lower weight."""

    def first_released(worst_class_weight: float) -> str:
        replica = Replica(servers=2, worst_class_weight=worst_class_weight)
        replica.serve(100)
        replica.serve(100, "keyed_all")
        for number in range(20):
            replica.receive(f"failed-{number}")
            replica.end_attempt(f"failed-{number}", Outcome.ERROR, 1.0, request_finished=False)
            replica.handle(TimerFired(replica.balancer._timers.last_token), 3000.0)
        sent_count = fill_to_limit(replica)
        replica.receive("preferred", "keyed_all")
        for number in range(sent_count):
            sent = sends(replica.end_attempt(f"fill{number}", Outcome.SUCCESS, 1.0))
            if sent:
                return sent[0].request_id
        raise AssertionError("no queued request was sent")

    assert first_released(0.0) == "preferred"
    assert first_released(2.0).startswith("fill")


def test_last_part_of_the_limit_is_reserved_for_the_class_of_highest_priority() -> None:
    """Without the reserve, requests of this class would be rejected while others are admitted."""
    replica = Replica(servers=2)
    replica.serve(200)
    replica.serve(200, "non_idempotent")
    sent_count = fill_to_limit(replica)
    assert sends(replica.receive("preferred", "non_idempotent"))
    limit = concurrency_limit(replica.balancer.retry_controller, 2.0, replica.now_ms)
    assert sent_count < limit <= sent_count + 3


def test_queued_requests_over_quota_are_sent_last() -> None:
    tenants = [Tenant("x", 0.5, 5.0), Tenant("y", 0.5, 5.0)]
    replica = Replica(servers=2, tenants=tenants, over_quota_value_fraction=0.05)
    replica.serve(200)
    sent_count = 0
    while not timers(replica.receive(f"fill{sent_count}", tenant="x")):
        sent_count += 1
    for number in range(5):
        replica.receive(f"over-quota-{number}", tenant="x")
    replica.receive("within quota", tenant="y")
    sent: list[SendAttempt] = []
    for number in range(sent_count):
        sent += sends(replica.end_attempt(f"fill{number}", Outcome.SUCCESS, 1.0))
        if sent:
            break
    assert sent[0].request_id == "within quota"


def test_stalled_attempts_do_not_count_towards_the_concurrency_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Attempts on dropped connections get no answer and put no load on a server."""
    replica = Replica(servers=1)
    replica.serve(100)
    stalled = [f"stalled-{n}" for n in range(3)]
    for request_id in stalled:
        assert sends(replica.receive(request_id, "non_idempotent"))
    replica.now_ms += 1.0
    replica.serve(1)
    limit = concurrency_limit(replica.balancer.retry_controller, 1.0, replica.now_ms + 300.0)
    monkeypatch.setattr(admission, "concurrency_limit", lambda *_: 3.0)
    assert limit > 0.0 and not sends(replica.receive("queued", "non_idempotent"))
    replica.now_ms += 300.0
    assert sends(replica.receive("admitted", "non_idempotent"))


def test_new_replica_starts_with_a_limit_that_grows_with_each_response() -> None:
    """Without a limit in its first second, a replica can overload a whole tier."""
    replica = Replica(servers=4)
    for number in range(100):
        replica.receive(f"burst-{number}")
    sent_at_first = list(replica.sent_to)
    assert INITIAL_LIMIT_PER_SERVER * 4 * 0.8 <= len(sent_at_first) <= INITIAL_LIMIT_PER_SERVER * 4
    for request_id in sent_at_first[:10]:
        replica.end_attempt(request_id, Outcome.SUCCESS, 1.0)
    # Each response admits two requests: one in its own place, and one as the limit grows.
    assert len(replica.sent_to) >= len(sent_at_first) + 18


def test_new_requests_are_shed_while_the_delay_is_over_the_target() -> None:
    """Without shedding, overloaded servers fail one after another and stay overloaded."""
    replica = Replica(servers=4)
    replica.serve(100, delay_ms=50.0)
    assert replica.balancer.retry_controller.shed_fraction(replica.now_ms) == 0.0
    for number in range(30):
        replica.receive(f"slow-{number}", "non_idempotent")
        if replica.sent_to.get(f"slow-{number}"):
            replica.end_attempt(f"slow-{number}", Outcome.SUCCESS, 900.0)
    assert replica.balancer.retry_controller.shed_fraction(replica.now_ms) > 0.3
    admitted = sum(bool(sends(replica.receive(f"low{n}"))) for n in range(100))
    assert admitted < 70  # the class of the lowest priority is shed first
    later_tier = Replica(servers=4, tier=1)
    later_tier.balancer.retry_controller._shed_fraction = 0.8
    later_tier.balancer.retry_controller._sampled_at_ms = later_tier.now_ms
    # In a later tier, a rejection would waste the work already done in the earlier tiers.
    assert sends(later_tier.receive("a"))


def test_rejection_counts_as_a_delay_of_the_whole_objective() -> None:
    """Rejections arrive fast. If they counted as short delays, all retries would stay allowed."""
    replica = Replica(servers=4)
    replica.serve(100, delay_ms=50.0)
    for number in range(20):
        replica.receive(f"rejected-{number}", "non_idempotent")
        if replica.sent_to.get(f"rejected-{number}"):
            replica.end_attempt(f"rejected-{number}", Outcome.REJECTED, 5.0)
    assert replica.balancer.retry_controller.shed_fraction(replica.now_ms) > 0.0


def test_replica_with_connection_failures_only_keeps_sending() -> None:
    # Connection failures are not delay samples, so the limit must work without any sample.
    replica = Replica()
    for number in range(40):
        replica.receive(f"failed-{number}")
        replica.end_attempt(f"failed-{number}", Outcome.CONNECT_FAILED, 100.0)
    assert (
        concurrency_limit(replica.balancer.retry_controller, 4.0, replica.now_ms)
        == INITIAL_LIMIT_PER_SERVER * 4.0
    )
    assert sends(replica.receive("later"))
