"""Fault schedules: draws them from a seed, and writes and reads them as JSON.

A schedule determines all faults of a run, so that the run can be repeated and the schedule reduced.
"""

from __future__ import annotations

import json
import random
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any


class FaultKind(Enum):
    """One kind of fault; the target is the number of a node or server. Saved schedules contain the values."""

    # Nodes
    NODE_STOP = "node_stop"  # SIGTERM, and a new process once it has ended
    NODE_KILL = "node_kill"  # SIGKILL, and a new process
    NODE_PAUSE = "node_pause"  # SIGSTOP, and SIGCONT at the end
    NODE_RELOAD = "node_reload"  # SIGHUP with another discovery address
    NODE_RELOADS = "node_reloads"  # SIGHUP repeatedly
    NODE_BAD_RELOAD = "node_bad_reload"  # SIGHUP with an invalid file
    NODE_SIGNALS = "node_signals"  # SIGHUP and SIGTERM in a series, and a new process once it has ended
    NODE_LATE_LIST = "node_late_list"  # SIGKILL, and later a new process, which gets its first list late
    # A node's clock, system calls and log
    CLOCK_STEP = "clock_step"  # the wall clock steps forward or back
    ACCEPT_FAILS = "accept_fails"  # EMFILE, ENFILE, ECONNABORTED
    SOCKET_FAILS = "socket_fails"  # EMFILE for new sockets
    LOG_FAILS = "log_fails"  # ENOSPC or EIO for writes to standard error
    LOG_STALLS = "log_stalls"  # standard error is not read
    # Servers
    SERVER_DRAIN = "server_drain"  # listed as draining, later as removed
    SERVER_RESTART = "server_restart"  # connections are reset, and the server returns cold
    SERVER_HANG = "server_hang"  # requests are read and not answered
    SERVER_SLOW = "server_slow"  # answers are delayed by a multiple of the service time
    SERVER_ERRORS = "server_errors"  # answers with status 500
    SERVER_REFUSES = "server_refuses"  # answers with status 503 and X-Rejected
    SERVER_NO_LENGTH = "server_no_length"  # answers that end with the connection
    SERVER_SECOND_ANSWER = "server_second_answer"  # an unsolicited answer, a few milliseconds late
    SERVER_GARBAGE = "server_garbage"  # answers that are not HTTP, or truncated
    # The proxy in front of each server
    PROXY_HOLD = "proxy_hold"  # bytes are held, connections stay open
    PROXY_SPLIT = "proxy_split"  # bytes arrive in small pieces
    PROXY_RESET = "proxy_reset"  # connections are reset when a request on them is complete
    PROXY_CLOSES_IDLE = "proxy_closes_idle"  # connections are closed right after an answer
    # The discovery agents of one node
    AGENT_SILENT = "agent_silent"  # requests are read and not answered
    AGENT_DOWN = "agent_down"  # connections are reset, including new ones
    AGENT_SLOW = "agent_slow"  # answers are delayed and sent in pieces
    AGENT_RESETS = "agent_resets"  # open connections, also those of watches, are reset once
    AGENT_FRAMING = "agent_framing"  # answers without a length, or in chunks
    # Clients
    CALLERS_LEAVE = "callers_leave"  # clients disconnect with requests in flight
    CALLERS_FLOOD = "callers_flood"  # many requests in one write
    CALLERS_GARBAGE = "callers_garbage"  # invalid requests, alone or after a valid one
    CALLERS_HALF = "callers_half"  # clients stop in the middle of a request
    CALLERS_IDLE = "callers_idle"  # many connections without a request
    CALLERS_CROWD = "callers_crowd"  # many clients stop in the middle of a long request


SERVER_KINDS = frozenset(kind for kind in FaultKind if kind.value.startswith(("server_", "proxy_")))
# The faults that end a node's process and start a new one.
RESTART_KINDS = frozenset(
    (FaultKind.NODE_STOP, FaultKind.NODE_KILL, FaultKind.NODE_SIGNALS, FaultKind.NODE_LATE_LIST)
)
# Each of these is added to a run with this probability; the other kinds are drawn for each fault.
PROBABILITY_PER_RUN = {
    FaultKind.NODE_SIGNALS: 0.5,
    FaultKind.CALLERS_CROWD: 0.3,
    FaultKind.NODE_LATE_LIST: 0.5,
}
# A node can't answer in time while it is paused or can't accept or open connections. Longer faults of these
# kinds would make answers so late that they count as lost.
MAX_DURATION_S = {FaultKind.NODE_PAUSE: 0.15, FaultKind.SOCKET_FAILS: 1.0, FaultKind.ACCEPT_FAILS: 0.4}
MIN_DURATION_S = 0.05
DEFAULT_MAX_DURATION_S = 4.0
FAULTS_PER_S = 1.5
QUIET_START_S = 1.0  # no fault starts in this time after the start of the run
QUIET_END_S = 2.0  # no fault starts in this time before the end of the run


class ScheduleError(Exception):
    """Raised for a schedule that can't be played; the message gives the reason in one line."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: its kind, start, duration, and the number of the node or server that it affects."""

    kind: FaultKind
    at_s: float
    lasts_s: float
    target: int


@dataclass(frozen=True, slots=True)
class Schedule:
    """A run: its seed, duration, number of nodes, and faults ordered by start."""

    seed: int
    seconds: float
    nodes: int
    faults: tuple[Fault, ...]

    def to_json(self) -> str:
        """Return the schedule as JSON, the format of saved schedules."""
        return json.dumps(asdict(self), default=lambda kind: kind.value)

    def active(self, at_s: float) -> list[Fault]:
        """Return the faults that are active `at_s` seconds into the run."""
        return [fault for fault in self.faults if fault.at_s <= at_s <= fault.at_s + fault.lasts_s]


def draw_schedule(
    seed: int,
    seconds: float,
    nodes: int,
    servers: int,
    kinds: frozenset[FaultKind],
    *,
    faults_per_s: float = FAULTS_PER_S,
) -> Schedule:
    """Draw a schedule of overlapping faults; the same arguments give the same schedule."""
    rng = random.Random(seed)
    ordered = sorted(kinds - PROBABILITY_PER_RUN.keys(), key=lambda kind: kind.value)
    count = round(faults_per_s * max(0.0, seconds - QUIET_END_S - QUIET_START_S)) if ordered else 0
    faults = []
    for _ in range(count):
        faults.append(_draw_fault(rng, rng.choice(ordered), seconds, nodes, servers))
    for kind, probability in PROBABILITY_PER_RUN.items():
        if kind in kinds and rng.random() < probability:
            faults.append(_draw_fault(rng, kind, seconds, nodes, servers))
    return Schedule(seed, seconds, nodes, tuple(sorted(faults, key=lambda fault: fault.at_s)))


def _draw_fault(rng: random.Random, kind: FaultKind, seconds: float, nodes: int, servers: int) -> Fault:
    """Draw the time, duration and target of a fault."""
    lasts_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S.get(kind, DEFAULT_MAX_DURATION_S))
    at_s = rng.uniform(QUIET_START_S, seconds - QUIET_END_S)
    targets = servers if kind in SERVER_KINDS else nodes
    return Fault(kind, round(at_s, 3), round(lasts_s, 3), rng.randrange(targets))


def read_schedule(text: str) -> Schedule:
    """Parse a schedule that `to_json` wrote; raises `ScheduleError` if the text is not a schedule."""
    try:
        obj: dict[str, Any] = json.loads(text)
        faults = tuple(
            Fault(FaultKind(item["kind"]), float(item["at_s"]), float(item["lasts_s"]), int(item["target"]))
            for item in obj["faults"]
        )
        return Schedule(int(obj["seed"]), float(obj["seconds"]), int(obj["nodes"]), faults)
    except (ValueError, TypeError, KeyError) as problem:
        raise ScheduleError(f"not a schedule: {type(problem).__name__}: {problem!s:.100}") from None
