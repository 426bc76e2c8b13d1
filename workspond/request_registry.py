"""Registry of the active requests.

Each request gets exactly one response, at the latest when its deadline timer fires, unless it is abandoned.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Iterable

from workspond.abandoned_requests import AbandonedRequests
from workspond.active_request import ActiveRequest
from workspond.clock import now_ms
from workspond.downstream.close_reason import AbandonReason
from workspond.downstream.interfaces import ResponseReceiver
from workspond.http.request import ClientRequest, InvalidRequestError
from workspond.http.response import Response
from workspond.observability.counters import CountedEvent, EventCounters
from workspond.observability.request_trace import RequestTracer
from workspond.policy.events import RequestAbandoned, RequestReceived
from workspond.policy.settings import RequestClass
from workspond.policy_runner import PolicyRunner

# Attempts can't use this part of a request's budget. It covers the time before the node has read the request
# and the time to send the response.
DEADLINE_MARGIN_MS = 10.0
# A deadline timer that fired early is set again for this long after the deadline.
EARLY_TIMER_DELAY_S = 0.001

log = logging.getLogger("workspond")


class RequestRegistry:
    """Holds each active request from its acceptance to its end.

    The policy identifies a request by a serial number that the node assigns, and not by the client's id. An
    attempt may outlast its request, so a client that reuses an id would mix up the state of two requests.

    Attributes:
        active: The active requests by key.
        open_request_ids: The ids that clients gave the active requests, in X-Call-Id.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        policy: PolicyRunner,
        counters: EventCounters,
        tracer: RequestTracer,
        classes: Iterable[RequestClass],
    ) -> None:
        self._loop = loop
        self._policy = policy
        self._counters = counters
        self._tracer = tracer
        self.active: dict[str, ActiveRequest] = {}
        self.open_request_ids: set[str] = set()
        self._abandoned = AbandonedRequests(classes)
        self._last_serial = 0
        self._latest_deadline_at_ms = math.inf

    def accept(self, message: ClientRequest, receiver: ResponseReceiver) -> ActiveRequest:
        """Accept a request, which gets exactly one response unless it is abandoned.

        Raises:
            InvalidRequestError: If a request with the same id is active, or was abandoned and must not be
                repeated.
        """
        if message.request_id in self.open_request_ids:
            raise InvalidRequestError("a request with this X-Call-Id is open")
        if self._abandoned.get(message.request_id) is not None:
            raise InvalidRequestError("an abandoned request with this X-Call-Id may have run")
        now = now_ms()
        request = self._register(message, receiver)
        ttl_ms = max(0.0, request.deadline_at_ms - now - DEADLINE_MARGIN_MS)
        tenant = message.tenant.decode() if message.tenant is not None else None
        self._policy.handle(
            RequestReceived(request.key, message.class_name, ttl_ms, tenant, message.is_client_retry)
        )
        return request

    def _register(self, message: ClientRequest, receiver: ResponseReceiver) -> ActiveRequest:
        self._last_serial += 1
        deadline_at_ms = min(message.received_at_ms + message.budget_ms, self._latest_deadline_at_ms)
        request = ActiveRequest(self, str(self._last_serial), message, receiver, deadline_at_ms)
        self.active[request.key] = request
        self.open_request_ids.add(message.request_id)
        self._set_deadline_timer(request)
        return request

    def finish(self, key: str, response: Response, reason: str = "") -> None:
        """Send the response to a request, unless the request has been answered or abandoned.

        Args:
            key: The key of the request.
            response: The response.
            reason: Why the request ends without a server's response; empty if it is served.
        """
        request = self.active.get(key)
        if request is None or not self._remove(request):
            return
        self._counters.increment(CountedEvent.REQUEST_ANSWERED, str(response.status))
        if response.status != 200:
            self._counters.increment(CountedEvent.REQUEST_ENDED, reason)
            self._tracer.log_failure(request, response.status, reason)
        request.receiver.send_response(response)

    def abandon(self, request: ActiveRequest, reason: str = AbandonReason.CLIENT_DISCONNECTED) -> None:
        """End a request without sending a response to its receiver; see `ActiveRequest.abandon`."""
        if not self._remove(request):
            return
        self._abandoned.update(request)
        self._counters.increment(CountedEvent.REQUEST_ABANDONED, reason)
        self._tracer.log_abandoned(request, reason)
        self._policy.handle(RequestAbandoned(request.key))

    def attempt_ended(self, request: ActiveRequest) -> None:
        """Take note of the end of an attempt, which decides whether an abandoned request may be repeated."""
        if self._abandoned.get(request.message.request_id) is request:
            self._abandoned.update(request)

    def superseded_by(self, message: ClientRequest) -> ActiveRequest | None:
        """Return the abandoned request that a new one repeats, if its attempts may be cancelled for that."""
        abandoned = self._abandoned.get(message.request_id)
        if abandoned is None or not self._abandoned.may_be_repeated(abandoned):
            return None
        return abandoned

    def limit_deadlines(self, latest_at_ms: float) -> None:
        """Limit the deadlines of all active and future requests to `latest_at_ms`."""
        self._latest_deadline_at_ms = latest_at_ms
        for request in self.active.values():
            if request.deadline_at_ms > latest_at_ms:
                request.deadline_at_ms = latest_at_ms
                self._set_deadline_timer(request)

    def _remove(self, request: ActiveRequest) -> bool:
        """Remove a request and return whether it was active; if so, the caller must answer or abandon it."""
        if self.active.pop(request.key, None) is None:
            return False
        self.open_request_ids.discard(request.message.request_id)
        request.message.release()  # an attempt in flight may outlast the request for long
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        return True

    def _set_deadline_timer(self, request: ActiveRequest) -> None:
        """Set the timer for the current deadline of a request, and cancel its previous timer."""
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        remaining_s = max(0.0, request.deadline_at_ms - now_ms()) / 1000.0
        request.deadline_timer = self._loop.call_later(remaining_s, self._deadline_timer_fired, request)

    def _deadline_timer_fired(self, request: ActiveRequest) -> None:
        remaining_ms = request.deadline_at_ms - now_ms()
        # The event loop's clock may run ahead of `now_ms`, and a request must not fail before its deadline.
        if remaining_ms > 0.0:
            request.deadline_timer = self._loop.call_later(
                remaining_ms / 1000.0 + EARLY_TIMER_DELAY_S, self._deadline_timer_fired, request
            )
        else:
            self._fail_at_deadline(request)

    def _fail_at_deadline(self, request: ActiveRequest) -> None:
        """Answer a request with status 504 if it is still active at its deadline."""
        if not self._remove(request):
            return
        response = Response(504, b"no answer in time")
        message = request.message
        log.warning(
            "request not ended by its deadline: request=%s class=%s status=%d",
            message.request_id,
            message.class_name,
            response.status,
        )
        self._counters.increment(CountedEvent.REQUEST_ANSWERED, str(response.status))
        self._tracer.log_failure(request, response.status, "deadline")
        request.receiver.send_response(response)
        self._policy.handle(RequestAbandoned(request.key))
