"""Events of a balancer that belong to no other module: subscriptions, unknown ids, streams, outcomes."""

from __future__ import annotations

import math

import pytest

from tests.helpers import Replica, answers, endpoints, sends, timers
from workspond.policy.actions import RejectRequest, Subscribe
from workspond.policy.events import (
    AttemptEnded,
    EndpointUpdate,
    Outcome,
    RequestAbandoned,
    StreamStarted,
    TimerFired,
    UpdateKind,
)
from workspond.policy.subscription_backoff import MAX_SUBSCRIPTION_BACKOFF_MS


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


def test_unknown_ids_and_timers_change_nothing() -> None:
    replica = Replica()
    assert replica.handle(TimerFired(999)) == []
    assert replica.handle(RequestAbandoned("nobody")) == []
    replica.handle(AttemptEnded("nobody", 0, 0, Outcome.SUCCESS, 5.0, True))
    replica.handle(AttemptEnded("nobody", 0, 77, Outcome.ERROR, 5.0, True))
    assert math.isfinite(replica.balancer.retry_controller.allowed_rate)


def test_a_stream_binds_its_request() -> None:
    replica = Replica()
    replica.receive("a")
    replica.handle(StreamStarted("a", 0, replica.sent_to["a"][0]))
    assert not sends(replica.end_attempt("a", Outcome.RESET, 50.0, request_finished=True))


def test_answers_that_nobody_waits_for_any_more_still_teach() -> None:
    """Clients that disconnect early abandon slow requests: without these, delay and rate come out low."""
    replica = Replica(servers=2)
    replica.serve(20)
    share, answers = (
        replica.balancer.typical_delay.objective_ratio,
        replica.balancer.retry_controller.response_rate.events,
    )
    replica.receive("abandoned")
    replica.handle(RequestAbandoned("abandoned"), 10.0)
    replica.end_attempt("abandoned", Outcome.SUCCESS, 800.0, request_finished=True)
    assert replica.balancer.typical_delay.objective_ratio > 1.2 * share
    assert replica.balancer.retry_controller.response_rate.events > 0.8 * answers + 0.9
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


@pytest.mark.parametrize("max_retry_after_ms", [0.0, 250.0, 1000.0])
def test_a_refusal_advises_the_longest_that_callers_follow(max_retry_after_ms: float) -> None:
    # With the short wait of an own retry as advice, clients come back to an overloaded tier at once.
    replica = Replica(max_attempts=1, max_retry_after_ms=max_retry_after_ms)
    replica.receive("a")
    [answer] = answers(replica.end_attempt("a", Outcome.ERROR))
    assert isinstance(answer, RejectRequest) and answer.retry_after_ms == max_retry_after_ms
