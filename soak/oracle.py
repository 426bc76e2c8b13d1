"""Checks the rules by what crosses the sockets of callers, servers and discovery.

Times are seconds on the soak's monotonic clock. `slack_s` says by how much the soak itself, or a node that is
held up on purpose, may be late; every limit in time is widened by it.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from soak import settings
from soak.settings import EFFECTS, Effect

TIME_SLACK_S = 0.05  # of every limit in time
BUDGET_SLACK_S = 0.15  # by which the time that a server is told may exceed what is left
GONE_S = 0.1  # after its caller has closed, no attempt of a request may begin
ANSWER_GRACE_S = 0.5  # after its time, in which an answer earns nothing and is not lost
PEER_S = 3.0  # in which whoever sends no proper request is owed an error or a close
OVERLAP_CHECK_S = 0.1  # after which the end of an earlier attempt must have been seen
SMALL_COUNT = 30.0  # under which a cold server is allowed a wider margin
TOLD_SHARE = 2.0 / 3.0  # of what overloads a cold server has to come from nodes that were told of its start


class Rule(Enum):
    """What a run must not break."""

    LOST = "lost"  # no final answer, or one that no server made
    DUPLICATE = "duplicate"  # run more often than its class allows, or two attempts at once
    DRAIN = "drain"  # sent to a server that was told to be leaving or gone
    FAILBACK = "failback"  # a cold server overloaded
    GONE = "gone"  # sent for a caller that had closed
    DEADLINE = "deadline"  # a server told more time than was left
    PEER = "peer"  # no error and no close for whoever sent no proper request
    CRASH = "crash"  # a process that ended unasked, did not get ready, or did not end
    INVARIANT = "invariant"  # the node's own count


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule."""

    rule: Rule
    request: str  # its id, or what else it is about
    at_s: float
    detail: str
    faults: tuple[str, ...]  # active then


@dataclass(eq=False, slots=True)
class AttemptRecord:
    """A copy of a request that arrived whole at a server's machine."""

    request: str
    server: str
    group: int
    first_byte_s: float
    last_byte_s: float
    closed_s: float | None = None  # answered, or its connection has ended
    refused: bool = False
    body: bytes | None = None  # of the answer that the server made for it


@dataclass(eq=False, slots=True)
class RequestRecord:
    """A request as its caller sent it."""

    id: str
    kind: str
    node: int
    sent_s: float
    budget_s: float
    left_s: float = math.inf  # when its caller closed
    answered: bool = False
    attempts: list[AttemptRecord] = field(default_factory=list)


class Oracle:
    """The books of a run, and the rules broken so far."""

    def __init__(
        self, now_s: Callable[[], float], active: Callable[[], tuple[str, ...]], capacity: float
    ) -> None:
        self._now_s, self._active = now_s, active
        self._capacity = capacity  # of a warm server, in requests a second
        self.slack_s = 0.0
        self.held_up_s = 0.0  # by which a fault holds nodes up between reading their clock and writing
        self.violations: list[Violation] = []
        self.requests: dict[str, RequestRecord] = {}
        self.answers: defaultdict[int, int] = defaultdict(int)  # by status
        self._told_away: dict[tuple[int, str], float] = {}  # node and server: when it counts as told
        self._told_start: dict[tuple[int, str], float] = {}  # the start that a node has been told of
        self._started: dict[str, float] = {}  # servers' last starts; none for those up from the beginning
        self._arrivals: defaultdict[str, deque[tuple[float, int]]] = defaultdict(deque)

    def report(self, rule: Rule, request: str, detail: str) -> None:
        """Note a broken rule."""
        known = self.requests.get(request)
        if known is not None:
            sent_s = self._now_s() - known.sent_s
            detail += f" (node {known.node}, {known.kind}, {known.budget_s:.3f} s, sent {sent_s:.3f} s ago)"
        self.violations.append(Violation(rule, request, self._now_s(), detail, self._active()))

    # Discovery

    def told(self, node: int, server: str, away: bool, started_s: float | None, counts_s: float) -> None:
        """What discovery has written to a node, or what counts as told all the same."""
        if not away:
            self._told_away.pop((node, server), None)
        elif (node, server) not in self._told_away:
            self._told_away[node, server] = counts_s
        else:
            self._told_away[node, server] = min(counts_s, self._told_away[node, server])
        if started_s is not None:
            self._told_start[node, server] = started_s

    def node_restarted(self, node: int) -> None:
        """A new process knows only what it is told from now on."""
        for key in [key for key in self._told_away if key[0] == node]:
            del self._told_away[key]
        for key in [key for key in self._told_start if key[0] == node]:
            del self._told_start[key]

    def server_started(self, server: str) -> None:
        """A server has started cold."""
        self._started[server] = self._now_s()
        self._arrivals[server].clear()

    def warm_share(self, server: str, at_s: float) -> float:
        """The share of its capacity that a server has by now."""
        age_s = at_s - self._started.get(server, -math.inf)
        ramp = min(1.0, age_s / settings.RAMP_S)
        return settings.START_CAPACITY + (1.0 - settings.START_CAPACITY) * ramp

    # Callers

    def request_sent(self, id: str, kind: str, node: int, budget_s: float) -> None:
        """A caller has written a request's last byte."""
        self.requests[id] = RequestRecord(id, kind, node, self._now_s(), budget_s)

    def request_resent(self, id: str) -> None:
        """A caller sends a request once more, whose connection ended as it was sent."""
        self.requests[id].sent_s = self._now_s()

    def caller_left(self, id: str) -> None:
        """A caller has closed with this request in work."""
        self.requests[id].left_s = self._now_s()

    def answered(self, id: str, status: int, body: bytes) -> None:
        """A caller has read an answer whole."""
        request = self.requests[id]
        self.answers[status] += 1
        if request.answered:
            self.report(Rule.LOST, id, "answered twice")
        request.answered = True
        late_s = self._now_s() - request.sent_s - request.budget_s
        if late_s > ANSWER_GRACE_S + TIME_SLACK_S + self.slack_s:
            self.report(Rule.LOST, id, f"answered {late_s:.3f} s after its time")
        if status == 200 and body not in [attempt.body for attempt in request.attempts]:
            self.report(Rule.LOST, id, "served with something that no server made for it")

    def unanswered(self, id: str, why: str) -> None:
        """A caller has no answer, and will get none."""
        self.report(Rule.LOST, id, why)

    def forwarded(self, id: str) -> bool:
        """Whether an attempt of a request has arrived at a server."""
        return bool(self.requests[id].attempts)

    # Servers

    def attempt_began(self, server: str, node: int | None, at_s: float) -> None:
        """The first byte of a request for a server has come from a node."""
        if node is None:
            return
        told_s = self._told_away.get((node, server))
        if told_s is not None and at_s > told_s + settings.DRAIN_GRACE_S + self._slack():
            self.report(Rule.DRAIN, server, f"sent by node {node} {at_s - told_s:.3f} s after it was told")

    def attempt_arrived(self, id: str, kind: str, attempt: AttemptRecord, budget_s: float) -> None:
        """The last byte of an attempt has come."""
        request = self.requests.get(id)
        if request is None or request.kind != kind:
            return self.report(Rule.DUPLICATE, id, "no caller sent this request")
        self._check_deadline(request, attempt, budget_s)
        self._check_repeat(request, attempt)
        self._check_cold(request.node, attempt)
        request.attempts.append(attempt)

    def _slack(self) -> float:
        return TIME_SLACK_S + self.slack_s + self.held_up_s

    def _check_deadline(self, request: RequestRecord, attempt: AttemptRecord, budget_s: float) -> None:
        left_s = request.sent_s + request.budget_s - attempt.first_byte_s
        if budget_s > max(0.0, left_s) + BUDGET_SLACK_S + self._slack():
            self.report(Rule.DEADLINE, request.id, f"{budget_s:.3f} s stated where {left_s:.3f} s were left")
        since_s = attempt.first_byte_s - request.left_s
        if since_s > GONE_S + self._slack():
            self.report(Rule.GONE, request.id, f"sent {since_s:.3f} s after its caller had closed")

    def _check_repeat(self, request: RequestRecord, attempt: AttemptRecord) -> None:
        if len(request.attempts) >= settings.MAX_ATTEMPTS:
            self.report(Rule.DUPLICATE, request.id, f"attempt {len(request.attempts) + 1}")
        ran = [earlier for earlier in request.attempts if not earlier.refused]
        if not ran:
            return
        effect = EFFECTS[request.kind]
        if effect is Effect.UNSAFE:
            self.report(Rule.DUPLICATE, request.id, "unsafe, and an earlier attempt may have run")
        elif effect is Effect.KEYED:
            after_s = attempt.last_byte_s - ran[0].last_byte_s
            if attempt.group != ran[0].group:
                self.report(Rule.DUPLICATE, request.id, "keyed, and sent to another group")
            elif after_s > settings.KEY_WINDOW_MS / 1000.0 + self._slack():
                self.report(Rule.DUPLICATE, request.id, f"keyed, and sent again after {after_s:.3f} s")

    def check_overlap(self, attempt: AttemptRecord) -> None:
        """Some time after an attempt's arrival: the earlier ones must have ended before it."""
        request = self.requests.get(attempt.request)
        if request is None:
            return
        for earlier in request.attempts:
            if earlier is attempt:
                return
            if earlier.closed_s is None or earlier.closed_s > attempt.last_byte_s + self._slack():
                self.report(Rule.DUPLICATE, request.id, "two attempts out at once")

    def _check_cold(self, node: int, attempt: AttemptRecord) -> None:
        started_s = self._started.get(attempt.server)
        age_s = attempt.last_byte_s - started_s if started_s is not None else math.inf
        if started_s is None or age_s > settings.RAMP_S:
            return
        arrivals = self._arrivals[attempt.server]
        arrivals.append((attempt.last_byte_s, node))
        while arrivals[0][0] < attempt.last_byte_s - settings.OVERLOAD_FOR_S:
            arrivals.popleft()
        share = self.warm_share(attempt.server, attempt.last_byte_s)
        allowed = settings.OVERLOAD_FACTOR * self._capacity * share * settings.OVERLOAD_FOR_S
        small = allowed < SMALL_COUNT
        most = allowed + (3.0 if small else 2.0) * math.sqrt(allowed) + (3.0 if small else 2.0)
        told = sum(self._told_start.get((by, attempt.server)) == started_s for _, by in arrivals)
        if len(arrivals) > most and told > TOLD_SHARE * len(arrivals):
            self.report(Rule.FAILBACK, attempt.server, f"{len(arrivals)} attempts in a window of {most:.1f}")
            arrivals.clear()
