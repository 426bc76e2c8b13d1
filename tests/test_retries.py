"""When requests are retried, and the timeouts of their attempts."""

from __future__ import annotations

import pytest

from tests.helpers import Replica, answers, sends, timers
from workspond.policy.events import Outcome, TimerFired
from workspond.policy.retry_policy import BASE_BACKOFF_FRACTION, MAX_BASE_BACKOFF_MS
from workspond.policy.settings import Idempotency, RequestClass


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


def test_no_further_attempt_where_its_answer_can_not_come_any_more() -> None:
    # An attempt in the last of the time left, after a timeout that used up the rest, is wasted work.
    replica = Replica()
    replica.serve(60, delay_ms=100.0)
    replica.receive("a", ttl_ms=300.0)
    actions = replica.end_attempt("a", Outcome.TIMEOUT, 285.0)
    assert not timers(actions) and len(answers(actions)) == 1
    replica.receive("b", ttl_ms=600.0)  # with time left for it, a retry is still sent
    assert timers(replica.end_attempt("b", Outcome.ERROR, 10.0))


def test_a_first_retry_waits_little_of_the_aim() -> None:
    """The waits of all tiers add up, and occupy the tiers above."""
    waits = []
    for salt in range(50):
        replica = Replica(salt=salt)
        replica.receive("a")
        [timer] = timers(replica.end_attempt("a", Outcome.RESET, 1.0))
        waits.append(timer.delay_ms)
    assert max(waits) <= 0.1 * 1000.0


@pytest.mark.parametrize(("late_value_fraction", "is_retried"), [(0.0, False), (0.5, True)])
def test_no_further_attempt_whose_answer_could_only_be_worthless(
    late_value_fraction: float, is_retried: bool
) -> None:
    # The client waits for 3 s, but with a late_value_fraction of 0 an answer after 1 s (the objective) is
    # worthless.
    request_class = RequestClass(
        "read", 1000.0, 3000.0, late_value_fraction=late_value_fraction, idempotency=Idempotency.IDEMPOTENT
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
