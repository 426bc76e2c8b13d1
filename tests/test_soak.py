"""Tests of the soak: its oracle detects deliberately broken nodes, and its parts work."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from soak.clients import NodeView
from soak.discovery import Agent, AgentMode, EndpointRegistry, Entry, Status
from soak.node_process import LaunchOptions, NodeProcess
from soak.oracle import Oracle
from soak.schedule import Fault, FaultKind, Schedule, ScheduleError, draw_schedule, read_schedule
from soak.shrink import shrink
from standins.messages import receive_message, render_head
from tests.broken_nodes import BROKEN_NODES, ROOT, BrokenNode

SEEDS = (1, 2, 3, 4, 5)  # each broken node must be detected with at least one of them
SECONDS, NODES, CONCURRENT_RUNS = 8, 4, 4
QUICK_SCHEDULE = ROOT / "soak" / "quick.json"


def soak(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "soak", *arguments],
        check=False,  # the tests assert the exit status
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )


def find_detecting_seed(broken: BrokenNode, folder: Path) -> int | None:
    """Return the first seed with which the soak detects the broken rule, or None."""
    broken.write(folder)
    for seed in SEEDS:
        kinds = ",".join(kind.value for kind in broken.fault_kinds)
        result = soak(
            "--seed",
            str(seed),
            "--seconds",
            str(SECONDS),
            "--nodes",
            str(NODES),
            "--kinds",
            kinds,
            "--rate",
            str(broken.faults_per_s),
            "--root",
            str(folder),
        )
        lines = [json.loads(line) for line in result.stdout.splitlines()]
        if any(line.get("rule") == broken.rule.value for line in lines):
            assert result.returncode == 1
            return seed
    return None


def test_each_broken_node_is_detected_by_the_rule_that_it_breaks(tmp_path: Path) -> None:
    with ThreadPoolExecutor(CONCURRENT_RUNS) as pool:
        folders = [tmp_path / f"{n}" for n in range(len(BROKEN_NODES))]
        detecting_seeds = dict(
            zip(
                (broken.name for broken in BROKEN_NODES),
                pool.map(find_detecting_seed, BROKEN_NODES, folders),
                strict=True,
            )
        )
    print(detecting_seeds)
    assert all(detecting_seeds.values()), detecting_seeds


def test_the_quick_schedule_gives_no_violation() -> None:
    result = soak("--schedule", str(QUICK_SCHEDULE))
    assert result.returncode == 0, result.stdout[-2000:] + result.stderr[-2000:]
    summary = json.loads(result.stdout.splitlines()[-1])
    assert summary["violations"] == 0 and summary["answers"]["200"] > 1000


@pytest.mark.parametrize(
    "arguments",
    [
        ("--nodes", "0"),
        ("--seconds", "1"),
        ("--kinds", "nonsense"),
        ("--schedule", "/nowhere"),
        ("--schedule", str(ROOT / "README.md")),
    ],
)
def test_invalid_arguments_exit_with_status_2_and_an_error(arguments: tuple[str, str]) -> None:
    result = soak(*arguments)
    assert result.returncode == 2 and not result.stdout
    assert result.stderr.splitlines()[-1].startswith("soak: ")


def test_equal_seeds_draw_equal_schedules_that_json_round_trips() -> None:
    drawn = [draw_schedule(7, 20.0, 6, 4, frozenset(FaultKind)) for _ in range(2)]
    assert drawn[0] == drawn[1] == read_schedule(drawn[0].to_json())
    assert drawn[0] != draw_schedule(8, 20.0, 6, 4, frozenset(FaultKind))


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"faults": [{"kind": "nonsense"}]}'])
def test_text_that_is_not_a_schedule_raises_schedule_error(text: str) -> None:
    with pytest.raises(ScheduleError):
        read_schedule(text)


def test_shrink_keeps_only_the_faults_that_break_a_rule() -> None:
    faults = tuple(Fault(FaultKind.NODE_PAUSE, float(n), 1.0, n) for n in range(16))
    schedule = Schedule(1, 20.0, 4, faults)

    def breaks_rule(candidate: Schedule) -> bool:
        return {3, 11} <= {fault.target for fault in candidate.faults}

    smallest, plays = shrink(schedule, breaks_rule, 200)
    assert [fault.target for fault in smallest.faults] == [3, 11]
    assert plays <= 200


def test_what_a_slow_agent_has_written_counts_as_told_at_once() -> None:
    """Guards against a violation by a node that acts on a list before the soak counts it as told."""

    async def test() -> None:
        oracle = Oracle(asyncio.get_running_loop().time, tuple, 50.0)
        registry = EndpointRegistry()
        registry.entries["s0"] = Entry("s0", "127.0.0.1:1", 0, Status.DRAINING, 0, None)
        agent = Agent(registry, oracle, node=0)
        await agent.start()
        agent.set_mode(AgentMode.SLOW)
        reader, writer = await asyncio.open_connection("127.0.0.1", agent.port)
        writer.write(render_head("GET", "/api/targets", {}))
        await receive_message(reader)
        assert oracle._notifications.inactive_from_s(0, "s0") is not None
        writer.close()
        await agent.stop()

    asyncio.run(test())


@pytest.mark.parametrize("mode", [AgentMode.NORMAL, AgentMode.SILENT])
def test_a_reachable_agents_list_counts_as_told_from_the_start_of_a_process(mode: AgentMode) -> None:
    """Without this, the soak accepted a new process that sent to draining servers by an old list."""

    async def test() -> None:
        oracle = Oracle(asyncio.get_running_loop().time, tuple, 50.0)
        registry = EndpointRegistry()
        registry.entries["s0"] = Entry("s0", "127.0.0.1:1", 0, Status.DRAINING, 0, None)
        agent = Agent(registry, oracle, node=0)
        agent.set_mode(mode)
        agent.record_process_start()
        is_told = oracle._notifications.inactive_from_s(0, "s0") is not None
        assert is_told == (mode is AgentMode.NORMAL)
        agent.set_mode(AgentMode.DOWN)
        assert oracle._notifications.inactive_from_s(0, "s0") is None

    asyncio.run(test())


def test_a_process_that_ends_just_before_sigkill_is_not_a_crash(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process ends after the timeout and before SIGKILL, so that `kill` raises ProcessLookupError."""

    class ProcessEndingAtKill:
        returncode: int | None = None

        def __init__(self) -> None:
            self._ended = asyncio.Event()

        def send_signal(self, number: int) -> None:
            pass

        def kill(self) -> None:
            self.returncode = 0
            self._ended.set()
            raise ProcessLookupError

        async def wait(self) -> int | None:
            await self._ended.wait()
            return self.returncode

    async def test() -> None:
        monkeypatch.setattr("soak.node_process.KILL_AFTER_TERM_S", 0.05)
        oracle = Oracle(asyncio.get_running_loop().time, tuple, 50.0)
        agent = Agent(EndpointRegistry(), oracle, node=0)
        view = NodeView(0, ("127.0.0.1", 1))
        node = NodeProcess(oracle, view, [agent], LaunchOptions(1, tmp_path, tmp_path, None))
        node._process = ProcessEndingAtKill()  # type: ignore[assignment]
        await node.stop()
        assert not oracle.violations

    asyncio.run(test())
