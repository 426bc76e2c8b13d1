"""Command line of the soak: `python -m soak --seed N --seconds S --nodes M`.

Prints the schedule, one JSON line for each broken rule and one at the end; exits with 1 if any rule broke,
with 2 if it can't be played as asked.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict
from pathlib import Path

from soak.run import Result, play, servers_for
from soak.schedule import FAULTS_PER_S, BadSchedule, FaultKind, Schedule, draw, read_schedule
from soak.shrink import shrink

MOST_NODES, MOST_SECONDS, MOST_RATE = 40, 600.0, 20.0
SHRINK_PLAYS = 40


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Read the command line; ends the process with status 2 where it can't be used."""
    parser = argparse.ArgumentParser(prog="soak", description="Real nodes under drawn faults, on loopback.")
    parser.add_argument("--seed", type=int, default=1, help="draws the schedule (default 1)")
    parser.add_argument("--seconds", type=float, default=20.0, help=f"length, at most {MOST_SECONDS:.0f}")
    parser.add_argument("--nodes", type=int, default=10, help=f"node processes, at most {MOST_NODES}")
    parser.add_argument("--rate", type=float, default=FAULTS_PER_S, help="faults a second")
    parser.add_argument("--kinds", help="only these kinds of fault, with commas between them")
    parser.add_argument("--schedule", type=Path, help="play this file's schedule instead of drawing one")
    parser.add_argument(
        "--shrink", action="store_true", help="if a rule breaks, look for fewer faults that do"
    )
    parser.add_argument("--root", type=Path, help="the checkout whose program is played (default: this one)")
    options = parser.parse_args(arguments)
    if not 1 <= options.nodes <= MOST_NODES:
        parser.error(f"--nodes must be from 1 to {MOST_NODES}")
    if not 0.0 <= options.rate <= MOST_RATE:
        parser.error(f"--rate must be from 0 to {MOST_RATE:.0f}")
    if not 4.0 <= options.seconds <= MOST_SECONDS:
        parser.error(f"--seconds must be from 4 to {MOST_SECONDS:.0f}")
    return options


def choose_schedule(options: argparse.Namespace) -> Schedule:
    """The schedule that the options ask for; raises `BadSchedule`."""
    if options.schedule is not None:
        try:
            return read_schedule(options.schedule.read_text(encoding="utf-8"))
        except OSError as problem:
            raise BadSchedule(f"can't read the schedule: {problem}") from None
    try:
        kinds = frozenset(FaultKind(name) for name in options.kinds.split(",")) if options.kinds else None
    except ValueError as problem:
        known = ", ".join(kind.value for kind in FaultKind)
        raise BadSchedule(f"--kinds: {problem}; known are {known}") from None
    servers = servers_for(options.nodes)
    return draw(
        options.seed, options.seconds, options.nodes, servers, kinds or frozenset(FaultKind), options.rate
    )


def print_result(result: Result) -> None:
    """One line for each violation, one for the run."""
    for violation in result.violations:
        print(json.dumps(asdict(violation) | {"rule": violation.rule.value}), flush=True)
    summary = {
        "violations": len(result.violations),
        "requests": result.requests,
        "attempts": result.attempts,
        "answers": result.answers,
        "shim": result.shimmed,
        "worst_lag_s": round(result.worst_lag_s, 3),
    }
    print(json.dumps(summary), flush=True)


def main(arguments: list[str]) -> int:
    """The program; its exit status."""
    options = parse_arguments(arguments)
    try:
        schedule = choose_schedule(options)
    except BadSchedule as problem:
        print(f"soak: {problem}", file=sys.stderr)
        return 2

    def play_it(candidate: Schedule) -> Result:
        return play(candidate, options.root) if options.root is not None else play(candidate)

    print(schedule.to_json(), flush=True)
    result = play_it(schedule)
    print_result(result)
    if result.violations and options.shrink:
        rules = {violation.rule for violation in result.violations}

        def breaks(candidate: Schedule) -> bool:
            return bool(rules & {violation.rule for violation in play_it(candidate).violations})

        shortest, plays = shrink(schedule, breaks, SHRINK_PLAYS)
        print(json.dumps({"plays": plays, "faults": len(shortest.faults)}), flush=True)
        print(shortest.to_json(), flush=True)
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
