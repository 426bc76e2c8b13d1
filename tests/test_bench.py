"""The bench: bad arguments are reported, and its figures come from calls that succeeded."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from bench.calls import Fleet, FleetError, measure
from bench.decisions import Case, Run
from bench.server_state import ServerState
from standins.checkout import ROOT, CheckoutError, node_module


def bench(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "bench", *arguments],
        check=False,  # the exit status is what tests look at
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
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


@pytest.mark.parametrize("state", ServerState)
def test_a_run_of_each_state_has_answers(state: ServerState) -> None:
    cost = Run(Case(40, 2, state, 60)).cost()
    assert min(cost.request_us, cost.outcome_us, cost.update_us, cost.complete_list_us) > 0.0


def test_calls_measures_a_node() -> None:
    figures = measure(Fleet(20, 40.0, 1.0, ROOT))
    assert figures.calls == 40 and figures.failed == 0
    assert figures.cpu_us_a_call > 0.0 and figures.peak_mb > 5.0


def test_a_node_that_does_not_start_gives_no_figure(tmp_path: Path) -> None:
    with pytest.raises(FleetError, match="ended with status"):
        measure(Fleet(20, 40.0, 1.0, tmp_path))


def write_deploy_file(root: Path, text: str) -> None:
    (root / "deploy").mkdir()
    (root / "deploy" / "balancer.toml").write_text(text)


def test_the_module_of_a_node_comes_from_the_deploy_file(tmp_path: Path) -> None:
    assert node_module(tmp_path) == "workspond"
    write_deploy_file(tmp_path, 'run = "exec .venv/bin/python -B -m other.module --flag"\n')
    assert node_module(tmp_path) == "other.module"


@pytest.mark.parametrize("text", ["", 'run = "exec python"\n', "run = ", "\x00"])
def test_a_deploy_file_that_names_no_module_is_refused(text: str, tmp_path: Path) -> None:
    write_deploy_file(tmp_path, text)
    with pytest.raises(CheckoutError):
        node_module(tmp_path)


def test_decisions_refuses_a_checkout_of_an_older_layout_in_one_line(tmp_path: Path) -> None:
    write_deploy_file(tmp_path, 'run = "exec .venv/bin/python -B -m older"\n')
    (tmp_path / "older").mkdir()
    done = bench("decisions", "--root", str(tmp_path))
    assert done.returncode == 2 and not done.stdout
    assert len(done.stderr.splitlines()) == 1 and done.stderr.startswith("bench: ")
