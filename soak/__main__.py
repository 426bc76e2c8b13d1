"""Command line of the soak: `python -m soak --seed N --seconds S --nodes M`.

Prints the schedule, one JSON line for each broken rule and one at the end; exits with 1 if any rule broke,
with 2 if it can't be played as requested.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict
from pathlib import Path

from soak.run import Result, play, servers_for
from soak.schedule import FAULTS_PER_S, FaultKind, Schedule, ScheduleError, draw, read_schedule
from soak.shrink import shrink
from standins.checkout import ROOT, CheckoutError, node_module

MAX_NODES = 40
MIN_SECONDS = 4.0
MAX_SECONDS = 600.0
MAX_FAULTS_PER_S = 20.0
MAX_SHRINK_PLAYS = 40


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Read the command line; ends the process with status 2 where it can't be used."""
    parser = argparse.ArgumentParser(prog="soak", description="Real nodes under drawn faults, on loopback.")
    parser.add_argument("--seed", type=int, default=1, help="draws the schedule (default 1)")
    parser.add_argument("--seconds", type=float, default=20.0, help=f"length, at most {MAX_SECONDS:.0f}")
    parser.add_argument("--nodes", type=int, default=10, help=f"node processes, at most {MAX_NODES}")
    parser.add_argument("--rate", type=float, default=FAULTS_PER_S, help="faults a second")
    parser.add_argument("--kinds", help="only these kinds of fault, with commas between them")
    parser.add_argument("--schedule", type=Path, help="play this file's schedule instead of drawing one")
    parser.add_argument(
        "--shrink", action="store_true", help="if a rule breaks, look for fewer faults that do"
    )
    parser.add_argument(
        "--root", type=Path, default=ROOT, help="the checkout whose program is played (default: this one)"
    )
    options = parser.parse_args(arguments)
    check_limits(parser, options)
    return options


def check_limits(parser: argparse.ArgumentParser, options: argparse.Namespace) -> None:
    """End the process with status 2 where a number is out of its limits."""
    if not 1 <= options.nodes <= MAX_NODES:
        parser.error(f"--nodes must be from 1 to {MAX_NODES}")
    if not 0.0 <= options.rate <= MAX_FAULTS_PER_S:
        parser.error(f"--rate must be from 0 to {MAX_FAULTS_PER_S:.0f}")
    if not MIN_SECONDS <= options.seconds <= MAX_SECONDS:
        parser.error(f"--seconds must be from {MIN_SECONDS:.0f} to {MAX_SECONDS:.0f}")


def choose_schedule(options: argparse.Namespace) -> Schedule:
    """The schedule that the options ask for; raises `ScheduleError`."""
    if options.schedule is not None:
        return load_schedule(options.schedule)
    kinds = read_kinds(options.kinds) if options.kinds else frozenset(FaultKind)
    servers = servers_for(options.nodes)
    return draw(options.seed, options.seconds, options.nodes, servers, kinds, faults_per_s=options.rate)


def load_schedule(path: Path) -> Schedule:
    """Read a schedule's file; raises `ScheduleError`."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as problem:
        raise ScheduleError(f"can't read the schedule: {problem}") from None
    return read_schedule(text)


def read_kinds(text: str) -> frozenset[FaultKind]:
    """Kinds of fault with commas between them; raises `ScheduleError`."""
    try:
        return frozenset(FaultKind(name) for name in text.split(","))
    except ValueError as problem:
        known = ", ".join(kind.value for kind in FaultKind)
        raise ScheduleError(f"--kinds: {problem}; known are {known}") from None


def print_result(result: Result) -> None:
    """One line for each violation, one for the run."""
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


def print_shrunk(schedule: Schedule, result: Result, root: Path) -> None:
    """Look for fewer faults that break one of the same rules, and print their schedule."""
    rules = {violation.rule for violation in result.violations}

    def breaks_rule(candidate: Schedule) -> bool:
        return bool(rules & {violation.rule for violation in play(candidate, root).violations})

    shortest, plays = shrink(schedule, breaks_rule, MAX_SHRINK_PLAYS)
    print(json.dumps({"plays": plays, "faults": len(shortest.faults)}), flush=True)
    print(shortest.to_json(), flush=True)


def main(arguments: list[str]) -> int:
    """The program; its exit status."""
    options = parse_arguments(arguments)
    try:
        schedule = choose_schedule(options)
        node_module(options.root)  # a checkout that can not be started is refused before anything is played
    except (ScheduleError, CheckoutError) as problem:
        print(f"soak: {problem}", file=sys.stderr)
        return 2
    print(schedule.to_json(), flush=True)
    result = play(schedule, options.root)
    print_result(result)
    if result.violations and options.shrink:
        print_shrunk(schedule, result, options.root)
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
