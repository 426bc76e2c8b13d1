"""Shared set-ups: settings, endpoint lists, and a driver that plays the node's part for a balancer."""

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

IDEMPOTENT = RequestClass("idempotent", 1000.0, 3000.0, 1.0, idempotency=Idempotency.IDEMPOTENT)
KEYED = RequestClass("keyed", 1000.0, 3000.0, 2.0, 0.0, Idempotency.KEYED, DeduplicationScope.CELL, 2000.0)
KEYED_ALL = RequestClass(
    "keyed_all", 1000.0, 3000.0, 2.0, 0.0, Idempotency.KEYED, DeduplicationScope.ALL, 2000.0
)
NON_IDEMPOTENT = RequestClass("non_idempotent", 1000.0, 3000.0, 8.0)


def settings(**changes: Any) -> Settings:
    """Settings with one class of each kind, and the given changes."""
    defaults: dict[str, Any] = {
        "classes": [IDEMPOTENT, KEYED, KEYED_ALL, NON_IDEMPOTENT],
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


def endpoints(server_ids: Iterable[int], **changes: Any) -> list[Endpoint]:
    """Endpoints of one zone, in two cells."""
    return [Endpoint(server_id, "z", "k", server_id % 2, **changes) for server_id in server_ids]


class Replica:
    """A balancer with a clock, which records what the balancer does.

    Attributes:
        balancer: The balancer.
        now_ms: The clock; tests may advance it.
        actions: All actions so far, with the moment of each.
        sent_to: The servers that each request was sent to, one for each attempt.
    """

    def __init__(self, servers: int = 4, salt: int = 1, **changes: Any) -> None:
        """Start with so many servers, and with changes to the settings."""
        self.balancer = Balancer(settings(**changes), salt)
        self.now_ms = 1000.0
        self.actions: list[tuple[float, PolicyAction]] = []
        self.sent_to: dict[str, list[int]] = {}
        self.handle(NodeStarted())
        self.replace_endpoints(endpoints(range(servers)))

    def handle(self, event: PolicyEvent, after_ms: float = 0.0) -> list[PolicyAction]:
        """Let the balancer handle an event."""
        self.now_ms += after_ms
        actions = self.balancer.handle(event, self.now_ms)
        for action in actions:
            self.actions.append((self.now_ms, action))
            if isinstance(action, SendAttempt):
                self.sent_to.setdefault(action.request_id, []).append(action.server_id)
        return actions

    def replace_endpoints(self, servers: list[Endpoint], version: int = 1) -> list[PolicyAction]:
        """Deliver a complete endpoint list."""
        return self.handle(EndpointUpdate(UpdateKind.COMPLETE, version, servers))

    def update_endpoints(self, *servers: Endpoint) -> list[PolicyAction]:
        """Deliver an incremental update."""
        return self.handle(EndpointUpdate(UpdateKind.INCREMENTAL, 2, list(servers)))

    def receive(
        self,
        request_id: str,
        class_name: str = "idempotent",
        ttl_ms: float = 3000.0,
        tenant: str | None = None,
    ) -> list[PolicyAction]:
        """Let a request arrive."""
        return self.handle(RequestReceived(request_id, class_name, ttl_ms, tenant))

    def end_attempt(
        self,
        request_id: str,
        outcome: Outcome,
        after_ms: float = 50.0,
        request_finished: bool | None = None,
    ) -> list[PolicyAction]:
        """End the last attempt of a request; a success finishes the request, if not said otherwise."""
        self.now_ms += after_ms
        number = len(self.sent_to[request_id]) - 1
        server_id = self.sent_to[request_id][number]
        is_finished = outcome is Outcome.SUCCESS if request_finished is None else request_finished
        return self.handle(AttemptEnded(request_id, number, server_id, outcome, after_ms, is_finished))

    def serve(
        self, count: int, class_name: str = "idempotent", gap_ms: float = 10.0, delay_ms: float = 50.0
    ) -> list[int]:
        """Let requests arrive and succeed one after another; the servers that were picked."""
        picked = []
        for index in range(count):
            request_id = f"serve-{self.now_ms}-{index}"
            self.receive(request_id, class_name)
            picked.append(self.sent_to[request_id][0])
            self.end_attempt(request_id, Outcome.SUCCESS, delay_ms)
            self.now_ms += gap_ms
        return picked


def timers(actions: list[PolicyAction]) -> list[SetTimer]:
    return [action for action in actions if isinstance(action, SetTimer)]


def sends(actions: list[PolicyAction]) -> list[SendAttempt]:
    return [action for action in actions if isinstance(action, SendAttempt)]


def answers(actions: list[PolicyAction]) -> list[PolicyAction]:
    """The final answers that the balancer gives itself."""
    return [action for action in actions if isinstance(action, FailRequest | RejectRequest)]


def passes_gate(replica: Replica, request_id: str, server: int) -> bool:
    """Send through the gate directly, as new code that forgets a rule would."""
    balancer = replica.balancer
    return balancer._send(balancer._calls[request_id], balancer.fleet.servers[server], replica.now_ms)
