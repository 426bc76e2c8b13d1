"""The node: connects the sockets, the discovery of endpoints and the load-balancing policy."""

from __future__ import annotations

import asyncio
import dataclasses
import logging

from workspond.active_request import ActiveRequest
from workspond.attempt_runner import AttemptRunner
from workspond.config import Config
from workspond.descriptor_limits import (
    available_descriptors,
    effective_descriptor_limit,
    max_client_connections,
)
from workspond.discovery.endpoint_list import EndpointList
from workspond.discovery.watcher import EndpointWatcher
from workspond.downstream.buffer_budget import BufferUse
from workspond.downstream.frontend import Frontend
from workspond.downstream.interfaces import ResponseReceiver
from workspond.endpoint_table import EndpointTable
from workspond.graceful_shutdown import MIN_SERVING_S, GracefulShutdown
from workspond.http.request import ClientRequest
from workspond.http.response import Response
from workspond.memory_limits import client_buffer_limit_bytes, fitting_client_connections
from workspond.observability.counters import CountedEvent, EventCounters
from workspond.observability.request_trace import RequestTracer
from workspond.observability.resource_usage import ResourceUsage, resident_bytes, start_usage_report
from workspond.policy.actions import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    PolicyAction,
    RejectRequest,
    SendAttempt,
    SetTimer,
    Subscribe,
    WriteLog,
)
from workspond.policy.balancer import Balancer
from workspond.policy.events import EndpointUpdate, NodeStarted, TimerFired, UpdateKind
from workspond.policy_runner import PolicyRunner
from workspond.request_registry import RequestRegistry
from workspond.upstream.connection import ServerConnection
from workspond.upstream.connection_pool import ConnectionPool
from workspond.upstream.send_guard import SendGuard

# Delay between a failed discovery call and the next one, if the policy does not decide when to subscribe.
# The time limit for receiving updates starts as soon as the agent is reachable again, so the delay is short.
RESUBSCRIBE_DELAY_S = 0.1
# How long a new process waits for the first list of the agent if no call fails, but the response is late.
# Beside a silent agent the process must be ready within 6 s, and its start takes a part of them.
FIRST_LIST_TIMEOUT_S = 3.0

log = logging.getLogger("workspond")


class Node:
    """One replica of the load balancer.

    It handles the requests of the frontend (`RequestHandler`), the endpoint lists of discovery
    (`EndpointListener`) and the actions of the policy (`ActionExecutor`).

    Attributes:
        counters: Event counts that are written to the log.
        frontend: The listener and the connections of clients.
    """

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        settings = config.settings
        self._config = config
        self._loop = loop
        self._descriptor_limit = effective_descriptor_limit(config.max_descriptors)
        self._balancer = Balancer(settings, config.seed)
        self._policy = PolicyRunner(self._balancer, self)
        self.counters = EventCounters()
        self._requests = RequestRegistry(loop, self._policy, self.counters, RequestTracer(), settings.classes)
        self._endpoints = EndpointTable()
        self._upstream = ConnectionPool(
            loop,
            settings.connect_timeout_ms,
            settings.keepalive_ms,
            self._available_descriptors,
            self._count_response,
        )
        self._attempts = AttemptRunner(
            requests=self._requests,
            endpoints=self._endpoints,
            pool=self._upstream,
            guard=SendGuard(settings, self._endpoints.in_service, self._endpoints.addresses),
            policy=self._policy,
            counters=self.counters,
        )
        self._discovery = EndpointWatcher(loop, config.discovery, self)
        self._awaits_first_list = True
        used_bytes = resident_bytes()
        max_connections = max_client_connections(
            self._descriptor_limit, fitting_client_connections(config.max_memory_mb, used_bytes)
        )
        self.frontend = Frontend(
            self._balancer.classes,
            self,
            max_connections=max_connections,
            max_buffer_bytes=client_buffer_limit_bytes(config.max_memory_mb, used_bytes, max_connections),
            counters=self.counters,
        )
        self._shutdown = GracefulShutdown(self.frontend, self._requests, settings.classes)

    def start(self) -> None:
        """Start the policy and call discovery.

        The node becomes ready when a server is in service. That needs a list: the agent's, or the cached one
        once a call has failed or `FIRST_LIST_TIMEOUT_S` has passed.
        """
        self._loop.call_later(FIRST_LIST_TIMEOUT_S, self._use_cached_list)
        self.counters.start_periodic_report(self._loop)
        start_usage_report(self._loop, self.resource_usage)
        self._policy.handle(NodeStarted())
        if not self._config.settings.requires_subscription:
            self._discovery.subscribe()

    def reconfigure(self, config: Config) -> None:
        """Apply the discovery address of a new configuration without disturbing any request.

        All other settings need a restart. If one of them has changed, a warning is logged. Changes of the
        seed and the cached list, which matter only at the start, are not reported.
        """
        expected = dataclasses.replace(
            config,
            discovery=self._config.discovery,
            cached_endpoints=self._config.cached_endpoints,
            seed=self._config.seed,
        )
        if expected != self._config:
            log.warning('reload incomplete: reason="only discovery can change without a restart"')
        self._config = dataclasses.replace(self._config, discovery=config.discovery)
        self._discovery.change_address(config.discovery)

    async def stop(self, min_serving_s: float = MIN_SERVING_S) -> None:
        """Shut down gracefully: keep serving for at least `min_serving_s`, answer all requests, and close."""
        await self._shutdown.run(min_serving_s)
        self._discovery.close()
        self.counters.log_summary()

    def resource_usage(self) -> ResourceUsage:
        """Return what the node uses now."""
        return ResourceUsage(
            buffered_bytes=self.frontend.buffers.total_bytes,
            client_connections=self.frontend.connection_count(),
            server_connections=self._upstream.connection_count(),
            requests=len(self._requests.active),
            attempts=len(self._attempts.in_flight),
        )

    def _available_descriptors(self) -> int:
        return available_descriptors(
            self._descriptor_limit, self.frontend.connection_count(), self._upstream.connection_count()
        )

    def _count_response(self, connection: ServerConnection, size_bytes: int) -> bool:
        """Count the part of a response that a server has sent, and return whether it may be kept."""
        buffers = self.frontend.buffers
        buffers.update(connection, BufferUse(waiting_bytes=size_bytes, served_bytes=0))
        return not buffers.is_far_exceeded()

    # Methods of RequestHandler

    def is_ready(self) -> bool:
        """Return whether any server is in service."""
        return bool(self._endpoints.in_service)

    def accept(self, request: ClientRequest, receiver: ResponseReceiver) -> ActiveRequest:
        """Accept a request, which gets exactly one response unless it is abandoned.

        Raises:
            InvalidRequestError: If a request with the same id is active, or was abandoned and must not be
                repeated.
        """
        self._attempts.cancel_superseded(request)
        return self._requests.accept(request, receiver)

    # Methods of EndpointListener

    def endpoints_received(self, endpoints: EndpointList) -> None:
        """Apply a complete list or an incremental update from discovery."""
        self._awaits_first_list = False
        kind = UpdateKind.COMPLETE if endpoints.complete else UpdateKind.INCREMENTAL
        self._update_endpoints(endpoints, kind)

    def discovery_call_failed(self, reason: str) -> None:
        """Count and log a failed or late discovery call, and arrange for the next one."""
        if not self._discovery.awaits_late_response:
            self._use_cached_list()
        self.counters.increment(CountedEvent.DISCOVERY_FAILED, reason.partition(":")[0])
        log.info('discovery call failed: reason="%s"', reason)
        if self._config.settings.requires_subscription:
            self._policy.handle(EndpointUpdate(UpdateKind.FAILED))
        else:
            self._loop.call_later(RESUBSCRIBE_DELAY_S, self._discovery.subscribe)

    def _use_cached_list(self) -> None:
        """Use the cached list, unless the node has a list already.

        It may be far out of date, and the node is expected to know from its first moment what the agent has.
        So a call that is only late is no reason to use it.
        """
        if self._awaits_first_list:
            self._awaits_first_list = False
            self._update_endpoints(self._config.cached_endpoints, UpdateKind.CACHED)

    def _update_endpoints(self, endpoints: EndpointList, kind: UpdateKind) -> None:
        change = self._endpoints.apply(endpoints, kind)
        for server_id in change.removed_ids:
            self._upstream.close_idle(server_id)
        self._log_applied_list(endpoints, kind, len(change.removed_ids))
        self._policy.handle(change.update)

    def _log_applied_list(self, endpoints: EndpointList, kind: UpdateKind, removed_count: int) -> None:
        """Log which list the node uses from now on, unless the list has changed nothing."""
        if endpoints.endpoints or removed_count or not self._endpoints.addresses:
            log.info(
                "endpoint list applied: kind=%s version=%d entries=%d removed=%d in_service=%d",
                kind.value,
                endpoints.index,
                len(endpoints.endpoints),
                removed_count,
                len(self._endpoints.in_service),
            )

    # Methods of ActionExecutor

    def execute(self, action: PolicyAction) -> None:
        """Execute an action of the policy."""
        match action:
            case SendAttempt():
                self._attempts.send(action)
            case SetTimer():
                delay_s = action.delay_ms / 1000.0
                self._loop.call_later(delay_s, self._policy.handle, TimerFired(action.token))
            case FailRequest():
                self._requests.finish(action.request_id, Response(502, b"failed"), action.reason.value)
            case RejectRequest():
                self._reject(action)
            case CancelAttempt():
                self._attempts.cancel(action.request_id, action.attempt_number)
            case CloseIdleConnections():
                self._upstream.close_idle(action.server_id)
            case Subscribe():
                self._discovery.subscribe()
            case WriteLog():
                log.info("%s", action.text)

    def _reject(self, action: RejectRequest) -> None:
        retry_after_s = action.retry_after_ms / 1000.0 or None  # 0 means no Retry-After
        response = Response(503, b"refused", retry_after_s=retry_after_s)
        self._requests.finish(action.request_id, response, action.reason.value)
