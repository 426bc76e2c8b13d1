"""Shared helpers: settings, endpoint lists, and a driver that takes the place of the node for a balancer."""

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
    """Return settings with a class for each kind of idempotency, with `changes` applied to the fields."""
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
    """Return endpoints in one zone and two cells: servers with even ids, and servers with odd ids."""
    return [Endpoint(server_id, "z", "k", server_id % 2, **changes) for server_id in server_ids]


class Replica:
    """Drives a balancer with a simulated clock, and records the balancer's actions.

    Attributes:
        balancer: The balancer.
        now_ms: The simulated time, which tests may advance.
        actions: All actions so far, each with its time.
        sent_to: The ids of the servers that each request was sent to, one per attempt, by request id.
    """

    def __init__(self, servers: int = 4, salt: int = 1, **changes: Any) -> None:
        """Start a balancer with `servers` listed servers and with `changes` to the settings."""
        self.balancer = Balancer(settings(**changes), salt)
        self.now_ms = 1000.0
        self.actions: list[tuple[float, PolicyAction]] = []
        self.sent_to: dict[str, list[int]] = {}
        self.handle(NodeStarted())
        self.replace_endpoints(endpoints(range(servers)))

    def handle(self, event: PolicyEvent, after_ms: float = 0.0) -> list[PolicyAction]:
        """Advance the time, let the balancer handle an event, and return its actions."""
        self.now_ms += after_ms
        actions = self.balancer.handle(event, self.now_ms)
        for action in actions:
            self.actions.append((self.now_ms, action))
            if isinstance(action, SendAttempt):
                self.sent_to.setdefault(action.request_id, []).append(action.server_id)
        return actions

    def replace_endpoints(self, listed: list[Endpoint], version: int = 1) -> list[PolicyAction]:
        """Deliver a complete endpoint list."""
        return self.handle(EndpointUpdate(UpdateKind.COMPLETE, version, listed))

    def update_endpoints(self, *changed: Endpoint) -> list[PolicyAction]:
        """Deliver an incremental update of the endpoint list."""
        return self.handle(EndpointUpdate(UpdateKind.INCREMENTAL, 2, list(changed)))

    def receive(
        self,
        request_id: str,
        class_name: str = "idempotent",
        ttl_ms: float = 3000.0,
        tenant: str | None = None,
    ) -> list[PolicyAction]:
        """Deliver a new request."""
        return self.handle(RequestReceived(request_id, class_name, ttl_ms, tenant))

    def end_attempt(
        self,
        request_id: str,
        outcome: Outcome,
        after_ms: float = 50.0,
        request_finished: bool | None = None,
    ) -> list[PolicyAction]:
        """End the last attempt of a request.

        `request_finished` is by default whether the outcome is a success.
        """
        self.now_ms += after_ms
        attempt_number = len(self.sent_to[request_id]) - 1
        server_id = self.sent_to[request_id][attempt_number]
        is_finished = outcome is Outcome.SUCCESS if request_finished is None else request_finished
        return self.handle(
            AttemptEnded(request_id, attempt_number, server_id, outcome, after_ms, is_finished)
        )

    def serve(
        self, count: int, class_name: str = "idempotent", gap_ms: float = 10.0, delay_ms: float = 50.0
    ) -> list[int]:
        """Deliver requests that succeed one after another, and return the ids of their servers."""
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
    """Return the rejections and failures, with which the balancer itself ends requests."""
    return [action for action in actions if isinstance(action, FailRequest | RejectRequest)]


def try_send(replica: Replica, request_id: str, server_id: int) -> bool:
    """Send a request to the given server, and return whether it was sent.

    Only the send gate can block the attempt, as if new code had forgotten to check the rules before.
    """
    balancer = replica.balancer
    return balancer._send(balancer._calls[request_id], balancer.fleet.servers[server_id], replica.now_ms)
