"""Checks the rules by what crosses the sockets of clients, servers and discovery.

Times are seconds on the soak's monotonic clock. `slack_s` says by how much the soak itself, or a node that is
held up on purpose, may be late; every limit in time is widened by it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

from soak import settings
from soak.notifications import Notification, NotificationLog
from soak.records import AttemptRecord, RequestRecord, Rule, Violation
from soak.settings import IDEMPOTENCY_BY_CLASS, Idempotency
from soak.slow_start_check import Arrival, SlowStartCheck

__all__ = ["Oracle", "Rule"]

TIME_SLACK_S = 0.05  # of every limit in time
BUDGET_SLACK_S = 0.15  # by which the time that a server is given may exceed what is left
DISCONNECT_GRACE_S = 0.1  # after its client has closed, no attempt of a request may begin
ANSWER_GRACE_S = 0.5  # after its time, in which an answer earns nothing and is not lost
IMPROPER_REQUEST_LIMIT_S = 3.0  # in which whoever sends no proper request is owed an error or a close
OVERLAP_CHECK_S = 0.1  # after which the end of an earlier attempt must have been seen


class Oracle:
    """Records what happens in a run, and the rules broken so far."""

    def __init__(
        self, now_s: Callable[[], float], active_faults: Callable[[], tuple[str, ...]], capacity: float
    ) -> None:
        """`capacity` is that of a warm server, in requests a second."""
        self._now_s = now_s
        self._active_faults = active_faults
        self.slack_s = 0.0
        # By which a fault holds nodes up between reading their clock and writing.
        self.pause_allowance_s = 0.0
        self.violations: list[Violation] = []
        self.requests: dict[str, RequestRecord] = {}
        self.answers: defaultdict[int, int] = defaultdict(int)  # by status
        self._notifications = NotificationLog()
        self._slow_start = SlowStartCheck(capacity)

    def report(self, rule: Rule, request_id: str, detail: str) -> None:
        """Record a broken rule; `request_id` may name something else that it is about."""
        request = self.requests.get(request_id)
        if request is not None:
            age_s = self._now_s() - request.sent_at_s
            sent = f"{request.budget_s:.3f} s, sent {age_s:.3f} s ago"
            detail += f" (node {request.node}, {request.class_name}, {sent})"
        self.violations.append(Violation(rule, request_id, self._now_s(), detail, self._active_faults()))

    # Discovery

    def notified(self, notification: Notification) -> None:
        """Discovery has written an entry to a node, or the entry counts as written all the same."""
        self._notifications.add(notification)

    def node_restarted(self, node: int) -> None:
        """A node has a new process."""
        self._notifications.forget_node(node)

    def server_started(self, server: str) -> None:
        """A server has started cold."""
        self._slow_start.server_started(server, self._now_s())

    def capacity_fraction(self, server: str, at_s: float) -> float:
        """The part of its capacity that a server has by then."""
        return self._slow_start.capacity_fraction(server, at_s)

    # Clients

    def request_sent(self, request_id: str, class_name: str, node: int, budget_s: float) -> None:
        """A client has written a request's last byte."""
        self.requests[request_id] = RequestRecord(request_id, class_name, node, self._now_s(), budget_s)

    def request_resent(self, request_id: str) -> None:
        """A client sends a request once more, whose connection ended as it was sent."""
        self.requests[request_id].sent_at_s = self._now_s()

    def client_disconnected(self, request_id: str) -> None:
        """A client has closed while this request was in flight."""
        self.requests[request_id].disconnected_at_s = self._now_s()

    def answered(self, request_id: str, status: int, body: bytes) -> None:
        """A client has read a complete answer."""
        request = self.requests[request_id]
        self.answers[status] += 1
        if request.is_answered:
            self.report(Rule.LOST, request_id, "answered twice")
        request.is_answered = True
        late_s = self._now_s() - request.sent_at_s - request.budget_s
        if late_s > ANSWER_GRACE_S + TIME_SLACK_S + self.slack_s:
            self.report(Rule.LOST, request_id, f"answered {late_s:.3f} s after its time")
        if status == 200 and body not in [attempt.body for attempt in request.attempts]:
            self.report(Rule.LOST, request_id, "served with something that no server made for it")

    def unanswered(self, request_id: str, why: str) -> None:
        """A client has no answer, and will get none."""
        self.report(Rule.LOST, request_id, why)

    def was_forwarded(self, request_id: str) -> bool:
        """Whether an attempt of a request has arrived at a server."""
        return bool(self.requests[request_id].attempts)

    # Servers

    def attempt_began(self, request_id: str, server: str, at_s: float) -> None:
        """The first byte of an attempt has come to a server."""
        request = self.requests.get(request_id)
        if request is None:
            return
        inactive_from_s = self._notifications.inactive_from_s(request.node, server)
        if inactive_from_s is None or at_s <= inactive_from_s + settings.DRAIN_GRACE_S + self._slack_s():
            return
        late_s = at_s - inactive_from_s
        self.report(Rule.DRAIN, server, f"sent by node {request.node} {late_s:.3f} s after it was told")

    def attempt_arrived(self, class_name: str, attempt: AttemptRecord, budget_s: float) -> None:
        """The last byte of an attempt has come; `budget_s` is the time that it gives the server."""
        request = self.requests.get(attempt.request_id)
        if request is None or request.class_name != class_name:
            self.report(Rule.DUPLICATE, attempt.request_id, "no caller sent this request")
            return
        self._check_deadline(request, attempt, budget_s)
        self._check_disconnected(request, attempt)
        self._check_repeat(request, attempt)
        self._check_slow_start(request, attempt)
        request.attempts.append(attempt)

    def check_overlap(self, attempt: AttemptRecord) -> None:
        """Some time after an attempt's arrival: the earlier ones must have ended before it."""
        request = self.requests.get(attempt.request_id)
        if request is None:
            return
        latest_end_s = attempt.last_byte_at_s + self._slack_s()
        for earlier in request.attempts:
            if earlier is attempt:
                return
            if earlier.closed_at_s is None or earlier.closed_at_s > latest_end_s:
                self.report(Rule.DUPLICATE, request.request_id, "two attempts out at once")

    def _slack_s(self) -> float:
        return TIME_SLACK_S + self.slack_s + self.pause_allowance_s

    def _check_deadline(self, request: RequestRecord, attempt: AttemptRecord, budget_s: float) -> None:
        remaining_s = request.sent_at_s + request.budget_s - attempt.first_byte_at_s
        if budget_s > max(0.0, remaining_s) + BUDGET_SLACK_S + self._slack_s():
            detail = f"{budget_s:.3f} s stated where {remaining_s:.3f} s were left"
            self.report(Rule.DEADLINE, request.request_id, detail)

    def _check_disconnected(self, request: RequestRecord, attempt: AttemptRecord) -> None:
        since_s = attempt.first_byte_at_s - request.disconnected_at_s
        if since_s > DISCONNECT_GRACE_S + self._slack_s():
            detail = f"sent {since_s:.3f} s after its caller had closed"
            self.report(Rule.DISCONNECTED, request.request_id, detail)

    def _check_repeat(self, request: RequestRecord, attempt: AttemptRecord) -> None:
        if len(request.attempts) >= settings.MAX_ATTEMPTS:
            self.report(Rule.DUPLICATE, request.request_id, f"attempt {len(request.attempts) + 1}")
        executed = request.executed_attempts()
        if not executed:
            return
        idempotency = IDEMPOTENCY_BY_CLASS[request.class_name]
        if idempotency is Idempotency.NON_IDEMPOTENT:
            detail = "unsafe, and an earlier attempt may have run"
            self.report(Rule.DUPLICATE, request.request_id, detail)
        elif idempotency is Idempotency.KEYED:
            self._check_deduplication(request, executed[0], attempt)

    def _check_deduplication(
        self, request: RequestRecord, first: AttemptRecord, attempt: AttemptRecord
    ) -> None:
        """A repeat must come to the group that dropped it, while the group still knows the key."""
        after_s = attempt.last_byte_at_s - first.last_byte_at_s
        if attempt.group != first.group:
            self.report(Rule.DUPLICATE, request.request_id, "keyed, and sent to another group")
        elif after_s > settings.DEDUPLICATION_WINDOW_MS / 1000.0 + self._slack_s():
            self.report(Rule.DUPLICATE, request.request_id, f"keyed, and sent again after {after_s:.3f} s")

    def _check_slow_start(self, request: RequestRecord, attempt: AttemptRecord) -> None:
        arrival = Arrival(attempt.last_byte_at_s, request.node)
        overload = self._slow_start.overload(attempt.server, arrival, self._notifications.knows_start)
        if overload is not None:
            self.report(Rule.SLOW_START, attempt.server, overload)
