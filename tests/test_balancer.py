"""The balancer's handling of subscriptions, unknown ids, streams, outcomes and rejections."""

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


def test_failed_subscription_is_retried_after_backoff_with_jitter() -> None:
    delays = set()
    for salt in range(5):
        replica = Replica(salt=salt, requires_subscription=True)
        assert Subscribe() in [a for _, a in replica.actions]
        [timer] = timers(replica.handle(EndpointUpdate(UpdateKind.FAILED)))
        delays.add(timer.delay_ms)
        assert replica.handle(TimerFired(timer.token), timer.delay_ms) == [Subscribe()]
        assert timer.delay_ms < replica.balancer.settings.poll_interval_ms / 4
        rarely_polling = Replica(salt=salt, requires_subscription=True, poll_interval_ms=60_000.0)
        [timer] = timers(rarely_polling.handle(EndpointUpdate(UpdateKind.FAILED)))
        assert timer.delay_ms <= MAX_SUBSCRIPTION_BACKOFF_MS  # the discovery watcher relies on this limit
    assert len(delays) == 5


def test_unknown_request_ids_and_timer_tokens_are_ignored() -> None:
    replica = Replica()
    assert replica.handle(TimerFired(999)) == []
    assert replica.handle(RequestAbandoned("unknown")) == []
    replica.handle(AttemptEnded("unknown", 0, 0, Outcome.SUCCESS, 5.0, True))
    replica.handle(AttemptEnded("unknown", 0, 77, Outcome.ERROR, 5.0, True))
    assert math.isfinite(replica.balancer.retry_controller.allowed_rate)


def test_request_whose_response_streams_is_not_retried() -> None:
    replica = Replica()
    replica.receive("a")
    replica.handle(StreamStarted("a", 0, replica.sent_to["a"][0]))
    assert not sends(replica.end_attempt("a", Outcome.RESET, 50.0, request_finished=True))


def test_attempts_of_abandoned_requests_are_measured() -> None:
    """Clients abandon slow requests. Ignoring these makes the measured delay and response rate too low."""
    replica = Replica(servers=2)
    replica.serve(20)
    objective_ratio_before = replica.balancer.typical_delay.objective_ratio
    responses_before = replica.balancer.retry_controller.response_rate.events
    replica.receive("abandoned")
    replica.handle(RequestAbandoned("abandoned"), 10.0)
    replica.end_attempt("abandoned", Outcome.SUCCESS, 800.0, request_finished=True)
    assert replica.balancer.typical_delay.objective_ratio > 1.2 * objective_ratio_before
    assert replica.balancer.retry_controller.response_rate.events > 0.8 * responses_before + 0.9
    replica.receive("abandoned late")
    replica.handle(RequestAbandoned("abandoned late"), 10.0)
    replica.end_attempt("abandoned late", Outcome.TIMEOUT, 2850.0, request_finished=True)
    assert replica.balancer.fleet.servers[replica.sent_to["abandoned late"][0]].relative_latency > 2.0


def test_end_of_an_attempt_sent_before_its_server_was_relisted_keeps_the_servers_in_flight_count() -> None:
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
def test_rejection_advises_the_longest_retry_after_that_clients_follow(max_retry_after_ms: float) -> None:
    # If the advice were the short backoff of a retry, clients would return to an overloaded tier at once.
    replica = Replica(max_attempts=1, max_retry_after_ms=max_retry_after_ms)
    replica.receive("a")
    [answer] = answers(replica.end_attempt("a", Outcome.ERROR))
    assert isinstance(answer, RejectRequest) and answer.retry_after_ms == max_retry_after_ms
