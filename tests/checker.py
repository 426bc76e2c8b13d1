"""The six operating rules, checked from outside on what was told to a node and what it did.

Written from the wire page's wording of the rules, and of nothing in the decision module: it keeps its
own books. Rule 4 is checked for one node alone: what it sends to a cold server in any window.
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


class Broken(AssertionError):
    """A rule is broken."""


@dataclass
class Attempt:
    at: float
    server: int
    group: str | int | None
    result: Outcome | None = None


@dataclass
class Taken:
    cls: RequestClass
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    over: bool = False


class Checker:
    """Told every event before the node, and every action after; raises `Broken`."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self.taken: dict[str, Taken] = {}
        self.taken_at: list[float] = []
        self.further_at: list[float] = []
        self.known: dict[int, Endpoint] = {}
        self.out_of_service: dict[int, float] = {}  # since when the node knows

    def event(self, event: PolicyEvent, now: float) -> None:
        if isinstance(event, RequestReceived):
            self.taken[event.request_id] = Taken(self.classes[event.class_name], now + event.ttl_ms)
            self.taken_at.append(now)
        elif isinstance(event, AttemptEnded) and event.request_id in self.taken:
            request = self.taken[event.request_id]
            request.attempts[event.attempt_number].result = event.outcome
            request.over = request.over or event.request_finished
        elif isinstance(event, RequestAbandoned) and event.request_id in self.taken:
            self.taken[event.request_id].over = True
        elif isinstance(event, EndpointUpdate) and event.kind is not UpdateKind.FAILED:
            listed = {entry.server_id: entry for entry in event.endpoints}
            for number in self.known:
                if event.kind is not UpdateKind.INCREMENTAL and number not in listed:
                    self.out_of_service.setdefault(number, now)
            for number, entry in listed.items():
                self.known[number] = entry
                if entry.state is EndpointState.IN_SERVICE:
                    self.out_of_service.pop(number, None)
                else:
                    self.out_of_service.setdefault(number, now)

    def action(self, action: PolicyAction, now: float) -> None:
        if isinstance(action, SendAttempt):
            self._send(action, now)
        elif isinstance(action, FailRequest | RejectRequest):
            request = self.taken[action.request_id]
            self._need(not request.over, "rule 1: a second final answer")
            late = now > request.deadline + self.settings.answer_slack_ms
            self._need(not late, "rule 1: an answer after the deadline")
            request.over = True
            if isinstance(action, RejectRequest):
                cls = request.cls
                everywhere = (
                    cls.idempotency is Idempotency.KEYED and cls.deduplication_scope is DeduplicationScope.ALL
                )
                harmless = (
                    cls.idempotency is Idempotency.IDEMPOTENT or everywhere or not self._may_have_run(request)
                )
                self._need(harmless, "rule 2: a refusal of what may have run")

    def end(self) -> None:
        """All that was taken has been answered."""
        self._need(all(request.over for request in self.taken.values()), "rule 1: a request was lost")

    def _send(self, send: SendAttempt, now: float) -> None:
        request, server = self.taken[send.request_id], self.known[send.server_id]
        cls = request.cls
        self._need(not request.over, "rule 1: a send for what is over")
        self._need(len(request.attempts) < self.settings.max_attempts, "more attempts than allowed")
        out = [attempt for attempt in request.attempts if attempt.result is None]
        self._need(not out or self.settings.parallel_attempts, "two attempts at once")
        group = {
            DeduplicationScope.ALL: None,
            DeduplicationScope.ZONE: server.zone,
            DeduplicationScope.CELL: server.cell,
        }[cls.deduplication_scope]
        ran = self._may_have_run(request)
        if ran:
            self._need(
                cls.idempotency is not Idempotency.NON_IDEMPOTENT, "rule 2: an unsafe request sent again"
            )
        if ran and cls.idempotency is Idempotency.KEYED:
            self._need(all(attempt.group == group for attempt in ran), "rule 2: another group")
            self._need(now - ran[0].at <= cls.deduplication_window_ms, "rule 2: after the window")
        since = self.out_of_service.get(send.server_id, now)
        self._need(now - since <= self.settings.drain_grace_ms, "rule 3: sent to a server that drains")
        if request.attempts and self.settings.retry_budget_ratio is not None:
            span = self.settings.retry_budget_window_ms
            self.further_at.append(now)
            further = sum(at >= now - span for at in self.further_at)
            taken = sum(at > now - span for at in self.taken_at)
            allowed = self.settings.retry_budget_floor + self.settings.retry_budget_ratio * taken
            self._need(further <= allowed, "rule 5: beyond the budget of attempts")
        request.attempts.append(Attempt(now, send.server_id, group))

    def _may_have_run(self, request: Taken) -> list[Attempt]:
        proofs = {Outcome.CONNECT_FAILED, Outcome.NOT_SENT}
        if not self.settings.rejected_may_have_run:
            proofs.add(Outcome.REJECTED)  # rule 6
        return [attempt for attempt in request.attempts if attempt.result not in proofs]

    @staticmethod
    def _need(kept: bool, rule: str) -> None:
        if not kept:
            raise Broken(rule)
