"""Command line of the bench: `python -m bench decisions` and `python -m bench calls`.

Prints one JSON line a figure, and a table on standard error; exits with 2 if asked for what it can't do.
"""

from __future__ import annotations

import argparse
import itertools
import json
import sys
from dataclasses import asdict
from pathlib import Path

from bench.calls import Fleet, FleetFailed, measure
from bench.decisions import ROOT, Case, Program, Run, State

SIZES, MOST_SERVERS = (15, 60, 240, 960, 3200), 10_000
COPIES, MOST_COPIES = (1, 4, 16), 1000
STATE_NAMES = ", ".join(state.value for state in State)
MOST_CALLS, MOST_RATE, MOST_SECONDS = 100_000, 1000.0, 120.0


def numbers(text: str, most: int) -> list[int]:
    """Whole numbers from 1 on with commas between them; raises `ArgumentTypeError`."""
    try:
        values = [int(part) for part in text.split(",")]
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text!r:.60} is no list of whole numbers") from None
    if not all(1 <= value <= most for value in values):
        raise argparse.ArgumentTypeError(f"{text!r:.60}: each must be from 1 to {most}")
    return values


def number(text: str, least: float, most: float) -> float:
    """A number within limits; raises `ArgumentTypeError`."""
    try:
        value = float(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text!r:.60} is no number") from None
    if not least <= value <= most:
        raise argparse.ArgumentTypeError(f"{text!r:.60} is not from {least:g} to {most:g}")
    return value


def states(text: str) -> list[State]:
    """States of servers with commas between them; raises `ArgumentTypeError`."""
    try:
        return [State(part) for part in text.split(",")]
    except ValueError as problem:
        raise argparse.ArgumentTypeError(f"{problem}; known are {STATE_NAMES}") from None


def checkout(text: str) -> Path:
    """A folder that holds the program; raises `ArgumentTypeError`."""
    path = Path(text).resolve()
    if not (path / "workspond" / "policy").is_dir():
        raise argparse.ArgumentTypeError(f"{text!r:.200} holds no program")
    return path


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Read the command line; ends the process with status 2 where it can't be used."""
    parser = argparse.ArgumentParser(prog="bench", description="What a call costs, by the number of servers.")
    commands = parser.add_subparsers(dest="command", required=True)
    decisions = commands.add_parser("decisions", help="the decision module alone, in simulated time")
    decisions.add_argument("--servers", type=lambda text: numbers(text, MOST_SERVERS), default=list(SIZES))
    decisions.add_argument("--copies", type=lambda text: numbers(text, MOST_COPIES), default=list(COPIES))
    decisions.add_argument("--states", type=states, default=list(State), help="with commas: " + STATE_NAMES)
    decisions.add_argument("--calls", type=lambda text: numbers(text, MOST_CALLS)[0], default=1500)
    calls = commands.add_parser("calls", help="a real node between a client and servers, on loopback")
    calls.add_argument("--servers", type=lambda text: numbers(text, MOST_SERVERS), default=[30, 480])
    calls.add_argument(
        "--rate", type=lambda text: number(text, 1.0, MOST_RATE), default=160.0, help="a second"
    )
    calls.add_argument("--seconds", type=lambda text: number(text, 1.0, MOST_SECONDS), default=10.0)
    calls.add_argument(
        "--rounds", type=lambda text: numbers(text, 20)[0], default=1, help="sizes in turn, so often"
    )
    for command in (decisions, calls):
        command.add_argument("--root", type=checkout, default=ROOT, help="the checkout that is measured")
    return parser.parse_args(arguments)


def row(*cells: object) -> None:
    """One line of the table for people."""
    print(
        " ".join(f"{cell:>10.1f}" if isinstance(cell, float) else f"{cell:>10}" for cell in cells),
        file=sys.stderr,
    )


def run_decisions(options: argparse.Namespace) -> None:
    """Time the module in every case asked for; microseconds."""
    program = Program(options.root)
    row("state", "copies", "servers", "request", "outcome", "change", "whole list")
    for state, copies, servers in itertools.product(options.states, options.copies, options.servers):
        cost = Run(program, Case(servers, copies, state, options.calls)).cost()
        line = {"state": state.value, "copies": copies, "servers": servers}
        figures = {f"{name}_us": round(us, 1) for name, us in asdict(cost).items()}
        print(json.dumps(line | figures), flush=True)
        row(state.value, copies, servers, *figures.values())


def run_calls(options: argparse.Namespace) -> None:
    """Measure a real node with every number of servers asked for, in turn."""
    row("servers", "cpu us", "p50 ms", "p99 ms", "MB", "lists KB", "calls")
    for servers in options.servers * options.rounds:
        figures = measure(Fleet(servers, options.rate, options.seconds, options.root))
        print(json.dumps(asdict(figures)), flush=True)
        row(
            servers,
            figures.cpu_us_a_call,
            figures.added_p50_ms,
            figures.added_p99_ms,
            figures.peak_mb,
            figures.list_kb,
            figures.calls,
        )


def main(arguments: list[str]) -> int:
    """The program; its exit status."""
    try:
        options = parse_arguments(arguments)
        (run_decisions if options.command == "decisions" else run_calls)(options)
    except FleetFailed as problem:
        print(f"bench: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
