"""What the oracle records: requests, their attempts, and the rules that were broken."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Rule(Enum):
    """What a run must not break; the value is the rule's name in the JSON lines."""

    LOST = "lost"  # no final answer, or one that no server made
    DUPLICATE = "duplicate"  # run more often than its class allows, or two attempts in flight at once
    DRAIN = "drain"  # sent to a server that the node was notified to be draining or removed
    SLOW_START = "failback"  # a server that is warming up was overloaded
    DISCONNECTED = "gone"  # sent for a client that had closed
    DEADLINE = "deadline"  # a server was given more time than was left
    PEER = "peer"  # no error and no close for a client that sent no proper request
    CRASH = "crash"  # a process that ended unasked, did not get ready, or did not end
    INVARIANT = "invariant"  # the node's own count


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule; the names are the keys of its JSON line."""

    rule: Rule
    request: str  # its id, or what else it is about
    at_s: float
    detail: str
    faults: tuple[str, ...]  # active then


@dataclass(eq=False, slots=True)
class AttemptRecord:
    """An attempt that arrived complete at a server's machine."""

    request_id: str
    server: str
    group: int
    first_byte_at_s: float
    last_byte_at_s: float
    closed_at_s: float | None = None  # answered, or its connection has ended
    was_rejected: bool = False
    body: bytes | None = None  # of the answer that the server made for it


@dataclass(eq=False, slots=True)
class RequestRecord:
    """A request as its client sent it."""

    request_id: str
    class_name: str
    node: int
    sent_at_s: float
    budget_s: float
    disconnected_at_s: float = math.inf  # when its client closed
    is_answered: bool = False
    attempts: list[AttemptRecord] = field(default_factory=list)

    def executed_attempts(self) -> list[AttemptRecord]:
        """The attempts that may have run, in order of arrival."""
        return [attempt for attempt in self.attempts if not attempt.was_rejected]
