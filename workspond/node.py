"""The node: turns what happens on sockets into the module's events and does what it answers.

Only this file calls `Balancer.handle`, one event at a time: an event that an action raises is queued.
Every request taken is answered exactly once, at the latest by a timer at its deadline.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import resource
from collections import deque

from workspond.address import Address
from workspond.clock import now_ms
from workspond.config import Config
from workspond.discovery.endpoint_list import EndpointList
from workspond.discovery.incarnations import IncarnationTracker
from workspond.discovery.watcher import EndpointWatcher
from workspond.downstream.client_connection import ResponseReceiver
from workspond.downstream.frontend import Frontend
from workspond.http.request import ClientRequest, InvalidRequestError
from workspond.http.response import Response
from workspond.observability.counters import CountedEvent, EventCounters
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
from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.events import (
    AttemptEnded,
    EndpointUpdate,
    NodeStarted,
    Outcome,
    PolicyEvent,
    RequestAbandoned,
    RequestReceived,
    TimerFired,
    UpdateKind,
)
from workspond.policy.token_bucket import TokenBucket
from workspond.upstream.attempt import Attempt, ServerResponse
from workspond.upstream.connection_pool import ConnectionPool
from workspond.upstream.send_guard import AttemptHistory, PendingSend, SendGuard, SendRefusal

MARGIN_MS = 10.0  # of a budget: it ran before the request was read, and the answer takes its time
# A planned end. Connections go on coming for 0.4 s after SIGTERM at least; SIGKILL follows no sooner than
# the longest deadline of a class, 3 s at most, and 0.7 s more.
ACCEPT_S = 0.45
LONGEST_MS, KILL_MS = 3_000.0, 700.0
STOP_MARGIN_MS = 200.0  # from the last answer to that kill
LAST_MS = 800.0  # before the last answer all begins to close: what comes till then has a fair chance
SPARE_SOCKETS = 24  # of the limit: listener, discovery, event loop, log, and sockets half closed
CALLERS_SHARE = 0.55  # of the limit: the rest is for attempts, one to each of a third of it, and idle ones
# After a failure of the agent, where lists come unasked: at its return all that it has counts at once.
PUSHED_RETRY_S = 0.1
TRACES_PER_S = 20.0  # lines at most on requests that ended badly, so that a jam does not spend CPU on its log

log = logging.getLogger("workspond")


class ActiveRequest:
    """A request that is owed its answer, with its attempts."""

    __slots__ = (
        "_node",
        "attempts",
        "received_at_ms",
        "deadline_at_ms",
        "deadline_timer",
        "key",
        "request",
        "outcomes",
        "receiver",
        "history",
    )

    def __init__(
        self, node: Node, id: str, message: ClientRequest, requester: ResponseReceiver, deadline_ms: float
    ) -> None:
        self._node, self.key, self.request, self.receiver = node, id, message, requester
        self.received_at_ms, self.deadline_at_ms = message.received_at_ms, deadline_ms
        self.attempts = 0  # begun so far
        self.history = AttemptHistory()
        self.outcomes: list[str] = []  # how each of them ended, for the log
        self.deadline_timer: asyncio.TimerHandle | None = None

    def abandon(self, why: str) -> None:
        """Nobody waits any more."""
        self._node.abandon(self, why)


def request_bytes(message: ClientRequest, address: Address, timeout_ms: float) -> bytes:
    """A request as it goes to a server, in one piece; it is waited for so long from now."""
    parts = [
        message.method,
        b" ",
        message.target,
        b" HTTP/1.1\r\nHost: ",
        f"{address[0]}:{address[1]}\r\nX-Call-Id: {message.request_id}\r\n".encode(),
        f"X-Budget: {timeout_ms / 1000.0:.3f}\r\n".encode(),
    ]
    if message.idempotency_key is not None:
        parts += [b"Idempotency-Key: ", message.idempotency_key, b"\r\n"]
    if message.content_type is not None:
        parts += [b"Content-Type: ", message.content_type, b"\r\n"]
    if message.body or message.method != b"GET":
        parts.append(f"Content-Length: {len(message.body)}\r\n".encode())
    return b"".join((*parts, b"\r\n", message.body))


class OutgoingAttempt:
    """One attempt of a request: what the connection pool has to ask and to tell while it makes it."""

    __slots__ = (
        "_node",
        "address",
        "number",
        "request",
        "send_until_ms",
        "server_id",
        "started_at_ms",
        "timeout_at_ms",
        "written",
    )

    def __init__(
        self,
        node: Node,
        request: ActiveRequest,
        server_id: int,
        address: Address,
        started_at_ms: float,
        timeout_at_ms: float,
        send_until_ms: float,
    ) -> None:
        self._node = node
        self.request = request
        self.number = request.attempts
        self.server_id = server_id
        self.address = address
        self.started_at_ms = started_at_ms
        self.timeout_at_ms = timeout_at_ms
        self.send_until_ms = send_until_ms
        self.written = False

    def may_send(self) -> bool:
        """Whether the request may still be written."""
        return self._node.may_send(self)

    def render_request(self) -> bytes:
        """The request's bytes, with the time that is left now."""
        self.written = True
        self.request.history.record_write()
        return request_bytes(self.request.request, self.address, max(0.0, self.timeout_at_ms - now_ms()))

    def attempt_ended(self, outcome: Outcome, response: ServerResponse | None) -> None:
        """Tell the node how the attempt ended."""
        self._node.attempt_ended(self, outcome, response)


def usable_descriptors(configured: int) -> int:
    """How many descriptors the process may hold: the least of what is configured and the system's limit."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return configured if limit == resource.RLIM_INFINITY else min(configured, limit)


class Node:
    """One balancing node."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self._config, self._loop = config, loop
        settings = config.settings
        self._descriptors = usable_descriptors(config.max_descriptors)
        self._balancer = Balancer(settings, config.seed)
        self._events: deque[PolicyEvent] = deque()
        self._handling = False
        # Keyed by a serial of the node's own, as is all that the module hears: an attempt may outlast its
        # request, and a caller's id that came again would mix up their books.
        self._serial = 0
        self._live: dict[str, ActiveRequest] = {}
        self._open_ids: set[str] = set()  # the callers' ids of those
        self._attempts: dict[tuple[str, int], Attempt] = {}  # those that are out
        self._addresses: dict[int, Address] = {}
        self._in_service: set[int] = set()
        self._starts = IncarnationTracker()
        self.counters = EventCounters()
        self._guard = SendGuard(settings, self._in_service, self._addresses)
        self._upstream = ConnectionPool(loop, settings.connect_timeout_ms, settings.keepalive_ms, self._room)
        self._discovery = EndpointWatcher(loop, config.discovery, self)
        self._discovery_answered = False  # or its first call has failed
        self.frontend = Frontend(
            self._balancer.classes,
            self,
            int(CALLERS_SHARE * self._descriptors),
            self.counters,
        )
        self._traces = TokenBucket(TRACES_PER_S, now_ms())
        self._longest_ms = min(LONGEST_MS, max(cls.deadline_ms for cls in settings.classes))
        self._stop_ms = math.inf  # when all must be answered, once the node is to end

    def start(self) -> None:
        """Let the module begin, and ask for the list: the node is ready once that call has ended."""
        self.counters.start_periodic_report(self._loop)
        self._handle(NodeStarted())
        if not self._config.settings.requires_subscription:
            self._discovery.subscribe()

    def reconfigure(self, config: Config) -> None:
        """Go on under a new configuration: discovery may be elsewhere; all that is held stays."""
        if (
            dataclasses.replace(
                config,
                discovery=self._config.discovery,
                cached_endpoints=self._config.cached_endpoints,
                seed=self._config.seed,
            )
            != self._config
        ):
            log.warning("only a new address of discovery is taken without a restart")
        self._config = dataclasses.replace(self._config, discovery=config.discovery)
        self._discovery.change_address(config.discovery)

    async def stop(self, accept_s: float = ACCEPT_S) -> None:
        """Serve on for a while, then finish all that is held and close.

        Callers go on using the connections they have, and may have no other node to go to: these are
        served until just enough time is left to answer before the platform kills the node.
        """
        grace_ms = KILL_MS - STOP_MARGIN_MS + self._longest_ms
        asked_ms, self._stop_ms = now_ms(), now_ms() + grace_ms
        for live in self._live.values():  # that kill comes first
            if live.deadline_at_ms > self._stop_ms:
                live.deadline_at_ms = self._stop_ms
                self._set_deadline_timer(live)
        self.frontend.fail_ready_checks()
        await asyncio.sleep(accept_s)
        # The listener stays open as long as connections are served: whoever is refused a new one takes the
        # node for dead and leaves its open ones too, and where it is the only node has nowhere to go.
        try:
            async with asyncio.timeout((self._stop_ms - LAST_MS - now_ms()) / 1000.0):
                await self.frontend.wait_until_empty()
        except TimeoutError:
            log.info("closing connections %.0f ms after the signal", now_ms() - asked_ms)
        await self.frontend.close_listener()
        try:
            async with asyncio.timeout((self._stop_ms + STOP_MARGIN_MS / 2.0 - now_ms()) / 1000.0):
                await self.frontend.drain()
        except TimeoutError:
            self.frontend.abort()  # all is answered by now; what is left does not read
        self._discovery.close()
        self.counters.log_summary()

    def _room(self) -> int:
        return (
            self._descriptors
            - SPARE_SOCKETS
            - self.frontend.connection_count()
            - self._upstream.connection_count()
        )

    def is_ready(self) -> bool:
        """Whether there is a server to send requests to."""
        return bool(self._in_service)

    # Requests

    def accept(self, message: ClientRequest, requester: ResponseReceiver) -> ActiveRequest:
        """Take a request; from now on its caller is owed exactly one answer."""
        if message.request_id in self._open_ids:
            raise InvalidRequestError("a request with this X-Call-Id is open")
        self._serial += 1
        now, id = now_ms(), str(self._serial)
        live = ActiveRequest(
            self, id, message, requester, min(message.received_at_ms + message.budget_ms, self._stop_ms)
        )
        self._live[id] = live
        self._open_ids.add(message.request_id)
        self._set_deadline_timer(live)
        ttl_ms = max(0.0, live.deadline_at_ms - now - MARGIN_MS)
        self._handle(RequestReceived(id, message.class_name, ttl_ms, message.tenant, message.is_client_retry))
        return live

    def _set_deadline_timer(self, live: ActiveRequest) -> None:
        """Set the timer that fails the request to its deadline, as it is now."""
        if live.deadline_timer is not None:
            live.deadline_timer.cancel()
        left_s = max(0.0, live.deadline_at_ms - now_ms()) / 1000.0
        live.deadline_timer = self._loop.call_later(left_s, self._overdue, live)

    def abandon(self, live: ActiveRequest, why: str = "left by its caller") -> None:
        """Nobody waits any more."""
        if self._drop(live):
            self.counters.increment(CountedEvent.REQUEST_ABANDONED, why)
            self._trace(live, why)
            self._handle(RequestAbandoned(live.key))

    def _drop(self, live: ActiveRequest) -> bool:
        """Forget a request, if it is still owed: whoever gets True has its one answer to give."""
        if self._live.pop(live.key, None) is None:
            return False
        self._open_ids.discard(live.request.request_id)
        if live.deadline_timer is not None:
            live.deadline_timer.cancel()
        return True

    def _finish(self, id: str, reply: Response) -> None:
        live = self._live.get(id)
        if live is not None and self._drop(live):
            self.counters.increment(CountedEvent.REQUEST_ANSWERED, str(reply.status))
            if reply.status != 200:
                self._trace(live, f"answered {reply.status}")
            live.receiver.send_response(reply)

    def _trace(self, live: ActiveRequest, end: str) -> None:
        """Log a request that ended badly, from its arrival on, with every attempt."""
        now, message = now_ms(), live.request
        if self._traces.try_take(TRACES_PER_S / 1000.0, TRACES_PER_S, now):
            log.info(
                "request %s %s %s after %.1f of %.1f ms: %s%s",
                message.request_id,
                message.class_name,
                end,
                now - live.received_at_ms,
                message.budget_ms,
                "; ".join(live.outcomes) or "no attempt ended",
                f"; {out} out" if (out := live.attempts - len(live.outcomes)) else "",
            )

    def _overdue(self, live: ActiveRequest) -> None:
        """Fail a request that the module has not ended by its deadline, whatever the reason."""
        left_ms = live.deadline_at_ms - now_ms()
        if left_ms > 0.0:  # the loop's clock may run ahead: failing early would be a broken promise
            live.deadline_timer = self._loop.call_later(left_ms / 1000.0 + 0.001, self._overdue, live)
        elif self._drop(live):
            log.warning("request %s was not ended by its deadline", live.request.request_id)
            self.counters.increment(CountedEvent.REQUEST_ANSWERED, "504")
            self._trace(live, "answered 504")
            live.receiver.send_response(Response(504, b"no answer in time"))
            self._handle(RequestAbandoned(live.key))

    # The module

    def _handle(self, event: PolicyEvent) -> None:
        """Give the module an event and do what it says; events raised meanwhile wait their turn."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    for action in self._balancer.handle(event, now_ms()):
                        self._do(action)
                except Exception:  # a request that this leaves open is failed at its deadline
                    log.exception("handling %s", type(event).__name__)
        finally:
            self._handling = False

    def _do(self, action: PolicyAction) -> None:
        match action:
            case SendAttempt():
                self._send(action)
            case SetTimer():
                self._loop.call_later(action.delay_ms / 1000.0, self._handle, TimerFired(action.token))
            case FailRequest():
                self._finish(action.request_id, Response(502, b"failed"))
            case RejectRequest():
                advice_s = action.retry_after_ms / 1000.0 or None  # 0: the module gives none
                self._finish(action.request_id, Response(503, b"refused", retry_after_s=advice_s))
            case CancelAttempt():
                attempt = self._attempts.get((action.request_id, action.attempt_number))
                if attempt is not None:
                    attempt.abort(Outcome.CANCELLED)
            case CloseIdleConnections():
                self._upstream.close_idle(action.server_id)
            case Subscribe():
                self._discovery.subscribe()
            case WriteLog():
                log.info("%s", action.text)

    # Attempts

    def _send(self, action: SendAttempt) -> None:
        live, server_id, now = self._live.get(action.request_id), action.server_id, now_ms()
        address, send_until_ms = self._addresses.get(server_id), now + action.send_within_ms
        refusal = self._refusal(live, server_id, address, send_until_ms)
        if live is None or address is None or refusal is not None:
            number = live.attempts if live is not None else 0
            request_finished = action.request_id not in self._live
            self._handle(
                AttemptEnded(action.request_id, number, server_id, Outcome.NOT_SENT, 0.0, request_finished)
            )
            return
        # Cut to what is left: an outcome must come before the answer is due.
        timeout_ms = max(0.0, min(action.timeout_ms, live.deadline_at_ms - MARGIN_MS - now))
        outgoing = OutgoingAttempt(self, live, server_id, address, now, now + timeout_ms, send_until_ms)
        live.attempts += 1
        attempt = self._upstream.send(
            server_id, address, outgoing, timeout_ms, new_connection=action.new_connection
        )
        if not attempt.is_over:
            self._attempts[action.request_id, outgoing.number] = attempt

    def may_send(self, outgoing: OutgoingAttempt) -> bool:
        """Whether an attempt may still be written, now that its connection has come up."""
        refusal = self._refusal(
            outgoing.request, outgoing.server_id, outgoing.address, outgoing.send_until_ms
        )
        return refusal is None

    def attempt_ended(
        self, outgoing: OutgoingAttempt, result: Outcome, answer: ServerResponse | None
    ) -> None:
        """Take the outcome of an attempt, and answer its request if it was served."""
        live = outgoing.request
        self._attempts.pop((live.key, outgoing.number), None)
        if outgoing.written:
            live.history.record_end(may_have_run=self._guard.may_have_run(result))
        self.counters.increment(CountedEvent.ATTEMPT_ENDED, result.name)
        took_ms = now_ms() - outgoing.started_at_ms
        began_ms = outgoing.started_at_ms - live.received_at_ms
        host, port = outgoing.address
        live.outcomes.append(f"{result.name} at {host}:{port} from {began_ms:.1f} for {took_ms:.1f}")
        if result is Outcome.SUCCESS and answer is not None:
            self._finish(live.key, Response(200, answer.body, answer.content_type))
        request_finished = live.key not in self._live
        report = answer.load_report if answer is not None else None
        self._handle(
            AttemptEnded(
                live.key, outgoing.number, outgoing.server_id, result, took_ms, request_finished, report
            )
        )

    def _refusal(
        self, live: ActiveRequest | None, server: int, address: Address | None, latest_ms: float
    ) -> SendRefusal | None:
        """Why an attempt must not be written now; asked when it is decided, and when a dial has ended."""
        if live is None or live.key not in self._live:
            return SendRefusal.REQUEST_ENDED
        if live.receiver.has_disconnected():
            self.abandon(live)
            return SendRefusal.CLIENT_DISCONNECTED
        message = live.request
        reason = self._guard.check(
            PendingSend(message.request_id, message.class_name, live.history, server, address, latest_ms)
        )
        if reason is not None:
            self.counters.increment(CountedEvent.ATTEMPT_BLOCKED, reason.value)
            live.outcomes.append(f"held back: {reason.value}")
        return reason

    # Discovery

    def endpoints_received(self, endpoints: EndpointList) -> None:
        """Take what discovery has answered."""
        self._discovery_answered = True
        kind = UpdateKind.COMPLETE if endpoints.complete else UpdateKind.INCREMENTAL
        self._take_listing(endpoints, kind)

    def watch_failed(self, reason: str) -> None:
        """A call to discovery has failed: have the next one made when it is due."""
        if not self._discovery_answered:
            self._discovery_answered = True
            # What the agent holds counts as told from the process's first moment, so the list that this node
            # last had, perhaps long ago, is for when there is no other.
            self._take_listing(self._config.cached_endpoints, UpdateKind.CACHED)
        self.counters.increment(CountedEvent.DISCOVERY_FAILED, reason.partition(":")[0])
        log.info("discovery: %s", reason)
        if self._config.settings.requires_subscription:
            self._handle(EndpointUpdate(UpdateKind.FAILED))
        else:
            self._loop.call_later(PUSHED_RETRY_S, self._discovery.subscribe)

    def _take_listing(self, listing: EndpointList, kind: UpdateKind) -> None:
        self._starts.assign_start_times(listing, now_ms())
        gone = []
        if kind is not UpdateKind.INCREMENTAL:
            gone = list(self._addresses.keys() - listing.addresses.keys() - listing.unchanged_ids)
            for server in gone:
                self._forget(server)
        for entry in listing.endpoints:
            if entry.state is EndpointState.REMOVED:
                self._forget(entry.server_id)
                continue
            self._addresses[entry.server_id] = listing.addresses[entry.server_id]
            if entry.state is EndpointState.IN_SERVICE:
                self._in_service.add(entry.server_id)
            else:
                self._in_service.discard(entry.server_id)
        if not listing.unchanged_ids:
            return self._handle(EndpointUpdate(kind, listing.index, listing.endpoints))
        # The module hears of a whole list what has changed.
        entries = [
            *listing.endpoints,
            *(Endpoint(server, state=EndpointState.REMOVED) for server in gone),
        ]
        self._handle(EndpointUpdate(UpdateKind.INCREMENTAL, listing.index, entries))

    def _forget(self, server: int) -> None:
        self._in_service.discard(server)
        self._addresses.pop(server, None)
        self._starts.forget(server)
        self._upstream.close_idle(server)
