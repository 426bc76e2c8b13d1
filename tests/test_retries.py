"""Retries of requests, their backoff, and the timeouts of attempts."""

from __future__ import annotations

import pytest

from tests.helpers import Replica, answers, sends, timers
from workspond.policy.events import Outcome, TimerFired
from workspond.policy.retry_policy import BASE_BACKOFF_FRACTION, MAX_BASE_BACKOFF_MS
from workspond.policy.settings import Idempotency, RequestClass


def test_failed_attempt_is_retried_on_another_server_after_a_backoff() -> None:
    replica = Replica()
    replica.receive("a")
    [timer] = timers(replica.end_attempt("a", Outcome.ERROR))
    assert timer.delay_ms > 0
    [send] = sends(replica.handle(TimerFired(timer.token), timer.delay_ms))
    assert send.server_id != replica.sent_to["a"][0]


def test_backoff_doubles_and_has_jitter() -> None:
    # Without jitter, all replicas would retry at the same time after a common stall.
    first_delays_ms, second_delays_ms = [], []
    for salt in range(200):
        replica = Replica(salt=salt)
        replica.receive("a", ttl_ms=30_000.0)
        [first] = timers(replica.end_attempt("a", Outcome.ERROR))
        replica.handle(TimerFired(first.token), first.delay_ms)
        [second] = timers(replica.end_attempt("a", Outcome.ERROR))
        first_delays_ms.append(first.delay_ms)
        second_delays_ms.append(second.delay_ms)
    assert sum(second_delays_ms) == pytest.approx(2.0 * sum(first_delays_ms), rel=0.1)
    assert max(first_delays_ms) > 2.0 * min(first_delays_ms)


def test_attempt_times_out_after_a_multiple_of_the_typical_delay() -> None:
    """Attempts to unreachable servers must not wait until the deadline and occupy the previous tier."""
    replica = Replica(servers=4, tier=1, passes_deadline=False)
    (early,) = sends(replica.receive("early"))
    assert early.timeout_ms > 2000.0  # the typical delay is not known yet
    replica.end_attempt("early", Outcome.SUCCESS)
    replica.serve(100, delay_ms=50.0)
    (send,) = sends(replica.receive("lost"))
    assert 100.0 < send.timeout_ms < 600.0
    (short_ttl,) = sends(replica.receive("short ttl", ttl_ms=100.0))
    assert short_ttl.timeout_ms < 100.0


def test_timeout_is_at_least_the_backoff() -> None:
    """A multiple of a tiny delay is below the event loop's jitter, and the retry waits for its backoff."""
    replica = Replica()
    replica.serve(40, delay_ms=0.1)
    backoff_ms = min(MAX_BASE_BACKOFF_MS, BASE_BACKOFF_FRACTION * 1000.0)
    [first] = sends(replica.receive("a"))
    assert first.timeout_ms == pytest.approx(backoff_ms)
    [timer] = timers(replica.end_attempt("a", Outcome.TIMEOUT, first.timeout_ms))
    [second] = sends(replica.handle(TimerFired(timer.token), timer.delay_ms))
    assert second.timeout_ms == pytest.approx(2.0 * backoff_ms)


def test_time_until_a_timeout_counts_towards_the_backoff() -> None:
    """If it did not, a request lost on a dropped connection would be retried only after its objective."""
    replica = Replica(servers=4)
    replica.serve(100)
    [first] = sends(replica.receive("a"))
    assert 0.0 < first.timeout_ms < 300.0  # a multiple of the typical delay of 50 ms
    [timer] = timers(replica.end_attempt("a", Outcome.TIMEOUT, first.timeout_ms))
    assert timer.delay_ms == 0.0
    [second] = sends(replica.handle(TimerFired(timer.token)))
    assert second.server_id != first.server_id and second.timeout_ms > 1.5 * first.timeout_ms
    [timer] = timers(replica.end_attempt("a", Outcome.ERROR, 1.0))
    assert timer.delay_ms > 0.0


def test_first_attempt_in_a_slow_tier_does_not_time_out_early() -> None:
    """A second attempt would come too late: it meets the same delay, or the concurrency limit."""
    replica = Replica(servers=4)
    replica.serve(100, delay_ms=350.0)
    [first] = sends(replica.receive("a"))
    assert first.timeout_ms > 1.5 * 4.0 * 350.0


def test_request_is_not_retried_if_the_answer_would_miss_the_deadline() -> None:
    # An attempt that is sent just before the deadline, after a long timeout, is wasted work.
    replica = Replica()
    replica.serve(60, delay_ms=100.0)
    replica.receive("a", ttl_ms=300.0)
    actions = replica.end_attempt("a", Outcome.TIMEOUT, 285.0)
    assert not timers(actions) and len(answers(actions)) == 1
    replica.receive("b", ttl_ms=600.0)  # with enough time left, the request is retried
    assert timers(replica.end_attempt("b", Outcome.ERROR, 10.0))


def test_first_backoff_is_short_compared_to_the_objective() -> None:
    """The backoffs of all tiers add up, and occupy the previous tiers."""
    backoffs_ms = []
    for salt in range(50):
        replica = Replica(salt=salt)
        replica.receive("a")
        [timer] = timers(replica.end_attempt("a", Outcome.RESET, 1.0))
        backoffs_ms.append(timer.delay_ms)
    assert max(backoffs_ms) <= 0.1 * 1000.0


@pytest.mark.parametrize(("late_value_fraction", "is_retried"), [(0.0, False), (0.5, True)])
def test_request_is_retried_after_its_objective_only_if_late_answers_have_value(
    late_value_fraction: float, is_retried: bool
) -> None:
    # The client waits for 3 s, but if late_value_fraction is 0, an answer after the objective of 1 s has no
    # value.
    request_class = RequestClass(
        "read", 1000.0, 3000.0, late_value_fraction=late_value_fraction, idempotency=Idempotency.IDEMPOTENT
    )
    replica = Replica(classes=[request_class])
    replica.serve(60, "read", delay_ms=100.0)
    replica.receive("a", "read")
    actions = replica.end_attempt("a", Outcome.ERROR, 950.0)
    assert bool(timers(actions)) is is_retried and bool(answers(actions)) is not is_retried


@pytest.mark.parametrize(("tier", "is_early"), [(0, True), (2, False)])
def test_first_attempt_times_out_early_only_within_its_tiers_part_of_the_objective(
    tier: int, is_early: bool
) -> None:
    """The objective applies to the whole chain. A later tier that used all of it would do its work twice."""
    replica = Replica(servers=4, tier=tier, tiers=3)
    replica.serve(100, delay_ms=120.0)
    [send] = sends(replica.receive("a"))
    assert (send.timeout_ms < 5.0 * 120.0) is is_early
