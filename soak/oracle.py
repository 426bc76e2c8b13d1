"""Checks the rules against the traffic on the sockets of clients, servers and discovery.

Times are in seconds on the soak's monotonic clock. Every time limit is widened by `slack_s`, which allows for
delays of the soak itself. Limits on what a node sends are also widened by `pause_allowance_s`, for nodes that
a fault pauses.
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

TIME_SLACK_S = 0.05  # tolerance of every time limit
BUDGET_SLACK_S = 0.15  # a server's X-Budget may exceed the remaining time of the request by this
DISCONNECT_GRACE_S = 0.1  # attempts may still begin for this long after the client has disconnected
ANSWER_GRACE_S = 0.5  # an answer may come this long after the deadline before it counts as lost
INVALID_REQUEST_LIMIT_S = 3.0  # time for the node to answer an invalid request with an error or a close
OVERLAP_CHECK_DELAY_S = 0.1  # time after an attempt's arrival by which the end of earlier ones is recorded


class Oracle:
    """Records the events of a run and reports violations of the rules."""

    def __init__(
        self,
        now_s: Callable[[], float],
        active_faults: Callable[[], tuple[str, ...]],
        capacity_per_s: float,
    ) -> None:
        """`capacity_per_s` is the capacity of a warm server in requests per second."""
        self._now_s = now_s
        self._active_faults = active_faults
        self.slack_s = 0.0
        # The longest time that a fault pauses a node between reading its clock and writing.
        self.pause_allowance_s = 0.0
        self.violations: list[Violation] = []
        self.requests: dict[str, RequestRecord] = {}
        self.answers: defaultdict[int, int] = defaultdict(int)  # by status
        self._notifications = NotificationLog()
        self._slow_start = SlowStartCheck(capacity_per_s)

    def report(self, rule: Rule, request_id: str, detail: str) -> None:
        """Record a violation; `request_id` may also name the server, node or input concerned."""
        request = self.requests.get(request_id)
        if request is not None:
            age_s = self._now_s() - request.sent_at_s
            timing = f"budget {request.budget_s:.3f} s, sent {age_s:.3f} s ago"
            detail += f" (node {request.node}, class {request.class_name}, {timing})"
        self.violations.append(Violation(rule, request_id, self._now_s(), detail, self._active_faults()))

    # Discovery

    def notified(self, notification: Notification) -> None:
        """Record that an entry was written to a node, or counts as written."""
        self._notifications.add(notification)

    def node_restarted(self, node: int) -> None:
        """Record that a node has a new process."""
        self._notifications.forget_node(node)

    def server_started(self, server: str) -> None:
        """Record that a server has started cold."""
        self._slow_start.server_started(server, self._now_s())

    def capacity_fraction(self, server: str, at_s: float) -> float:
        """Return the fraction of its full capacity that a server has at a time."""
        return self._slow_start.capacity_fraction(server, at_s)

    # Clients

    def request_sent(self, request_id: str, class_name: str, node: int, budget_s: float) -> None:
        """Record that a client has written the last byte of a request."""
        self.requests[request_id] = RequestRecord(request_id, class_name, node, self._now_s(), budget_s)

    def request_resent(self, request_id: str) -> None:
        """Record that a client sends a request again because its connection ended before the answer."""
        self.requests[request_id].sent_at_s = self._now_s()

    def client_disconnected(self, request_id: str) -> None:
        """Record that the client closed its connection while the request was in flight."""
        self.requests[request_id].disconnected_at_s = self._now_s()

    def answered(self, request_id: str, status: int, body: bytes) -> None:
        """Record and check a complete answer that a client has read."""
        request = self.requests[request_id]
        self.answers[status] += 1
        if request.is_answered:
            self.report(Rule.LOST, request_id, "answered twice")
        request.is_answered = True
        late_s = self._now_s() - request.sent_at_s - request.budget_s
        if late_s > ANSWER_GRACE_S + TIME_SLACK_S + self.slack_s:
            self.report(Rule.LOST, request_id, f"answered {late_s:.3f} s after its deadline")
        if status == 200 and body not in [attempt.body for attempt in request.attempts]:
            self.report(Rule.LOST, request_id, "answered with a body that no server made for it")

    def unanswered(self, request_id: str, reason: str) -> None:
        """Report that a client will get no answer."""
        self.report(Rule.LOST, request_id, reason)

    def was_forwarded(self, request_id: str) -> bool:
        """Return whether an attempt of a request has arrived at a server."""
        return bool(self.requests[request_id].attempts)

    # Servers

    def attempt_began(self, request_id: str, server: str, at_s: float) -> None:
        """Check an attempt whose first byte arrived at `at_s`.

        A node must not send to a draining or removed server more than `DRAIN_GRACE_S` after the notification.
        """
        request = self.requests.get(request_id)
        if request is None:
            return
        inactive_from_s = self._notifications.inactive_from_s(request.node, server)
        if inactive_from_s is None or at_s <= inactive_from_s + settings.DRAIN_GRACE_S + self._slack_s():
            return
        late_s = at_s - inactive_from_s
        detail = f"sent by node {request.node} {late_s:.3f} s after it was notified of the drain or removal"
        self.report(Rule.DRAIN, server, detail)

    def attempt_arrived(self, class_name: str, attempt: AttemptRecord, budget_s: float) -> None:
        """Record and check an attempt whose last byte has arrived; `budget_s` is its X-Budget."""
        request = self.requests.get(attempt.request_id)
        if request is None or request.class_name != class_name:
            detail = f"no client sent this request in class {class_name!r:.60}"
            self.report(Rule.DUPLICATE, attempt.request_id, detail)
            return
        self._check_deadline(request, attempt, budget_s)
        self._check_disconnected(request, attempt)
        self._check_retry(request, attempt)
        self._check_slow_start(request, attempt)
        request.attempts.append(attempt)

    def check_overlap(self, attempt: AttemptRecord) -> None:
        """Check, some time after an attempt's arrival, that earlier attempts had ended before it."""
        request = self.requests.get(attempt.request_id)
        if request is None:
            return
        latest_end_s = attempt.last_byte_at_s + self._slack_s()
        for earlier in request.attempts:
            if earlier is attempt:
                return
            if earlier.ended_at_s is None or earlier.ended_at_s > latest_end_s:
                self.report(Rule.DUPLICATE, request.request_id, "two attempts in flight at once")

    def _slack_s(self) -> float:
        return TIME_SLACK_S + self.slack_s + self.pause_allowance_s

    def _check_deadline(self, request: RequestRecord, attempt: AttemptRecord, budget_s: float) -> None:
        remaining_s = request.sent_at_s + request.budget_s - attempt.first_byte_at_s
        if budget_s > max(0.0, remaining_s) + BUDGET_SLACK_S + self._slack_s():
            detail = f"X-Budget is {budget_s:.3f} s where {remaining_s:.3f} s remained"
            self.report(Rule.DEADLINE, request.request_id, detail)

    def _check_disconnected(self, request: RequestRecord, attempt: AttemptRecord) -> None:
        since_s = attempt.first_byte_at_s - request.disconnected_at_s
        if since_s > DISCONNECT_GRACE_S + self._slack_s():
            detail = f"sent {since_s:.3f} s after its client had disconnected"
            self.report(Rule.DISCONNECTED, request.request_id, detail)

    def _check_retry(self, request: RequestRecord, attempt: AttemptRecord) -> None:
        if len(request.attempts) >= settings.MAX_ATTEMPTS:
            self.report(
                Rule.DUPLICATE,
                request.request_id,
                f"attempt {len(request.attempts) + 1}, at most {settings.MAX_ATTEMPTS} are allowed",
            )
        executed = request.executed_attempts()
        if not executed:
            return
        idempotency = IDEMPOTENCY_BY_CLASS[request.class_name]
        if idempotency is Idempotency.NON_IDEMPOTENT:
            detail = "not idempotent, and an earlier attempt may have run"
            self.report(Rule.DUPLICATE, request.request_id, detail)
        elif idempotency is Idempotency.KEYED:
            self._check_deduplication(request, executed[0], attempt)

    def _check_deduplication(
        self, request: RequestRecord, first: AttemptRecord, attempt: AttemptRecord
    ) -> None:
        """Check that a retry arrives at the first attempt's group, before the key expires there."""
        after_s = attempt.last_byte_at_s - first.last_byte_at_s
        if attempt.group != first.group:
            detail = f"keyed, and sent to group {attempt.group} after group {first.group}"
            self.report(Rule.DUPLICATE, request.request_id, detail)
        elif after_s > settings.DEDUPLICATION_WINDOW_MS / 1000.0 + self._slack_s():
            self.report(
                Rule.DUPLICATE,
                request.request_id,
                f"keyed, and sent again after {after_s:.3f} s, when the key has expired",
            )

    def _check_slow_start(self, request: RequestRecord, attempt: AttemptRecord) -> None:
        arrival = Arrival(attempt.last_byte_at_s, request.node)
        overload = self._slow_start.check_arrival(attempt.server, arrival, self._notifications.knows_start)
        if overload is not None:
            self.report(Rule.SLOW_START, attempt.server, overload)
