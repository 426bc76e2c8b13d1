"""Counts of what happened and why, as the log tells them."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest

from tests.peers import RESET, Server, run, world
from workspond.observability.counters import Event, EventCounters


def test_a_line_tells_what_is_new_since_the_last() -> None:
    counts = EventCounters()
    assert counts.summary() == ""
    counts.increment(Event.ATTEMPT, "SUCCESS")
    counts.increment(Event.ATTEMPT, "SUCCESS")
    counts.increment(Event.ANSWERED, "200")
    assert counts.summary() == "answered[200]=1, attempt[SUCCESS]=2"
    counts.increment(Event.ATTEMPT, "SUCCESS")
    assert counts.summary() == "attempt[SUCCESS]=1" and counts.summary() == ""


def test_a_node_that_ends_tells_what_it_did(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)

    async def test() -> None:
        async with world(tmp_path, Server(RESET)) as scene:
            assert (await scene.ask("lost", "pay")).status == 502
            assert (await scene.ask("kept", "pay")).status == 200
            bad = await scene.caller()
            bad.write(b"noise\r\n\r\n")
            assert (await bad.read()).status == 400

    run(test())
    [line] = [message for message in caplog.messages if message.startswith("counts: ")]
    for part in (
        "answered[200]=1",
        "answered[502]=1",
        "attempt[RESET]=1",
        "attempt[SUCCESS]=1",
        "closed[rejected with 400]=1",
    ):
        assert part in line
