"""Command line of the bench: `python -m bench decisions` and `python -m bench calls`.

Prints one JSON line per measured case, and a table on standard error. Exits with status 2 if the options are
invalid or a measurement fails.
"""

from __future__ import annotations

import argparse
import itertools
import json
import sys
from dataclasses import asdict
from pathlib import Path

from bench.arguments import parse_arguments
from bench.calls import Measurement, MeasurementError, measure
from standins.checkout import CheckoutError


class RootError(Exception):
    """Raised for a checkout that can't be measured; the message gives the reason in one line."""


def print_row(*cells: object) -> None:
    """Print a row of the table on standard error."""
    print(
        " ".join(f"{cell:>10.1f}" if isinstance(cell, float) else f"{cell:>10}" for cell in cells),
        file=sys.stderr,
    )


def prepare_decisions(root: Path) -> None:
    """Put the checkout at `root` first in the import path.

    Raises:
        RootError: The checkout is too old to have `workspond/policy`.
    """
    if not (root / "workspond" / "policy").is_dir():
        raise RootError(f"{root} has no workspond/policy; only `calls` can measure such a checkout")
    sys.path.insert(0, str(root))  # takes precedence over the working directory


def run_decisions(options: argparse.Namespace) -> None:
    """Time the decision module for each combination of state, replicas and servers.

    Raises:
        RootError: The checkout's decision module can't be measured.
    """
    prepare_decisions(options.root)
    try:
        from bench.decisions import Case, Run  # noqa: PLC0415 - needs the checkout in sys.path
    except ImportError as problem:
        raise RootError(f"the decision module of {options.root} is not compatible: {problem}") from None
    print_row("state", "copies", "servers", "request", "outcome", "change", "whole list")
    for state, replicas, servers in itertools.product(options.states, options.copies, options.servers):
        cost = Run(Case(servers, replicas, state, options.calls)).cost()
        line = {"state": state.value, "copies": replicas, "servers": servers}
        figures = {
            "request_us": round(cost.request_us, 1),
            "outcome_us": round(cost.outcome_us, 1),
            "change_us": round(cost.update_us, 1),
            "whole_list_us": round(cost.complete_list_us, 1),
        }
        print(json.dumps(line | figures), flush=True)
        print_row(state.value, replicas, servers, *figures.values())


def run_calls(options: argparse.Namespace) -> None:
    """Measure a real node with each number of servers, `options.rounds` times.

    Raises:
        CheckoutError: The checkout's deploy file names no module.
        MeasurementError: A run gave no valid figures.
    """
    print_row("servers", "cpu us", "p50 ms", "p99 ms", "MB", "lists KB", "calls")
    for servers in options.servers * options.rounds:
        figures = measure(Measurement(servers, options.rate, options.seconds, options.root))
        print(json.dumps(asdict(figures)), flush=True)
        print_row(
            servers,
            figures.cpu_us_a_call,
            figures.added_p50_ms,
            figures.added_p99_ms,
            figures.peak_mb,
            figures.list_kb,
            figures.calls,
        )


def main(arguments: list[str]) -> int:
    """Run the bench and return the exit status."""
    options = parse_arguments(arguments)
    try:
        if options.command == "decisions":
            run_decisions(options)
        else:
            run_calls(options)
    except (CheckoutError, MeasurementError, RootError) as problem:
        print(f"bench: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
