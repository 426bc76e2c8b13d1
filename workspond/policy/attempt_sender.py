"""Sends attempts: sets timeouts, decides on new connections, and records the attempts in flight."""

from __future__ import annotations

from workspond.policy.actions import CloseIdleConnections, PolicyAction, SendAttempt
from workspond.policy.call import Call
from workspond.policy.idle_timeout import IdleTimeout
from workspond.policy.request_statistics import TypicalDelay
from workspond.policy.retry_controller import DELAY_SAMPLES
from workspond.policy.retry_policy import RetryPolicy
from workspond.policy.server import Server
from workspond.policy.server_measurements import CallInFlight
from workspond.policy.server_selection import ServerSelector
from workspond.policy.settings import Idempotency


class AttemptSender:
    """Returns the actions that send a request to the server that was picked for it."""

    def __init__(
        self,
        retry_policy: RetryPolicy,
        selector: ServerSelector,
        typical_delay: TypicalDelay,
        idle_timeout: IdleTimeout,
    ) -> None:
        self._retry_policy = retry_policy
        self._selector = selector
        self._typical_delay = typical_delay
        self._idle_timeout = idle_timeout

    def send(self, call: Call, server: Server, now_ms: float) -> list[PolicyAction]:
        """Record an attempt that `SendGate` has allowed, and return the actions that send it."""
        if call.attempts:
            self._retry_policy.count_retry(now_ms)
        call.attempts += 1
        call.attempt_in_flight = True
        call.last_server = server
        call.sent_at_ms = now_ms
        call.connection_idle_ms = 0.0 if server.calls_in_flight else now_ms - server.last_used_at_ms
        actions: list[PolicyAction] = []
        # After a long idle time the connections may have been dropped, and an attempt on one would be lost.
        if self._idle_timeout.is_exceeded(call.connection_idle_ms):
            actions.append(CloseIdleConnections(server.id))
            call.connection_idle_ms = 0.0
        server.calls_in_flight[call.id] = CallInFlight(now_ms, call.request_class.objective_ms)
        self._selector.update(server, now_ms)
        actions.append(self._send_action(call, server, now_ms))
        return actions

    def _send_action(self, call: Call, server: Server, now_ms: float) -> SendAttempt:
        timeout_ms = self._retry_policy.attempt_timeout_ms(
            call,
            call.deadline_at_ms - now_ms,
            self._typical_delay.objective_ratio,
            is_delay_known=self._typical_delay.samples >= DELAY_SAMPLES,
        )
        send_within_ms = self._retry_policy.repeat_deadline_at_ms(call) - now_ms
        # A non-idempotent request that is lost on an idle connection could not be retried.
        new_connection = call.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        return SendAttempt(call.id, server.id, timeout_ms, new_connection, send_within_ms)
