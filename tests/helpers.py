"""What the tests share: settings, lists and a driver that keeps the node's side of the contract."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from workspond.policy.actions import FailRequest, PolicyAction, RejectRequest, SendAttempt, SetTimer
from workspond.policy.balancer import Balancer
from workspond.policy.endpoint import Endpoint
from workspond.policy.events import (
    AttemptEnded,
    EndpointUpdate,
    NodeStarted,
    Outcome,
    PolicyEvent,
    RequestReceived,
    UpdateKind,
)
from workspond.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

SAFE = RequestClass("safe", 1000.0, 3000.0, 1.0, idempotency=Idempotency.IDEMPOTENT)
KEYED = RequestClass("keyed", 1000.0, 3000.0, 2.0, 0.0, Idempotency.KEYED, DeduplicationScope.CELL, 2000.0)
KEYED_ALL = RequestClass(
    "keyed_all", 1000.0, 3000.0, 2.0, 0.0, Idempotency.KEYED, DeduplicationScope.ALL, 2000.0
)
UNSAFE = RequestClass("unsafe", 1000.0, 3000.0, 8.0)


def settings(**changes: Any) -> Settings:
    defaults: dict[str, Any] = {
        "classes": [SAFE, KEYED, KEYED_ALL, UNSAFE],
        "max_attempts": 3,
        "start_capacity": 0.25,
        "ramp_time_ms": 8000.0,
        "overload_factor": 3.0,
        "overload_window_ms": 1000.0,
        "drain_grace_ms": 500.0,
        "answer_slack_ms": 20.0,
        "tick_ms": 5.0,
    }
    return Settings(**(defaults | changes))


def entries(numbers: Iterable[int], **changes: Any) -> list[Endpoint]:
    return [Endpoint(n, "z", "k", n % 2, **changes) for n in numbers]


class Node:
    """A balancer with a clock; remembers what it did."""

    def __init__(self, servers: int = 4, salt: int = 1, **changes: Any) -> None:
        self.balancer = Balancer(settings(**changes), salt)
        self.now = 1000.0
        self.log: list[tuple[float, PolicyAction]] = []
        self.sent: dict[str, list[int]] = {}
        self.do(NodeStarted())
        self.list_all(entries(range(servers)))

    def do(self, event: PolicyEvent, after_ms: float = 0.0) -> list[PolicyAction]:
        self.now += after_ms
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SendAttempt):
                self.sent.setdefault(action.request_id, []).append(action.server_id)
        return actions

    def list_all(self, servers: list[Endpoint], version: int = 1) -> list[PolicyAction]:
        return self.do(EndpointUpdate(UpdateKind.COMPLETE, version, servers))

    def change(self, *servers: Endpoint) -> list[PolicyAction]:
        return self.do(EndpointUpdate(UpdateKind.INCREMENTAL, 2, list(servers)))

    def ask(
        self, id: str, cls: str = "safe", ttl_ms: float = 3000.0, tenant: str | None = None
    ) -> list[PolicyAction]:
        return self.do(RequestReceived(id, cls, ttl_ms, tenant))

    def end(
        self, id: str, result: Outcome, after_ms: float = 50.0, request_finished: bool | None = None
    ) -> list[PolicyAction]:
        """End the last attempt of a request."""
        self.now += after_ms
        number = len(self.sent[id]) - 1
        request_finished = result is Outcome.SUCCESS if request_finished is None else request_finished
        event = AttemptEnded(id, number, self.sent[id][number], result, after_ms, request_finished)
        return self.do(event)

    def serve(self, count: int, cls: str = "safe", gap_ms: float = 10.0, delay_ms: float = 50.0) -> list[int]:
        """Ask and serve so many requests one after another; the servers picked."""
        picked = []
        for n in range(count):
            id = f"serve-{self.now}-{n}"
            self.ask(id, cls)
            picked.append(self.sent[id][0])
            self.end(id, Outcome.SUCCESS, delay_ms)
            self.now += gap_ms
        return picked


def timers(actions: list[PolicyAction]) -> list[SetTimer]:
    return [a for a in actions if isinstance(a, SetTimer)]


def sends(actions: list[PolicyAction]) -> list[SendAttempt]:
    return [a for a in actions if isinstance(a, SendAttempt)]


def ends(actions: list[PolicyAction]) -> list[PolicyAction]:
    return [a for a in actions if isinstance(a, FailRequest | RejectRequest)]
