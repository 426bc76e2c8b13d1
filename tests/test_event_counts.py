"""Event counters and the log line that reports them."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest

from tests.peers import RESET, Server, node_environment, run
from workspond.observability.counters import CountedEvent, EventCounters


def test_a_summary_contains_only_the_counts_since_the_previous_one() -> None:
    counters = EventCounters()
    assert counters.summary() == ""
    counters.increment(CountedEvent.ATTEMPT_ENDED, "SUCCESS")
    counters.increment(CountedEvent.ATTEMPT_ENDED, "SUCCESS")
    counters.increment(CountedEvent.REQUEST_ANSWERED, "200")
    assert counters.summary() == "attempt_ended[SUCCESS]=2, request_answered[200]=1"
    counters.increment(CountedEvent.ATTEMPT_ENDED, "SUCCESS")
    assert counters.summary() == "attempt_ended[SUCCESS]=1" and counters.summary() == ""


def test_a_node_logs_its_counts_when_it_stops(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)

    async def test() -> None:
        async with node_environment(tmp_path, Server(RESET)) as environment:
            assert (await environment.send_request("lost", "pay")).status == 502
            assert (await environment.send_request("kept", "pay")).status == 200
            client = await environment.client()
            client.write(b"noise\r\n\r\n")
            assert (await client.read()).status == 400

    run(test())
    [line] = [message for message in caplog.messages if message.startswith("counts: ")]
    for part in (
        "request_answered[200]=1",
        "request_answered[502]=1",
        "attempt_ended[RESET]=1",
        "attempt_ended[SUCCESS]=1",
        "connection_closed[rejected with 400]=1",
    ):
        assert part in line
