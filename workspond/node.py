"""The node: connects the sockets, the discovery of endpoints and the load-balancing policy."""

from __future__ import annotations

import asyncio
import dataclasses
import logging

from workspond.active_request import ActiveRequest
from workspond.attempt_runner import AttemptRunner
from workspond.config import Config
from workspond.descriptor_limits import available_descriptors, max_client_connections, usable_descriptors
from workspond.discovery.endpoint_list import EndpointList
from workspond.discovery.watcher import EndpointWatcher
from workspond.downstream.client_connection import ResponseReceiver
from workspond.downstream.frontend import Frontend
from workspond.endpoint_table import EndpointTable
from workspond.graceful_shutdown import ACCEPT_S, GracefulShutdown
from workspond.http.request import ClientRequest
from workspond.http.response import Response
from workspond.observability.counters import CountedEvent, EventCounters
from workspond.observability.request_trace import RequestTracer
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
from workspond.upstream.connection_pool import ConnectionPool
from workspond.upstream.send_guard import SendGuard

# After a failure of the agent, where lists come without a subscription: when the agent returns, the time
# within which the node has to know all that the agent has begins at once.
RESUBSCRIBE_DELAY_S = 0.1

log = logging.getLogger("workspond")


class Node:
    """One replica of the load balancer.

    It handles the requests of the frontend (`RequestHandler`), the endpoint lists of discovery
    (`EndpointListener`) and the actions of the policy (`ActionExecutor`).

    Attributes:
        counters: Counts of what happened, for the log.
        frontend: The clients' side.
    """

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        settings = config.settings
        self._config = config
        self._loop = loop
        self._descriptors = usable_descriptors(config.max_descriptors)
        self._balancer = Balancer(settings, config.seed)
        self._policy = PolicyRunner(self._balancer, self)
        self.counters = EventCounters()
        self._requests = RequestRegistry(loop, self._policy, self.counters, RequestTracer())
        self._endpoints = EndpointTable()
        self._upstream = ConnectionPool(
            loop, settings.connect_timeout_ms, settings.keepalive_ms, self._available_descriptors
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
        self._discovery_answered = False  # or its first call has failed
        self.frontend = Frontend(
            self._balancer.classes, self, max_client_connections(self._descriptors), self.counters
        )
        self._shutdown = GracefulShutdown(self.frontend, self._requests, settings.classes)

    def start(self) -> None:
        """Start the policy and call discovery: the node is ready once that call has ended."""
        self.counters.start_periodic_report(self._loop)
        self._policy.handle(NodeStarted())
        if not self._config.settings.requires_subscription:
            self._discovery.subscribe()

    def reconfigure(self, config: Config) -> None:
        """Take the discovery address of a new configuration, and nothing else; all requests go on."""
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

    async def stop(self, accept_s: float = ACCEPT_S) -> None:
        """Shut down gracefully: serve on for `accept_s` at least, answer all requests, and close."""
        await self._shutdown.run(accept_s)
        self._discovery.close()
        self.counters.log_summary()

    def _available_descriptors(self) -> int:
        return available_descriptors(
            self._descriptors, self.frontend.connection_count(), self._upstream.connection_count()
        )

    # RequestHandler

    def is_ready(self) -> bool:
        """Return whether there is a server to send requests to."""
        return bool(self._endpoints.in_service)

    def accept(self, request: ClientRequest, receiver: ResponseReceiver) -> ActiveRequest:
        """Accept a request; from now on its client is owed exactly one answer.

        Raises:
            InvalidRequestError: If a request with this id is open.
        """
        return self._requests.accept(request, receiver)

    # EndpointListener

    def endpoints_received(self, endpoints: EndpointList) -> None:
        """Take a list from discovery."""
        self._discovery_answered = True
        kind = UpdateKind.COMPLETE if endpoints.complete else UpdateKind.INCREMENTAL
        self._update_endpoints(endpoints, kind)

    def watch_failed(self, reason: str) -> None:
        """Note that a call to discovery has failed, and have the next one made when it is due."""
        if not self._discovery_answered:
            self._discovery_answered = True
            # The node counts as knowing from the process's first moment what the agent holds. So the list
            # that it had last, perhaps long ago, is only for when there is no other.
            self._update_endpoints(self._config.cached_endpoints, UpdateKind.CACHED)
        self.counters.increment(CountedEvent.DISCOVERY_FAILED, reason.partition(":")[0])
        log.info('discovery call failed: reason="%s"', reason)
        if self._config.settings.requires_subscription:
            self._policy.handle(EndpointUpdate(UpdateKind.FAILED))
        else:
            self._loop.call_later(RESUBSCRIBE_DELAY_S, self._discovery.subscribe)

    def _update_endpoints(self, endpoints: EndpointList, kind: UpdateKind) -> None:
        change = self._endpoints.apply(endpoints, kind)
        for server_id in change.removed_ids:
            self._upstream.close_idle(server_id)
        self._policy.handle(change.update)

    # ActionExecutor

    def execute(self, action: PolicyAction) -> None:
        """Execute an action of the policy."""
        match action:
            case SendAttempt():
                self._attempts.send(action)
            case SetTimer():
                delay_s = action.delay_ms / 1000.0
                self._loop.call_later(delay_s, self._policy.handle, TimerFired(action.token))
            case FailRequest():
                self._requests.finish(action.request_id, Response(502, b"failed"))
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
        retry_after_s = action.retry_after_ms / 1000.0 or None  # 0: the policy advises none
        self._requests.finish(action.request_id, Response(503, b"refused", retry_after_s=retry_after_s))
