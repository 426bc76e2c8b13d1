"""Command line of the bench: the options of `decisions` and `calls`, and their limits."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from pathlib import Path

from bench.server_state import ServerState
from standins.checkout import ROOT, CheckoutError, node_module

SERVER_COUNTS = (15, 60, 240, 960, 3200)
CALLS_SERVER_COUNTS = (30, 480)
MAX_SERVERS = 10_000
REPLICA_COUNTS = (1, 4, 16)
MAX_REPLICAS = 1000
MAX_CALLS = 100_000
MAX_RATE_PER_S = 1000.0
MAX_SECONDS = 120.0
MAX_ROUNDS = 20
STATE_NAMES = ", ".join(state.value for state in ServerState)


def whole_numbers(maximum: int) -> Callable[[str], list[int]]:
    """A reader of whole numbers from 1 on with commas between them; it raises `ArgumentTypeError`."""

    def read(text: str) -> list[int]:
        try:
            values = [int(part) for part in text.split(",")]
        except ValueError:
            raise argparse.ArgumentTypeError(f"{text!r:.60} is no list of whole numbers") from None
        if not all(1 <= value <= maximum for value in values):
            raise argparse.ArgumentTypeError(f"{text!r:.60}: each must be from 1 to {maximum}")
        return values

    return read


def whole_number(maximum: int) -> Callable[[str], int]:
    """A reader of the first of such numbers; it raises `ArgumentTypeError`."""
    read_all = whole_numbers(maximum)
    return lambda text: read_all(text)[0]


def number(minimum: float, maximum: float) -> Callable[[str], float]:
    """A reader of a number within limits; it raises `ArgumentTypeError`."""

    def read(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise argparse.ArgumentTypeError(f"{text!r:.60} is no number") from None
        if not minimum <= value <= maximum:
            raise argparse.ArgumentTypeError(f"{text!r:.60} is not from {minimum:g} to {maximum:g}")
        return value

    return read


def server_states(text: str) -> list[ServerState]:
    """States of servers with commas between them; raises `ArgumentTypeError`."""
    try:
        return [ServerState(part) for part in text.split(",")]
    except ValueError as problem:
        raise argparse.ArgumentTypeError(f"{problem}; known are {STATE_NAMES}") from None


def checkout(text: str) -> Path:
    """A folder that holds the program; raises `ArgumentTypeError`."""
    path = Path(text).resolve()
    try:
        module = node_module(path)
    except CheckoutError as problem:
        raise argparse.ArgumentTypeError(f"{text!r:.200}: {problem}") from None
    if not (path / module.partition(".")[0]).is_dir():
        raise argparse.ArgumentTypeError(f"{text!r:.200} holds no program")
    return path


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Read the command line; ends the process with status 2 where it can't be used."""
    parser = argparse.ArgumentParser(prog="bench", description="What a call costs, by the number of servers.")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_decisions(commands.add_parser("decisions", help="the decision module alone, in simulated time"))
    _add_calls(commands.add_parser("calls", help="a real node between a client and servers, on loopback"))
    return parser.parse_args(arguments)


def _add_decisions(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--servers", type=whole_numbers(MAX_SERVERS), default=list(SERVER_COUNTS))
    parser.add_argument("--copies", type=whole_numbers(MAX_REPLICAS), default=list(REPLICA_COUNTS))
    parser.add_argument(
        "--states", type=server_states, default=list(ServerState), help="with commas: " + STATE_NAMES
    )
    parser.add_argument("--calls", type=whole_number(MAX_CALLS), default=1500)
    parser.add_argument("--root", type=checkout, default=ROOT, help="the checkout that is measured")


def _add_calls(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--servers", type=whole_numbers(MAX_SERVERS), default=list(CALLS_SERVER_COUNTS))
    parser.add_argument("--rate", type=number(1.0, MAX_RATE_PER_S), default=160.0, help="a second")
    parser.add_argument("--seconds", type=number(1.0, MAX_SECONDS), default=10.0)
    parser.add_argument("--rounds", type=whole_number(MAX_ROUNDS), default=1, help="sizes in turn, so often")
    parser.add_argument("--root", type=checkout, default=ROOT, help="the checkout that is measured")
