"""Writes log lines that trace failed, rejected and abandoned requests with all their attempts."""

from __future__ import annotations

import logging
from typing import Protocol

from workspond.clock import now_ms
from workspond.http.request import ClientRequest
from workspond.observability.attempt_record import BlockedAttempt, EndedAttempt
from workspond.policy.token_bucket import TokenBucket

MAX_TRACES_PER_S = 20.0  # limits the CPU time that logging takes under overload
REJECTED_STATUS = 503

log = logging.getLogger("workspond")


class TracedRequest(Protocol):
    """The part of an `ActiveRequest` that is written to a trace."""

    message: ClientRequest
    received_at_ms: float
    attempts_started: int
    attempts_ended: int
    attempt_records: list[EndedAttempt | BlockedAttempt]


class RequestTracer:
    """Writes traces to the log, at most `MAX_TRACES_PER_S` on average."""

    def __init__(self) -> None:
        self._rate_limit = TokenBucket(MAX_TRACES_PER_S, now_ms())

    def log_failure(self, request: TracedRequest, status: int, reason: str) -> None:
        """Trace a request that was answered with an error status, for this reason."""
        event = "rejected" if status == REJECTED_STATUS else "failed"
        self._write(request, event, f"status={status}", f' reason="{reason}"')

    def log_abandoned(self, request: TracedRequest, reason: str) -> None:
        """Trace a request that was abandoned before it was answered."""
        self._write(request, "abandoned", f'reason="{reason}"')

    def _write(self, request: TracedRequest, event: str, result: str, reason: str = "") -> None:
        now = now_ms()
        if not self._rate_limit.try_take(MAX_TRACES_PER_S / 1000.0, MAX_TRACES_PER_S, now):
            return
        message = request.message
        log.info(
            "request %s: request=%s class=%s %s after_ms=%.1f budget_ms=%.1f%s in_flight=%d: %s",
            event,
            message.request_id,
            message.class_name,
            result,
            now - request.received_at_ms,
            message.budget_ms,
            reason,
            request.attempts_started - request.attempts_ended,
            "; ".join(map(str, request.attempt_records)) or "no attempt ended",
        )
