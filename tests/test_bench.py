"""Tests of the bench: it reports invalid arguments, and its figures come from successful calls."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from bench.calls import Measurement, MeasurementError, measure
from bench.decisions import Case, Run
from bench.server_state import ServerState
from standins.checkout import ROOT, CheckoutError, node_module


def bench(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "bench", *arguments],
        check=False,  # the tests assert the exit status
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
def test_invalid_arguments_exit_with_status_2_and_an_error(arguments: tuple[str, ...]) -> None:
    result = bench(*arguments)
    assert result.returncode == 2 and not result.stdout
    assert result.stderr.splitlines()[-1].startswith("bench")


def test_decisions_prints_one_line_per_case() -> None:
    result = bench(
        "decisions", "--servers", "5,50", "--copies", "1,4", "--states", "warm,half-cold", "--calls", "20"
    )
    lines = [json.loads(line) for line in result.stdout.splitlines()]
    assert result.returncode == 0 and len(lines) == 8
    assert all(line["request_us"] > 0.0 and line["whole_list_us"] > 0.0 for line in lines)


@pytest.mark.parametrize("state", ServerState)
def test_a_run_in_each_server_state_gives_positive_costs(state: ServerState) -> None:
    cost = Run(Case(40, 2, state, 60)).cost()
    assert min(cost.request_us, cost.outcome_us, cost.update_us, cost.complete_list_us) > 0.0


def test_calls_through_a_real_node_succeed_and_give_positive_figures() -> None:
    figures = measure(Measurement(20, 40.0, 1.0, ROOT))
    assert figures.calls == 40 and figures.failed == 0
    assert figures.cpu_us_a_call > 0.0 and figures.peak_mb > 5.0


def test_measuring_a_node_that_does_not_start_raises_measurement_error(tmp_path: Path) -> None:
    with pytest.raises(MeasurementError, match="ended with status"):
        measure(Measurement(20, 40.0, 1.0, tmp_path))


def write_deploy_file(root: Path, text: str) -> None:
    (root / "deploy").mkdir()
    (root / "deploy" / "balancer.toml").write_text(text)


def test_the_module_of_a_node_is_read_from_the_deploy_file_and_has_a_default(tmp_path: Path) -> None:
    assert node_module(tmp_path) == "workspond"
    write_deploy_file(tmp_path, 'run = "exec .venv/bin/python -B -m other.module --flag"\n')
    assert node_module(tmp_path) == "other.module"


@pytest.mark.parametrize("text", ["", 'run = "exec python"\n', "run = ", "\x00"])
def test_a_deploy_file_without_a_module_raises_checkout_error(text: str, tmp_path: Path) -> None:
    write_deploy_file(tmp_path, text)
    with pytest.raises(CheckoutError):
        node_module(tmp_path)


def test_decisions_with_a_checkout_of_an_older_layout_exits_with_a_one_line_error(tmp_path: Path) -> None:
    write_deploy_file(tmp_path, 'run = "exec .venv/bin/python -B -m older"\n')
    (tmp_path / "older").mkdir()
    result = bench("decisions", "--root", str(tmp_path))
    assert result.returncode == 2 and not result.stdout
    assert len(result.stderr.splitlines()) == 1 and result.stderr.startswith("bench: ")
