"""The send guard: it blocks attempts after changes, and counts and logs broken invariants."""

from __future__ import annotations

import logging
import math
from dataclasses import replace
from pathlib import Path

import pytest

from tests.helpers import settings
from tests.peers import RESET, Server, node_environment, run
from workspond.clock import now_ms
from workspond.policy.events import Outcome
from workspond.policy.retry_policy import RetryPolicy
from workspond.upstream.send_guard import AttemptHistory, PendingSend, SendGuard, SendRefusal

SERVER_ID = 7
ADDRESS = ("127.0.0.1", 9000)


@pytest.fixture
def guard() -> SendGuard:
    return SendGuard(settings(), {SERVER_ID}, {SERVER_ID: ADDRESS})


def pending_send(history: AttemptHistory, class_name: str = "idempotent") -> PendingSend:
    return PendingSend("a", class_name, history, SERVER_ID, ADDRESS, math.inf)


def history_after(guard: SendGuard, outcome: Outcome) -> AttemptHistory:
    history = AttemptHistory()
    history.record_write()
    history.record_end(may_have_run=guard.may_have_run(outcome))
    return history


def test_a_change_since_the_decision_blocks_the_attempt_and_is_no_broken_invariant(guard: SendGuard) -> None:
    send = pending_send(AttemptHistory())
    assert guard.check(send) is None
    assert guard.check(replace(send, server_id=8)) is SendRefusal.NOT_IN_SERVICE
    assert guard.check(replace(send, latest_send_at_ms=now_ms() - 1.0)) is SendRefusal.RETRY_WINDOW_OVER
    assert guard.check(replace(send, address=("127.0.0.1", 1))) is SendRefusal.ADDRESS_CHANGED
    assert not guard.broken_counts


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR, Outcome.SUCCESS])
def test_a_non_idempotent_request_that_may_have_run_is_not_written_again(
    guard: SendGuard, outcome: Outcome
) -> None:
    history = history_after(guard, outcome)
    assert guard.check(pending_send(history, "non_idempotent")) is SendRefusal.NON_IDEMPOTENT_RETRY
    assert guard.check(pending_send(history, "idempotent")) is None
    assert guard.check(pending_send(history_after(guard, Outcome.REJECTED), "non_idempotent")) is None
    assert guard.broken_counts == {SendRefusal.NON_IDEMPOTENT_RETRY: 1}


def test_overlapping_attempts_and_too_many_attempts_are_blocked_and_counted(guard: SendGuard) -> None:
    history = AttemptHistory()
    history.record_write()
    assert guard.check(pending_send(history)) is SendRefusal.OVERLAPPING_ATTEMPT
    for _ in range(settings().max_attempts):
        history.record_end(may_have_run=True)
        history.record_write()
    history.record_end(may_have_run=True)
    assert guard.check(pending_send(history)) is SendRefusal.TOO_MANY_ATTEMPTS
    assert guard.broken_counts.total() == 2


def test_a_broken_invariant_is_logged_with_its_fields(
    guard: SendGuard, caplog: pytest.LogCaptureFixture
) -> None:
    guard.check(pending_send(history_after(guard, Outcome.RESET), "non_idempotent"))
    assert caplog.messages == [
        "invariant broken: request=a class=non_idempotent endpoint=127.0.0.1:9000 written=1 "
        'reason="earlier attempt of a non-idempotent request may have run" count=1'
    ]


def test_a_policy_that_retries_non_idempotent_requests_is_blocked_and_logged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The server receives a single attempt, and the log reports the broken invariant."""
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(RetryPolicy, "repeat_deadline_at_ms", lambda self, call: math.inf)

    async def test() -> None:
        server = Server(default=RESET)
        async with node_environment(tmp_path, server) as environment:
            assert (await environment.send_request("a", "pay")).status in (502, 503, 504)
            assert [message.request_id for message in server.received] == ["a"]

    run(test())
    assert any("invariant broken" in message for message in caplog.messages)
