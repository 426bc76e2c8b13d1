"""The balancer of one replica: handles the node's events and returns the actions that the node must take.

A failed attempt is retried with the probability that a PI controller allows. The controller is the one of
Round Trip Delay Control (RTDC; Hong, Huang and Yan, section V.B). Servers are selected by smooth weighted
round robin. docs/design.md explains which parts follow the paper, which do not, and why.

Each concept has a module of its own. The balancer passes every request through these modules:

    request received  `tenant_quotas` and `admission` decide whether to shed it, queue it or send it
    attempt to send   `server_selection` picks a server, `send_gate` checks the rules, `attempt_sender` sends
    attempt ended     `outcome_recorder` measures, `retry_controller` and `retry_policy` decide on a retry
    timer fired       `request_timers` finds the request whose backoff or time in `request_queue` is over

Events are defined in `workspond.policy.events`, actions in `workspond.policy.actions`.
"""

from __future__ import annotations

import random

from workspond.policy.actions import (
    EndReason,
    FailRequest,
    PolicyAction,
    RejectRequest,
    SetTimer,
    Subscribe,
)
from workspond.policy.admission import AdmissionController
from workspond.policy.attempt_sender import AttemptSender
from workspond.policy.call import Call
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
from workspond.policy.fleet import Fleet
from workspond.policy.idle_timeout import IdleTimeout
from workspond.policy.outcome_recorder import OutcomeRecorder
from workspond.policy.outlier_ejection import OutlierEjection
from workspond.policy.request_queue import RequestQueue
from workspond.policy.request_statistics import AVERAGING_SAMPLES, ClassStatistics, TypicalDelay
from workspond.policy.request_timers import SUBSCRIPTION_TOKEN, RequestTimers
from workspond.policy.retry_controller import RetryController
from workspond.policy.retry_policy import RetryPolicy
from workspond.policy.send_gate import SendGate
from workspond.policy.server import Server
from workspond.policy.server_selection import ServerSelector
from workspond.policy.settings import Settings
from workspond.policy.slow_start import SlowStart
from workspond.policy.subscription_backoff import subscription_backoff_ms
from workspond.policy.tenant_quotas import TenantQuotas

# A replica doubles its subset of the servers when it has more attempts in flight per server of the subset
# than this.
MAX_IN_FLIGHT_PER_SUBSET_SERVER = 1.0


class Balancer:
    """Makes the load-balancing decisions of one replica. It has no clock: the caller passes the current time.

    Attributes:
        settings: The settings of the replica.
        classes: The request classes, by name.
        in_flight: The number of attempts in flight.
        retry_controller: The PI controller that limits retries and sheds load.
        typical_delay: The typical delay of an attempt.
        class_statistics: Statistics of the answers to each request class.
        fleet: The listed servers.
        admission: Load shedding and the concurrency limit.
        retry_policy: The limits, backoffs and timeouts of attempts.
    """

    def __init__(self, settings: Settings, salt: int) -> None:
        """Create a balancer without servers; `salt` seeds its random number generator."""
        self.settings = settings
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.in_flight = 0
        self._calls: dict[str, Call] = {}  # requests without a final answer, by request id
        self._actions: list[PolicyAction] = []  # actions that follow from the event being handled
        self._rng = random.Random(salt)
        self._timers = RequestTimers()
        self._queue = RequestQueue(settings.tier)
        self._quotas = TenantQuotas(settings)
        # Measurements
        self.retry_controller = RetryController()
        self.typical_delay = TypicalDelay()
        self.class_statistics = ClassStatistics(settings.classes, AVERAGING_SAMPLES)
        idle_timeout = IdleTimeout(settings.keepalive_ms)
        # Servers
        self.fleet = Fleet(settings, self._rng)
        self._slow_start = SlowStart(settings, self.retry_controller)
        self._selector = ServerSelector(self.fleet, self._slow_start, self.typical_delay, self._rng)
        # Decisions about requests and their attempts
        self.retry_policy = RetryPolicy(settings, self._rng)
        self.admission = AdmissionController(
            settings,
            self.retry_controller,
            self.class_statistics,
            self.fleet,
            typical_delay=self.typical_delay,
            rng=self._rng,
        )
        self._gate = SendGate(settings, self._calls, self.retry_policy, self.fleet, self._slow_start)
        self._sender = AttemptSender(self.retry_policy, self._selector, self.typical_delay, idle_timeout)
        self._outcomes = OutcomeRecorder(
            self.retry_controller,
            self.typical_delay,
            idle_timeout,
            OutlierEjection(self._rng),
            self._selector,
        )

    def handle(self, event: PolicyEvent, now_ms: float) -> list[PolicyAction]:
        """Handle one event and return the actions that the node must take.

        Args:
            event: The event.
            now_ms: The time of the event in milliseconds, from a monotonic clock.
        """
        self._actions = []
        match event:
            case RequestReceived():
                self._on_request_received(event, now_ms)
            case AttemptEnded():
                self._on_attempt_ended(event, now_ms)
            case TimerFired():
                self._on_timer_fired(event, now_ms)
            case EndpointUpdate():
                self._on_endpoint_update(event, now_ms)
            case RequestAbandoned():
                self._calls.pop(event.request_id, None)
            case NodeStarted() if self.settings.requires_subscription:
                self._actions.append(Subscribe())
        return self._actions

    def _on_request_received(self, event: RequestReceived, now_ms: float) -> None:
        call = Call(event, self.classes[event.class_name], now_ms)
        self._calls[event.request_id] = call
        self.class_statistics.record_request(event.class_name)
        self.retry_policy.count_request(now_ms)
        if event.tenant is not None:
            call.over_quota = self._quotas.count_request(event.tenant, now_ms)
        if self.admission.should_shed(call, now_ms):
            self._reject_or_fail(call, EndReason.LOAD_SHED)
        else:
            self._send_or_wait(call, now_ms)

    def _on_attempt_ended(self, event: AttemptEnded, now_ms: float) -> None:
        call = self._calls.get(event.request_id)
        server = self.fleet.servers.get(event.server_id)
        self.in_flight -= 1
        if server is not None:
            self._outcomes.record(server, call, event, now_ms)
        if call is not None and event.request_finished:
            self._finish_answered(call, event, now_ms)
        elif call is not None:
            self._retry(call, event, now_ms)
        self._release_queued(now_ms)

    def _on_timer_fired(self, event: TimerFired, now_ms: float) -> None:
        if event.token == SUBSCRIPTION_TOKEN:
            self._actions.append(Subscribe())
        call = self._timers.take_fired(event.token)
        if call is None or call.id not in self._calls:
            return
        if call.is_queued:
            self._reject_or_fail(call, EndReason.QUEUE_TIMEOUT)
        else:
            self._send_or_wait(call, now_ms)

    def _on_endpoint_update(self, event: EndpointUpdate, now_ms: float) -> None:
        if event.kind is UpdateKind.FAILED:
            wait_ms = subscription_backoff_ms(self.settings.poll_interval_ms, self._rng)
            self._actions.append(SetTimer(SUBSCRIPTION_TOKEN, wait_ms))
            return
        self._selector.apply(self.fleet.apply(event, now_ms), now_ms)
        self._release_queued(now_ms)

    def _send_or_wait(self, call: Call, now_ms: float) -> None:
        """Send the request. If that is not possible now, queue it, schedule a later attempt, or end it."""
        if self._at_concurrency_limit(call, now_ms):
            self._enqueue(call, now_ms)
            return
        server = self._selector.pick(call, now_ms)
        if server is None and call.first_possible_run_at_ms is None and self.fleet.subset_size:
            self._enqueue(call, now_ms)
        elif server is None or not self._send(call, server, now_ms):
            self._schedule_attempt_or_end(call, now_ms)

    def _at_concurrency_limit(self, call: Call, now_ms: float) -> bool:
        return self.admission.at_concurrency_limit(
            call, self.in_flight, self._selector.count_stalled_attempts, now_ms
        )

    def _enqueue(self, call: Call, now_ms: float) -> None:
        """Queue the request until its queue deadline; end it if that deadline is too close."""
        slack_ms = 2.0 * self.settings.tick_ms
        wait_ms = self._queue.queue_deadline_at_ms(call) - now_ms
        if wait_ms <= slack_ms:
            self._reject_or_fail(call, EndReason.NO_TIME_TO_QUEUE)
        else:
            self._queue.add(call)
            self._actions.append(self._timers.set(call, wait_ms - slack_ms))

    def _release_queued(self, now_ms: float) -> None:
        """Send all queued requests that can be sent now, in order of priority."""
        for queue in self._queue.by_priority(self.admission.priority):
            while queue and self._try_release(queue[0], now_ms):
                queue.popleft()

    def _try_release(self, call: Call, now_ms: float) -> bool:
        """Send a queued request if that is possible now.

        Returns:
            True if the request can be removed from the queue: it was sent, scheduled for later or ended, or
            it no longer waits. False if it has to stay in the queue.
        """
        if not call.is_queued or call.id not in self._calls:
            return True
        server = None if self._at_concurrency_limit(call, now_ms) else self._selector.pick(call, now_ms)
        if server is None:
            return False
        call.is_queued = False
        call.timer_token = 0
        if not self._send(call, server, now_ms):
            self._schedule_attempt_or_end(call, now_ms)
        return True

    def _send(self, call: Call, server: Server, now_ms: float) -> bool:
        """Send the request to the server if the rules allow it, and return whether it was sent.

        Every attempt is sent by this method.
        """
        if not self._gate.may_send(call, server, now_ms):
            return False
        self.in_flight += 1
        if self.in_flight > MAX_IN_FLIGHT_PER_SUBSET_SERVER * self.fleet.subset_size:
            self._selector.apply(self.fleet.grow_subset(now_ms), now_ms)
        self._actions += self._sender.send(call, server, now_ms)
        return True

    def _finish_answered(self, call: Call, event: AttemptEnded, now_ms: float) -> None:
        """Remove a request that has been answered, and update the statistics of its class."""
        del self._calls[call.id]
        class_name = call.request_class.name
        in_time = now_ms - call.arrived_at_ms <= call.request_class.objective_ms
        self.class_statistics.record_end(class_name, in_time=in_time)
        self.class_statistics.record_delay(class_name, event.duration_ms)

    def _retry(self, call: Call, event: AttemptEnded, now_ms: float) -> None:
        """Schedule a retry after a failed attempt if controller and class allow it, else end the request."""
        call.attempt_in_flight = False
        self._record_possible_run(call, event.outcome)
        if self._rng.random() < self.retry_controller.retry_probability(now_ms):
            # In the paper the backoff starts when the attempt is sent, so the time until a timeout counts
            # towards it.
            elapsed_backoff_ms = event.duration_ms if event.outcome is Outcome.TIMEOUT else 0.0
            self._schedule_attempt_or_end(call, now_ms, elapsed_backoff_ms)
        else:
            self._reject_or_fail(call, EndReason.RETRY_DENIED)

    def _record_possible_run(self, call: Call, outcome: Outcome) -> None:
        """Record the first attempt that may have run: later attempts must go to its deduplication group."""
        if call.first_possible_run_at_ms is not None or call.last_server is None:
            return
        if self.retry_policy.may_have_run(outcome):
            scope = call.request_class.deduplication_scope
            call.first_possible_run_at_ms = call.sent_at_ms
            call.deduplication_group = call.last_server.deduplication_group(scope)

    def _schedule_attempt_or_end(self, call: Call, now_ms: float, elapsed_backoff_ms: float = 0.0) -> None:
        """Schedule the next attempt, or end the request if no attempt is allowed or useful.

        Args:
            call: The request.
            now_ms: The current time.
            elapsed_backoff_ms: The part of the backoff that has already passed.
        """
        objective_ratio = self.typical_delay.objective_ratio
        wait_ms = self.retry_policy.next_wait_ms(call, now_ms, objective_ratio, elapsed_backoff_ms)
        if wait_ms is None:
            self._reject_or_fail(call, EndReason.NO_USEFUL_ATTEMPT)
        else:
            self._actions.append(self._timers.set(call, wait_ms))

    def _reject_or_fail(self, call: Call, reason: EndReason) -> None:
        """End a request without a server's answer: reject it if the client may safely retry, else fail it."""
        if self._calls.pop(call.id, None) is None:
            return
        self.class_statistics.record_end(call.request_class.name, in_time=False)
        if self.retry_policy.is_client_retry_harmless(call):
            # Advise the longest wait that clients follow, as the tier has no capacity now. When the advice
            # was the short backoff of a retry, clients came back at once and kept the tier overloaded.
            self._actions.append(RejectRequest(call.id, self.settings.max_retry_after_ms, reason))
        else:
            self._actions.append(FailRequest(call.id, reason))
