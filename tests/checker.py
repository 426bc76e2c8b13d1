"""Checks the operating rules on the events that a balancer handles and the actions that it returns.

The checker is independent of the policy: it follows the wording of the rules in the wire documentation and
keeps its own records. It does not check rule 4, the load on a server that is warming up, which has separate
tests.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from workspond.policy.actions import FailRequest, PolicyAction, RejectRequest, SendAttempt
from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.events import (
    AttemptEnded,
    EndpointUpdate,
    Outcome,
    PolicyEvent,
    RequestAbandoned,
    RequestReceived,
    UpdateKind,
)
from workspond.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings


class RuleBrokenError(AssertionError):
    """An event or action broke an operating rule."""


@dataclass
class AttemptRecord:
    sent_at_ms: float
    server_id: int
    deduplication_group: str | int | None
    outcome: Outcome | None = None  # None while the attempt is in flight


@dataclass
class RequestRecord:
    request_class: RequestClass
    deadline_at_ms: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    is_finished: bool = False


def require(condition: bool, violation: str) -> None:
    if not condition:
        raise RuleBrokenError(violation)


class Checker:
    """Checks all actions of one balancer, and raises `RuleBrokenError` for the first that breaks a rule.

    Each event has to be passed to the checker before the balancer handles it, and the actions in the order in
    which the balancer returns them.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.requests: dict[str, RequestRecord] = {}
        self.request_times_ms: list[float] = []
        self.retry_times_ms: list[float] = []
        self.endpoints: dict[int, Endpoint] = {}
        self.out_of_service_since_ms: dict[int, float] = {}

    def record_event(self, event: PolicyEvent, now_ms: float) -> None:
        if isinstance(event, RequestReceived):
            request_class = self.classes[event.class_name]
            self.requests[event.request_id] = RequestRecord(request_class, now_ms + event.ttl_ms)
            self.request_times_ms.append(now_ms)
        elif isinstance(event, AttemptEnded) and event.request_id in self.requests:
            request = self.requests[event.request_id]
            request.attempts[event.attempt_number].outcome = event.outcome
            request.is_finished = request.is_finished or event.request_finished
        elif isinstance(event, RequestAbandoned) and event.request_id in self.requests:
            self.requests[event.request_id].is_finished = True
        elif isinstance(event, EndpointUpdate) and event.kind is not UpdateKind.FAILED:
            self._update_endpoints(event, now_ms)

    def _update_endpoints(self, event: EndpointUpdate, now_ms: float) -> None:
        listed = {endpoint.server_id: endpoint for endpoint in event.endpoints}
        for server_id in self.endpoints:
            if event.kind is not UpdateKind.INCREMENTAL and server_id not in listed:
                self.out_of_service_since_ms.setdefault(server_id, now_ms)
        for server_id, endpoint in listed.items():
            self.endpoints[server_id] = endpoint
            if endpoint.state is EndpointState.IN_SERVICE:
                self.out_of_service_since_ms.pop(server_id, None)
            else:
                self.out_of_service_since_ms.setdefault(server_id, now_ms)

    def check_action(self, action: PolicyAction, now_ms: float) -> None:
        if isinstance(action, SendAttempt):
            self._check_send(action, now_ms)
        elif isinstance(action, FailRequest | RejectRequest):
            request = self.requests[action.request_id]
            require(not request.is_finished, "rule 1: a request got a second final answer")
            is_late = now_ms > request.deadline_at_ms + self.settings.answer_slack_ms
            require(not is_late, "rule 1: a request was answered after its deadline")
            request.is_finished = True
            if isinstance(action, RejectRequest):
                require(
                    self._is_retry_harmless(request),
                    "rule 2: a request was rejected although a client retry is not harmless",
                )

    def check_all_finished(self) -> None:
        """Check that all requests have been answered or abandoned."""
        is_each_finished = all(request.is_finished for request in self.requests.values())
        require(is_each_finished, "rule 1: a request got no final answer")

    def _is_retry_harmless(self, request: RequestRecord) -> bool:
        request_class = request.request_class
        is_deduplicated_by_all = (
            request_class.idempotency is Idempotency.KEYED
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
        return (
            request_class.idempotency is Idempotency.IDEMPOTENT
            or is_deduplicated_by_all
            or not self._attempts_that_may_have_run(request)
        )

    def _check_send(self, send: SendAttempt, now_ms: float) -> None:
        request = self.requests[send.request_id]
        attempt = self._new_attempt(request, self.endpoints[send.server_id], now_ms)
        require(not request.is_finished, "rule 1: an attempt of a finished request was sent")
        require(
            len(request.attempts) < self.settings.max_attempts,
            "max_attempts: a request got more attempts than allowed",
        )
        in_flight = [attempt for attempt in request.attempts if attempt.outcome is None]
        require(
            not in_flight or self.settings.parallel_attempts,
            "parallel_attempts: a request had two attempts in flight",
        )
        self._check_duplicate_run(request, attempt)
        since_ms = self.out_of_service_since_ms.get(send.server_id, now_ms)
        is_in_grace = now_ms - since_ms <= self.settings.drain_grace_ms
        require(is_in_grace, "rule 3: an attempt was sent to a draining or removed server")
        if request.attempts and self.settings.retry_budget_ratio is not None:
            self._check_retry_budget(self.settings.retry_budget_ratio, now_ms)
        request.attempts.append(attempt)

    def _new_attempt(self, request: RequestRecord, endpoint: Endpoint, now_ms: float) -> AttemptRecord:
        group = {
            DeduplicationScope.ALL: None,
            DeduplicationScope.ZONE: endpoint.zone,
            DeduplicationScope.CELL: endpoint.cell,
        }[request.request_class.deduplication_scope]
        return AttemptRecord(now_ms, endpoint.server_id, group)

    def _check_duplicate_run(self, request: RequestRecord, attempt: AttemptRecord) -> None:
        """Check that an attempt cannot run the request again if an earlier attempt may have run."""
        earlier = self._attempts_that_may_have_run(request)
        if not earlier:
            return
        request_class = request.request_class
        require(
            request_class.idempotency is not Idempotency.NON_IDEMPOTENT,
            "rule 2: a non-idempotent request that may have run was retried",
        )
        if request_class.idempotency is Idempotency.KEYED:
            group = attempt.deduplication_group
            is_same_group = all(other.deduplication_group == group for other in earlier)
            require(is_same_group, "rule 2: a keyed request was retried in another deduplication group")
            elapsed_ms = attempt.sent_at_ms - earlier[0].sent_at_ms
            is_in_window = elapsed_ms <= request_class.deduplication_window_ms
            require(is_in_window, "rule 2: a keyed request was retried after its deduplication window")

    def _check_retry_budget(self, ratio: float, now_ms: float) -> None:
        """Count a retry, and check that the retries in the last window are within the budget."""
        window_ms = self.settings.retry_budget_window_ms
        self.retry_times_ms.append(now_ms)
        retries = sum(at_ms >= now_ms - window_ms for at_ms in self.retry_times_ms)
        requests = sum(at_ms > now_ms - window_ms for at_ms in self.request_times_ms)
        allowed = self.settings.retry_budget_floor + ratio * requests
        require(retries <= allowed, "rule 5: more retries than the retry budget allows")

    def _attempts_that_may_have_run(self, request: RequestRecord) -> list[AttemptRecord]:
        never_ran = {Outcome.CONNECT_FAILED, Outcome.NOT_SENT}
        if not self.settings.rejected_may_have_run:
            never_ran.add(Outcome.REJECTED)  # rule 6
        return [attempt for attempt in request.attempts if attempt.outcome not in never_ran]
