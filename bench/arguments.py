"""Parses the command line of the bench."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from pathlib import Path

from bench.server_state import ServerState
from standins.checkout import ROOT, CheckoutError, node_module

DECISIONS_SERVER_COUNTS = (15, 60, 240, 960, 3200)
CALLS_SERVER_COUNTS = (30, 480)
MAX_SERVERS = 10_000
REPLICA_COUNTS = (1, 4, 16)
MAX_REPLICAS = 1000
MAX_CALLS = 100_000
MAX_RATE_PER_S = 1000.0
MAX_SECONDS = 120.0
MAX_ROUNDS = 20
STATE_NAMES = ", ".join(state.value for state in ServerState)


def integer_list(maximum: int) -> Callable[[str], list[int]]:
    """Return a parser of comma-separated integers from 1 to `maximum`; it raises `ArgumentTypeError`."""

    def parse(text: str) -> list[int]:
        try:
            values = [int(part) for part in text.split(",")]
        except ValueError:
            raise argparse.ArgumentTypeError(
                f"must be comma-separated whole numbers, is {text!r:.60}"
            ) from None
        if not all(1 <= value <= maximum for value in values):
            raise argparse.ArgumentTypeError(f"must be from 1 to {maximum}, is {text!r:.60}")
        return values

    return parse


def integer(maximum: int) -> Callable[[str], int]:
    """Return a parser of an integer from 1 to `maximum`; it raises `ArgumentTypeError`.

    Of a comma-separated list, it returns the first integer.
    """
    parse_list = integer_list(maximum)
    return lambda text: parse_list(text)[0]


def number(minimum: float, maximum: float) -> Callable[[str], float]:
    """Return a parser of a number from `minimum` to `maximum`; it raises `ArgumentTypeError`."""

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise argparse.ArgumentTypeError(f"must be a number, is {text!r:.60}") from None
        if not minimum <= value <= maximum:
            raise argparse.ArgumentTypeError(f"must be from {minimum:g} to {maximum:g}, is {text!r:.60}")
        return value

    return parse


def server_states(text: str) -> list[ServerState]:
    """Parse comma-separated states of servers; raises `ArgumentTypeError`."""
    try:
        return [ServerState(part) for part in text.split(",")]
    except ValueError as problem:
        raise argparse.ArgumentTypeError(f"{problem}; the known states are {STATE_NAMES}") from None


def checkout(text: str) -> Path:
    """Parse the path of a checkout of the program; raises `ArgumentTypeError`."""
    path = Path(text).resolve()
    try:
        module = node_module(path)
    except CheckoutError as problem:
        raise argparse.ArgumentTypeError(f"{text!r:.200}: {problem}") from None
    if not (path / module.partition(".")[0]).is_dir():
        raise argparse.ArgumentTypeError(
            f"{text!r:.200} has no package that contains the node's module {module}"
        )
    return path


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line; exits with status 2 if it is invalid."""
    parser = argparse.ArgumentParser(
        prog="bench", description="Measure the cost of a call, by the number of servers."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    _add_decisions(commands.add_parser("decisions", help="the decision module alone, in simulated time"))
    _add_calls(
        commands.add_parser("calls", help="a real node between a client and simulated servers, on loopback")
    )
    return parser.parse_args(arguments)


def _add_decisions(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--servers", type=integer_list(MAX_SERVERS), default=list(DECISIONS_SERVER_COUNTS))
    parser.add_argument("--copies", type=integer_list(MAX_REPLICAS), default=list(REPLICA_COUNTS))
    parser.add_argument(
        "--states", type=server_states, default=list(ServerState), help="comma-separated: " + STATE_NAMES
    )
    parser.add_argument("--calls", type=integer(MAX_CALLS), default=1500)
    parser.add_argument("--root", type=checkout, default=ROOT, help="the checkout that is measured")


def _add_calls(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--servers", type=integer_list(MAX_SERVERS), default=list(CALLS_SERVER_COUNTS))
    parser.add_argument("--rate", type=number(1.0, MAX_RATE_PER_S), default=160.0, help="calls per second")
    parser.add_argument("--seconds", type=number(1.0, MAX_SECONDS), default=10.0)
    parser.add_argument(
        "--rounds", type=integer(MAX_ROUNDS), default=1, help="number of runs per server count"
    )
    parser.add_argument("--root", type=checkout, default=ROOT, help="the checkout that is measured")
