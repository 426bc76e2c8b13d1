"""The oracle's records: requests, their attempts, and violations of the rules."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Rule(Enum):
    """The rules of a run; the value is the rule's name in the JSON lines."""

    LOST = "lost"  # no answer, a late one, a second one, or a body that no server sent
    DUPLICATE = "duplicate"  # an attempt that the class does not allow, or two attempts in flight at once
    DRAIN = "drain"  # an attempt was sent after the node was notified of the server's drain or removal
    SLOW_START = "failback"  # a server was overloaded during its slow start
    DISCONNECTED = "gone"  # an attempt was sent after the client had disconnected
    DEADLINE = "deadline"  # the X-Budget sent to a server exceeds the remaining time
    PEER = "peer"  # an invalid request got neither an error nor a close
    CRASH = "crash"  # a process ended unexpectedly or with an error, or did not become ready
    INVARIANT = "invariant"  # a violation that the node itself logged


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule; the field names are the keys of its JSON line."""

    rule: Rule
    request: str  # a request's id, or the name of the server, node or input concerned
    at_s: float
    detail: str
    faults: tuple[str, ...]  # the faults that were active at that time, as KIND@TARGET


@dataclass(eq=False, slots=True)
class AttemptRecord:
    """An attempt that has arrived completely at a server's machine."""

    request_id: str
    server: str
    group: int
    first_byte_at_s: float
    last_byte_at_s: float
    ended_at_s: float | None = None  # time of the answer or of the connection's end
    was_rejected: bool = False
    body: bytes | None = None  # body of the server's answer; None without a complete 200


@dataclass(eq=False, slots=True)
class RequestRecord:
    """A request as its client sent it."""

    request_id: str
    class_name: str
    node: int
    sent_at_s: float
    budget_s: float
    disconnected_at_s: float = math.inf
    is_answered: bool = False
    attempts: list[AttemptRecord] = field(default_factory=list)

    def executed_attempts(self) -> list[AttemptRecord]:
        """Return the attempts that may have run, in order of arrival."""
        return [attempt for attempt in self.attempts if not attempt.was_rejected]
