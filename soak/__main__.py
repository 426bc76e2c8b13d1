"""Command line of the soak: `python -m soak --seed N --seconds S --nodes M`.

Prints the schedule, one JSON line for each violation, and a summary as the last line. Exits with status 1 if
there are violations, and with 2 if the schedule can't be played.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict
from pathlib import Path

from soak.run import Result, play, server_count
from soak.schedule import FAULTS_PER_S, FaultKind, Schedule, ScheduleError, draw_schedule, read_schedule
from soak.shrink import shrink
from standins.checkout import ROOT, CheckoutError, node_module

MAX_NODES = 40
MIN_SECONDS = 4.0
MAX_SECONDS = 600.0
MAX_FAULTS_PER_S = 20.0
MAX_SHRINK_PLAYS = 40


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line; exits with status 2 if it is invalid."""
    parser = argparse.ArgumentParser(
        prog="soak", description="Run real nodes on loopback under random faults."
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the schedule (default 1)")
    parser.add_argument("--seconds", type=float, default=20.0, help=f"duration, at most {MAX_SECONDS:.0f}")
    parser.add_argument("--nodes", type=int, default=10, help=f"number of nodes, at most {MAX_NODES}")
    parser.add_argument("--rate", type=float, default=FAULTS_PER_S, help="faults per second")
    parser.add_argument("--kinds", help="comma-separated kinds of fault to draw from")
    parser.add_argument("--schedule", type=Path, help="play the schedule in this file")
    parser.add_argument(
        "--shrink",
        action="store_true",
        help="after a violation, search for a smaller schedule that causes it",
    )
    parser.add_argument(
        "--root", type=Path, default=ROOT, help="the checkout whose nodes are run (default: this one)"
    )
    options = parser.parse_args(arguments)
    check_limits(parser, options)
    return options


def check_limits(parser: argparse.ArgumentParser, options: argparse.Namespace) -> None:
    """Exit with status 2 if an option is out of range."""
    if not 1 <= options.nodes <= MAX_NODES:
        parser.error(f"--nodes must be from 1 to {MAX_NODES}, is {options.nodes}")
    if not 0.0 <= options.rate <= MAX_FAULTS_PER_S:
        parser.error(f"--rate must be from 0 to {MAX_FAULTS_PER_S:.0f}, is {options.rate:g}")
    if not MIN_SECONDS <= options.seconds <= MAX_SECONDS:
        parser.error(f"--seconds must be from {MIN_SECONDS:.0f} to {MAX_SECONDS:.0f}, is {options.seconds:g}")


def choose_schedule(options: argparse.Namespace) -> Schedule:
    """Load or draw the schedule that the options select; raises `ScheduleError`."""
    if options.schedule is not None:
        return load_schedule(options.schedule)
    kinds = parse_kinds(options.kinds) if options.kinds else frozenset(FaultKind)
    servers = server_count(options.nodes)
    return draw_schedule(
        options.seed, options.seconds, options.nodes, servers, kinds, faults_per_s=options.rate
    )


def load_schedule(path: Path) -> Schedule:
    """Read a schedule from a file; raises `ScheduleError`."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as problem:
        raise ScheduleError(f"--schedule: can't read the file: {problem}") from None
    return read_schedule(text)


def parse_kinds(text: str) -> frozenset[FaultKind]:
    """Parse comma-separated kinds of fault; raises `ScheduleError`."""
    try:
        return frozenset(FaultKind(name) for name in text.split(","))
    except ValueError as problem:
        known_kinds = ", ".join(kind.value for kind in FaultKind)
        raise ScheduleError(f"--kinds: {problem}; the known kinds are {known_kinds}") from None


def print_result(result: Result) -> None:
    """Print one line for each violation and one with the totals of the run."""
    for violation in result.violations:
        print(json.dumps(asdict(violation) | {"rule": violation.rule.value}), flush=True)
    summary = {
        "violations": len(result.violations),
        "requests": result.requests,
        "attempts": result.attempts,
        "answers": result.answers,
        "shim": result.has_shim,
        "worst_lag_s": round(result.worst_lag_s, 3),
    }
    print(json.dumps(summary), flush=True)


def shrink_and_print(schedule: Schedule, result: Result, root: Path) -> None:
    """Search for a smaller schedule that breaks one of the same rules, and print it."""
    rules = {violation.rule for violation in result.violations}

    def breaks_rule(candidate: Schedule) -> bool:
        return bool(rules & {violation.rule for violation in play(candidate, root).violations})

    smallest, plays = shrink(schedule, breaks_rule, MAX_SHRINK_PLAYS)
    print(json.dumps({"plays": plays, "faults": len(smallest.faults)}), flush=True)
    print(smallest.to_json(), flush=True)


def main(arguments: list[str]) -> int:
    """Run the soak and return the exit status."""
    options = parse_arguments(arguments)
    try:
        schedule = choose_schedule(options)
        node_module(options.root)  # fails early if the checkout can't be started
    except (ScheduleError, CheckoutError) as problem:
        print(f"soak: {problem}", file=sys.stderr)
        return 2
    print(schedule.to_json(), flush=True)
    result = play(schedule, options.root)
    print_result(result)
    if result.violations and options.shrink:
        shrink_and_print(schedule, result, options.root)
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
