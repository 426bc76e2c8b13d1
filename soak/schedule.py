"""Which faults a run meets, and when: drawn from a seed, written to a file, read back.

All faults of a run follow from its schedule, so that it can be played again and cut short.
"""

from __future__ import annotations

import json
import random
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any


class FaultKind(Enum):
    """One kind of fault; the target is a node's or a server's number. The values stand in saved schedules."""

    # Nodes
    NODE_STOP = "node_stop"  # SIGTERM, and a new process once it has ended
    NODE_KILL = "node_kill"  # SIGKILL, and a new process
    NODE_PAUSE = "node_pause"  # SIGSTOP and SIGCONT: the process is held up
    NODE_RELOAD = "node_reload"  # SIGHUP with another address of discovery
    NODE_RELOADS = "node_reloads"  # SIGHUP repeatedly
    NODE_BAD_RELOAD = "node_bad_reload"  # SIGHUP with a file that can't be used
    # What the shim does to a node's system calls
    CLOCK_STEP = "clock_step"  # the wall clock is stepped forward, or back
    ACCEPT_FAILS = "accept_fails"  # EMFILE, ENFILE, ECONNABORTED
    SOCKET_FAILS = "socket_fails"  # EMFILE for new sockets
    LOG_FAILS = "log_fails"  # ENOSPC or EIO for writes to standard error
    LOG_STALLS = "log_stalls"  # nobody reads standard error
    # Servers
    SERVER_DRAIN = "server_drain"  # listed as draining, later as removed
    SERVER_RESTART = "server_restart"  # resets, and returns cold
    SERVER_HANG = "server_hang"  # accepts and reads, and never answers
    SERVER_SLOW = "server_slow"
    SERVER_ERRORS = "server_errors"  # 500
    SERVER_REFUSES = "server_refuses"  # 503 with X-Rejected
    SERVER_NO_LENGTH = "server_no_length"  # answers that end with the connection
    SERVER_SECOND_ANSWER = "server_second_answer"  # one more, some milliseconds late
    SERVER_GARBAGE = "server_garbage"  # answers that are no HTTP, or cut short
    # The proxy before each server
    PROXY_HOLD = "proxy_hold"  # bytes stop, connections stay open
    PROXY_SPLIT = "proxy_split"  # bytes come in small pieces
    PROXY_RESET = "proxy_reset"  # connections are reset under requests
    PROXY_CLOSES_IDLE = "proxy_closes_idle"  # right after an answer
    # Discovery, as one node's agent has it
    AGENT_SILENT = "agent_silent"  # calls are read and not answered
    AGENT_DOWN = "agent_down"  # connections are reset, new ones too
    AGENT_SLOW = "agent_slow"  # answers in pieces, after a while
    AGENT_RESETS = "agent_resets"  # open watches are reset once
    AGENT_FRAMING = "agent_framing"  # answers with no length, or in chunks
    # Clients
    CALLERS_LEAVE = "callers_leave"  # disconnect with requests in flight
    CALLERS_FLOOD = "callers_flood"  # many requests in one write
    CALLERS_GARBAGE = "callers_garbage"  # also behind a good request
    CALLERS_HALF = "callers_half"  # stop in the middle of a request
    CALLERS_IDLE = "callers_idle"  # many connections without a request


SERVER_KINDS = frozenset(kind for kind in FaultKind if kind.value.startswith(("server_", "proxy_")))
# While nothing is accepted nothing is answered: for longer than an answer may be late it would be lost.
MAX_DURATION_S = {FaultKind.NODE_PAUSE: 0.15, FaultKind.SOCKET_FAILS: 1.0, FaultKind.ACCEPT_FAILS: 0.4}
MIN_DURATION_S = 0.05
DEFAULT_MAX_DURATION_S = 4.0
FAULTS_PER_S = 1.5
QUIET_START_S = 1.0  # without faults
QUIET_END_S = 2.0  # without the begin of a fault


class ScheduleError(Exception):
    """A schedule that can't be played; the text says in one line why."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: what, when it begins, how long it lasts, which node or server it hits."""

    kind: FaultKind
    at_s: float
    lasts_s: float
    target: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """A run: its length, its size, and its faults in order of time."""

    seed: int
    seconds: float
    nodes: int
    faults: tuple[Fault, ...]

    def to_json(self) -> str:
        """The schedule as a file holds it."""
        return json.dumps(asdict(self), default=lambda kind: kind.value)

    def active(self, at_s: float) -> list[Fault]:
        """The faults that are active at a moment of the run."""
        return [fault for fault in self.faults if fault.at_s <= at_s <= fault.at_s + fault.lasts_s]


def draw(
    seed: int,
    seconds: float,
    nodes: int,
    servers: int,
    kinds: frozenset[FaultKind],
    *,
    faults_per_s: float = FAULTS_PER_S,
) -> Schedule:
    """A schedule of overlapping faults, the same for the same arguments."""
    rng = random.Random(seed)
    ordered = sorted(kinds, key=lambda kind: kind.value)
    latest_s = seconds - QUIET_END_S
    faults = []
    for _ in range(round(faults_per_s * max(0.0, latest_s - QUIET_START_S))):
        kind = rng.choice(ordered)
        lasts_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S.get(kind, DEFAULT_MAX_DURATION_S))
        at_s = rng.uniform(QUIET_START_S, latest_s)
        targets = servers if kind in SERVER_KINDS else nodes
        faults.append(Fault(kind, round(at_s, 3), round(lasts_s, 3), rng.randrange(targets)))
    return Schedule(seed, seconds, nodes, tuple(sorted(faults, key=lambda fault: fault.at_s)))


def read_schedule(text: str) -> Schedule:
    """Read what `to_json` wrote; raises `ScheduleError` where it is none."""
    try:
        obj: dict[str, Any] = json.loads(text)
        faults = tuple(
            Fault(FaultKind(item["kind"]), float(item["at_s"]), float(item["lasts_s"]), int(item["target"]))
            for item in obj["faults"]
        )
        return Schedule(int(obj["seed"]), float(obj["seconds"]), int(obj["nodes"]), faults)
    except (ValueError, TypeError, KeyError) as problem:
        raise ScheduleError(f"not a schedule: {type(problem).__name__}: {problem!s:.100}") from None
