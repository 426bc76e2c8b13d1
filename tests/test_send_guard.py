"""The gate before a server's connection: what changed is held back, a broken rule is counted too."""

from __future__ import annotations

import logging
import math
from pathlib import Path

import pytest

from tests.helpers import settings
from tests.peers import RESET, Server, run, world
from workspond.clock import now_ms
from workspond.policy.events import Outcome
from workspond.policy.retry_policy import RetryPolicy
from workspond.upstream.send_guard import AttemptHistory, SendGuard, SendRefusal

SERVER, ADDRESS = 7, ("127.0.0.1", 9000)


def guard() -> SendGuard:
    return SendGuard(settings(), {SERVER}, {SERVER: ADDRESS})


def refusal(
    of: SendGuard, attempts: AttemptHistory, cls: str = "idempotent", **changes: float
) -> SendRefusal | None:
    latest_ms = changes.get("latest_ms", math.inf)
    return of.check("a", cls, attempts, int(changes.get("server", SERVER)), ADDRESS, latest_ms)


def after(result: Outcome) -> AttemptHistory:
    attempts = AttemptHistory()
    attempts.record_write()
    attempts.record_end(guard().may_have_run(result))
    return attempts


def test_what_has_changed_since_a_decision_is_held_back_and_breaks_nothing() -> None:
    of = guard()
    assert refusal(of, AttemptHistory()) is None
    assert refusal(of, AttemptHistory(), server=8) is SendRefusal.NOT_IN_SERVICE
    assert refusal(of, AttemptHistory(), latest_ms=now_ms() - 1.0) is SendRefusal.WINDOW_OVER
    moved = ("127.0.0.1", 1)
    assert of.check("a", "idempotent", AttemptHistory(), SERVER, moved, math.inf) is SendRefusal.MOVED
    assert not of.broken


@pytest.mark.parametrize("result", [Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR, Outcome.SUCCESS])
def test_an_unsafe_request_that_may_have_run_is_not_written_again(result: Outcome) -> None:
    of = guard()
    assert refusal(of, after(result), "non_idempotent") is SendRefusal.UNSAFE_REPEAT
    assert refusal(of, after(result), "idempotent") is None
    assert refusal(of, after(Outcome.REJECTED), "non_idempotent") is None
    assert of.broken == {SendRefusal.UNSAFE_REPEAT: 1}


def test_two_attempts_at_once_and_too_many_are_counted() -> None:
    of, attempts = guard(), AttemptHistory()
    attempts.record_write()
    assert refusal(of, attempts) is SendRefusal.OVERLAP
    for _ in range(settings().max_attempts):
        attempts.record_end(ran=True)
        attempts.record_write()
    attempts.record_end(ran=True)
    assert refusal(of, attempts) is SendRefusal.TOO_MANY
    assert of.broken.total() == 2


def test_a_decision_that_breaks_a_rule_is_not_carried_out_and_is_told(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """A module that sends unsafe requests again: the server sees one, and the log says so."""
    caplog.set_level(logging.INFO)
    monkeypatch.setattr(RetryPolicy, "repeat_deadline_at_ms", lambda self, call: math.inf)

    async def test() -> None:
        server = Server(usual=RESET)
        async with world(tmp_path, server) as scene:
            assert (await scene.ask("a", "pay")).status in (502, 503, 504)
            assert [seen.id for seen in server.seen] == ["a"]

    run(test())
    assert any("invariant broken" in message for message in caplog.messages)
