"""Tests of signals during start and shutdown: SIGHUP never ends the process, SIGTERM never crashes it."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from pathlib import Path

import pytest

from tests.peers import WAIT_TIMEOUT_S, Server, node_environment, run
from tests.program import Program, spawn

START_COUNT = 5
SIGNAL_INTERVAL_S = 0.0005


async def signal_until_it_ends(process: asyncio.subprocess.Process, sent_signal: signal.Signals) -> int:
    """Send a signal repeatedly until the process has ended, and return its exit status."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(sent_signal)
            await asyncio.sleep(SIGNAL_INTERVAL_S)
    return process.returncode


def test_sighup_until_the_end_of_a_shutdown_does_not_crash_the_process(tmp_path: Path) -> None:
    """The event loop restores the default signal handling before the process has ended."""

    async def test() -> None:
        async with node_environment(tmp_path, Server(), start=False) as environment:
            for _ in range(START_COUNT):
                program = await Program.start(environment)
                program.process.send_signal(signal.SIGTERM)
                assert await signal_until_it_ends(program.process, signal.SIGHUP) == 0

    run(test())


@pytest.mark.parametrize("sent_signal", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_during_the_start_is_handled_after_the_start(
    sent_signal: signal.Signals, tmp_path: Path
) -> None:
    """Such a signal once ended the process, because its handler was not installed yet."""

    async def test() -> None:
        async with node_environment(tmp_path, Server(), start=False) as environment:
            text = environment.path.read_text()
            environment.path.unlink()
            os.mkfifo(environment.path)  # the process blocks while it reads its configuration
            process = await spawn(environment.path)
            environment.processes.append(process)
            with await asyncio.to_thread(environment.path.open, "w") as file:
                complete_file = tmp_path / "complete.json"
                complete_file.write_text(text)
                complete_file.replace(environment.path)  # for the reload
                process.send_signal(sent_signal)
                file.write(text)
            log = await read_log_until(process, b"configuration reloaded")
            if sent_signal is signal.SIGHUP:
                assert b"configuration reloaded" in log
                process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S) == 0

    run(test())


async def read_log_until(process: asyncio.subprocess.Process, words: bytes) -> bytes:
    """Return the log up to and including a line with these words; all of it if there is no such line."""
    assert process.stderr is not None
    log = b""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while line := await process.stderr.readline():
            log += line
            if words in line:
                return log
    return log
