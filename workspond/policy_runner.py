"""Feeds the load-balancing policy with events and has its actions executed.

This is the only place that calls `Balancer.handle`, and it does so for one event at a time.
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
    """Does what the policy decides."""

    def execute(self, action: PolicyAction) -> None:
        """Execute one action; it may have `PolicyRunner.handle` called with further events."""


class PolicyRunner:
    """Gives the policy its events in order.

    An event that an action raises is queued: the policy gets it after all actions of the event before it
    have been executed.
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
        """Have the policy handle an event, at once or after the one that is being handled."""
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
        except Exception:  # a request that this leaves open is failed at its deadline
            log.exception("policy event failed: event=%s", type(event).__name__)
