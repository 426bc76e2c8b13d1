"""The log lines that trace failed requests."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest

from tests.peers import Server, node_environment, render_response, run
from workspond.policy.actions import EndReason
from workspond.policy.token_bucket import TokenBucket

MAX_LINES = 2


def test_a_failed_request_is_logged_with_its_attempts(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, "workspond")

    async def test() -> None:
        server = Server(render_response(), render_response(500))
        async with node_environment(tmp_path, server) as environment:
            await environment.send_request("good", "pay")
            await environment.send_request("bad", "pay")

    run(test())
    [line] = [text for text in caplog.messages if text.startswith("request ")]
    assert line.startswith("request failed: request=bad class=pay status=502 after_ms=")
    assert " in_flight=0: attempt=0 endpoint=127.0.0.1:" in line
    assert " outcome=ERROR " in line and line.count(";") == 0


def test_a_request_without_servers_is_logged_with_the_reason_of_its_rejection(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, "workspond")

    async def test() -> None:
        async with node_environment(tmp_path) as environment:
            await environment.send_request("a", "pay", budget="0.1")

    run(test())
    [line] = [text for text in caplog.messages if text.startswith("request ")]
    assert f'reason="{EndReason.QUEUE_TIMEOUT.value}"' in line


def test_a_retried_attempt_is_counted_with_the_outcome_before_it(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, "workspond")

    async def test() -> None:
        async with node_environment(tmp_path, Server(render_response(500)), Server(name="t")) as environment:
            await environment.send_request("a", "read")
            await environment.send_request("b", "read")

    run(test())
    [line] = [text for text in caplog.messages if text.startswith("counts: ")]
    assert "attempt_retried[ERROR]=1" in line


def test_a_closed_connection_is_logged_with_its_state_and_reason(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, "workspond")

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            client = await environment.client()
            client.write(b"noise\r\n\r\n")
            assert (await client.read()).status == 400

    run(test())
    line, *_ = [text for text in caplog.messages if text.startswith("connection closed: ")]
    assert 'reason="rejected with 400" state=AWAITING_FIRST_REQUEST waiting_bytes=' in line


class UnrefilledBucket(TokenBucket):
    """A token bucket that is never refilled, however slow the machine is."""

    def refill(self, rate_per_ms: float, max_tokens: float, now_ms: float) -> float:
        return self.tokens


def test_the_number_of_logged_failures_is_limited(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "workspond")

    async def test() -> None:
        async with node_environment(tmp_path, Server(default=render_response(500))) as environment:
            assert environment.node is not None
            environment.node._requests._tracer._rate_limit = UnrefilledBucket(tokens=MAX_LINES, now_ms=0.0)
            for number in range(MAX_LINES + 3):
                await environment.send_request(f"{number}", "pay")

    run(test())
    assert sum(text.startswith("request ") for text in caplog.messages) == MAX_LINES
