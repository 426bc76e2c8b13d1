"""Passes events to the load-balancing policy and executes the actions that it returns.

In a node, only this module calls `Balancer.handle`, and only for one event at a time.
"""

from __future__ import annotations

import logging
from collections import deque
from typing import Protocol

from workspond.clock import now_ms
from workspond.policy.actions import PolicyAction
from workspond.policy.balancer import Balancer
from workspond.policy.events import PolicyEvent

log = logging.getLogger("workspond")


class ActionExecutor(Protocol):
    """Executes the actions of the policy."""

    def execute(self, action: PolicyAction) -> None:
        """Execute one action, which may call `PolicyRunner.handle` with further events."""


class PolicyRunner:
    """Passes events to the policy in order.

    An event that is raised by an action is queued. The policy handles it after all actions of the current
    event have been executed.
    """

    def __init__(self, balancer: Balancer, executor: ActionExecutor) -> None:
        self._balancer = balancer
        self._executor = executor
        self._queue: deque[PolicyEvent] = deque()
        self._is_running = False

    def pending_count(self) -> int:
        """Return how many events are queued."""
        return len(self._queue)

    def handle(self, event: PolicyEvent) -> None:
        """Handle an event now or, if another one is being handled, after that one."""
        self._queue.append(event)
        if self._is_running:
            return
        self._is_running = True
        try:
            while self._queue:
                self._handle_one(self._queue.popleft())
        finally:
            self._is_running = False

    def _handle_one(self, event: PolicyEvent) -> None:
        try:
            for action in self._balancer.handle(event, now_ms()):
                self._executor.execute(action)
        except Exception:  # requests that stay active because of this are failed at their deadlines
            log.exception("policy event failed: event=%s", type(event).__name__)
