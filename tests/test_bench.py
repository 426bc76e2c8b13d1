"""The bench: bad arguments are told, and its figures come from calls that were served."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from bench.calls import Fleet, FleetFailed, measure
from bench.decisions import ROOT, Case, Program, Run, State


def bench(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "bench", *arguments], cwd=ROOT, capture_output=True, text=True, timeout=60
    )


@pytest.mark.parametrize(
    "arguments",
    [
        (),
        ("decisions", "--servers", "0"),
        ("decisions", "--servers", "many"),
        ("decisions", "--states", "x"),
        ("decisions", "--servers", "1000000"),
        ("calls", "--rate", "nan"),
        ("calls", "--seconds", "1e9"),
        ("calls", "--root", "/nowhere"),
        ("calls", "--rounds", "21"),
    ],
)
def test_bad_arguments_are_told_and_status_2(arguments: tuple[str, ...]) -> None:
    done = bench(*arguments)
    assert done.returncode == 2 and not done.stdout
    assert done.stderr.splitlines()[-1].startswith("bench")


def test_decisions_gives_one_line_a_case() -> None:
    done = bench(
        "decisions", "--servers", "5,50", "--copies", "1,4", "--states", "warm,half-cold", "--calls", "20"
    )
    lines = [json.loads(line) for line in done.stdout.splitlines()]
    assert done.returncode == 0 and len(lines) == 8
    assert all(line["request_us"] > 0.0 and line["whole_list_us"] > 0.0 for line in lines)


@pytest.mark.parametrize("state", State)
def test_a_run_of_each_state_has_answers(state: State) -> None:
    cost = Run(Program(), Case(40, 2, state, 60)).cost()
    assert min(cost.request, cost.outcome, cost.change, cost.whole_list) > 0.0


def test_calls_measures_a_node() -> None:
    figures = measure(Fleet(20, 40.0, 1.0, ROOT))
    assert figures.calls == 40 and figures.failed == 0
    assert figures.cpu_us_a_call > 0.0 and figures.peak_mb > 5.0


def test_a_node_that_does_not_start_gives_no_figure(tmp_path: Path) -> None:
    with pytest.raises(FleetFailed, match="ended with status"):
        measure(Fleet(20, 40.0, 1.0, tmp_path))
