"""One copy's decisions: takes the node's events and says what to do.

Retries are admitted with the probability that RTDC's PI loop allows (Hong, Huang and Yan, section V.B);
first sends follow a smooth weighted rotation. docs/design.md says what is kept, changed and why. Each concept
has a module of its own; this one ties them together. Events and actions are in `workspond.policy.interface`.
"""

from __future__ import annotations

import math
import random

from workspond.policy.actions import (
    CloseIdleConnections,
    FailRequest,
    PolicyAction,
    RejectRequest,
    SendAttempt,
    SetTimer,
    Subscribe,
)
from workspond.policy.admission import AdmissionController
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
from workspond.policy.outlier_ejection import OutlierEjection
from workspond.policy.request_queue import RequestQueue
from workspond.policy.request_statistics import PEER_SAMPLES, ClassStatistics, TypicalDelay
from workspond.policy.retry_controller import SAMPLES, RetryController
from workspond.policy.retry_policy import RetryPolicy
from workspond.policy.server import Server
from workspond.policy.server_measurements import CallInFlight
from workspond.policy.server_selection import ServerSelector
from workspond.policy.settings import DeduplicationScope, Idempotency, Settings
from workspond.policy.slow_start import SlowStart
from workspond.policy.subscription_backoff import subscription_backoff_ms
from workspond.policy.token_bucket import TokenBucket

QUOTA_MS = 1_000.0  # of its quota is what a tenant may send at once
GROW_FROM = 1.0  # calls out a server from which a copy doubles its slices of the fleet
SUBSCRIBE_TOKEN = 0  # of the timer after which the list is asked for again


class Balancer:
    """One copy's decisions: feed it events, do what it says."""

    def __init__(self, settings: Settings, salt: int) -> None:
        self.settings = settings
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self._rng = random.Random(salt)
        self.controller = RetryController()
        self.in_flight = 0  # attempts out
        self.typical_delay = TypicalDelay()
        self.class_statistics = ClassStatistics(settings.classes, PEER_SAMPLES)
        self.fleet = Fleet(settings, self._rng)
        self.admission = AdmissionController(
            settings, self.controller, self.class_statistics, self.fleet, self.typical_delay, self._rng
        )
        self.retry_policy = RetryPolicy(settings, self._rng)
        self._slow_start = SlowStart(settings, self.controller)
        self._selector = ServerSelector(self.fleet, self._slow_start, self.typical_delay, self._rng)
        self._ejection = OutlierEjection(self._rng)
        self._queue = RequestQueue()
        self._idle_limit = IdleTimeout(settings.keepalive_ms)
        self._quotas: dict[str | None, tuple[float, TokenBucket]] = {  # this copy's part of each tenant's
            tenant.name: (tenant.quota_per_s / settings.replicas / 1000.0, TokenBucket(math.inf, 0.0))
            for tenant in settings.tenants
            if tenant.quota_per_s
        }
        self._calls: dict[str, Call] = {}
        self._waiting: dict[int, Call] = {}  # by timer token
        self._token = SUBSCRIBE_TOKEN  # that of the last timer
        self._actions: list[PolicyAction] = []

    def handle(self, event: PolicyEvent, now_ms: float) -> list[PolicyAction]:
        """Take one event; what to do about it."""
        self._actions = []
        match event:
            case RequestReceived():
                self._on_request(event, now_ms)
            case AttemptEnded():
                self._on_ended(event, now_ms)
            case TimerFired():
                self._on_timer(event, now_ms)
            case EndpointUpdate():
                self._on_list(event, now_ms)
            case RequestAbandoned():
                self._calls.pop(event.request_id, None)
            case NodeStarted() if self.settings.requires_subscription:
                self._actions.append(Subscribe())
        return self._actions

    # First sends

    def _on_request(self, event: RequestReceived, now_ms: float) -> None:
        call = self._calls[event.request_id] = Call(event, self.classes[event.class_name], now_ms)
        self.class_statistics.record_request(event.class_name)
        self.retry_policy.count_request(now_ms)
        if event.tenant in self._quotas:
            per_ms, bucket = self._quotas[event.tenant]
            call.over_quota = not bucket.try_take(per_ms, max(1.0, QUOTA_MS * per_ms), now_ms)
        if self.admission.should_shed(call, now_ms):
            return self._end(call)
        self._attempt(call, now_ms)

    def _attempt(self, call: Call, now_ms: float) -> None:
        crowded = self.admission.at_concurrency_limit(
            call, self.in_flight, self._selector.count_stalled_calls, now_ms
        )
        server = None if crowded else self._selector.pick(call, now_ms)
        if crowded or (server is None and call.first_possible_run_at_ms is None and self.fleet.ready_count):
            self._enqueue(call, now_ms)
        elif server is None or not self._send(call, server, now_ms):
            self._wait_or_end(call, now_ms)

    def _enqueue(self, call: Call, now_ms: float) -> None:
        """Keep a call back while an answer within its aim is still possible."""
        slack_ms = 2.0 * self.settings.tick_ms
        wait_ms = self._queue.queue_deadline_at_ms(call, self.settings.tier) - now_ms
        if wait_ms <= slack_ms:
            return self._end(call)
        self._queue.add(call)
        self._set_timer(call, wait_ms - slack_ms)

    def _release(self, now_ms: float) -> None:
        """Send queued calls as room comes up, those of most worth first."""
        for queue in self._queue.by_priority(self.admission.priority):
            while queue:
                call = queue[0]
                if call.is_queued and call.id in self._calls:
                    crowded = self.admission.at_concurrency_limit(
                        call, self.in_flight, self._selector.count_stalled_calls, now_ms
                    )
                    server = None if crowded else self._selector.pick(call, now_ms)
                    if server is None:
                        break
                    call.is_queued, call.timer_token = False, 0
                    if not self._send(call, server, now_ms):
                        self._wait_or_end(call, now_ms)
                queue.popleft()

    # Attempts

    def _send(self, call: Call, server: Server, now_ms: float) -> bool:
        """The one gate that every send passes: rules 1 to 6."""
        if not self._may_send(call, server, now_ms):
            return False
        request_class, left_ms = call.request_class, call.deadline_at_ms - now_ms
        if call.attempts:
            self.retry_policy.count_retry(now_ms)
        call.attempts += 1
        call.attempt_in_flight, call.last_server, call.sent_at_ms = True, server, now_ms
        self.in_flight += 1
        if self.in_flight > GROW_FROM * self.fleet.ready_count:
            self._selector.apply(self.fleet.grow(now_ms), now_ms)
        call.connection_idle_ms = 0.0 if server.calls_in_flight else now_ms - server.last_used_at_ms
        if self._idle_limit.is_exceeded(
            call.connection_idle_ms
        ):  # Rosario fresh-big: sent on a dropped one, it is lost
            self._actions.append(CloseIdleConnections(server.id))
            call.connection_idle_ms = 0.0
        server.calls_in_flight[call.id] = CallInFlight(now_ms, request_class.objective_ms)
        self._selector.update(server, now_ms)
        measured = self.typical_delay.samples >= SAMPLES
        timeout_ms = self.retry_policy.attempt_timeout_ms(
            call, left_ms, self.typical_delay.objective_ratio, measured
        )
        send_within_ms = self.retry_policy.repeat_deadline_at_ms(call) - now_ms
        fresh = (
            request_class.idempotency is Idempotency.NON_IDEMPOTENT
        )  # on a new connection: a loss could not be made good
        self._actions.append(SendAttempt(call.id, server.id, timeout_ms, fresh, send_within_ms))
        return True

    def _may_send(self, call: Call, server: Server, now_ms: float) -> bool:
        """Whether the rules let the call go to the server; takes from a cold one's budget."""
        request_class, policy = call.request_class, self.retry_policy
        if (
            call.id not in self._calls
            or call.attempt_in_flight
            or call.deadline_at_ms - now_ms <= self.settings.tick_ms
        ):
            return False  # rule 1
        if call.attempts >= self.settings.max_attempts or not policy.may_be_repeated(call, now_ms):
            return False  # rule 2
        if (
            call.first_possible_run_at_ms is not None
            and server.deduplication_group(request_class.deduplication_scope) != call.deduplication_group
        ):
            return False  # rule 2
        if not server.in_service or not self.fleet.is_current(server):
            return False  # rule 3
        if call.attempts and not policy.within_retry_budget(now_ms):
            return False  # rule 5
        warmth = self._slow_start.capacity_fraction(server, now_ms)
        if warmth < 1.0:
            if (
                self._slow_start.refill_cold_budget(server, warmth, self.fleet.total_subset_weight, now_ms)
                < 1.0
            ):
                return False  # rule 4
            server.cold_budget.tokens -= 1.0
        return True

    def _wait_or_end(self, call: Call, now_ms: float, waited_ms: float = 0.0) -> None:
        """Wait for the next attempt, where one can still be made in time."""
        wait_ms = self.retry_policy.next_wait_ms(call, now_ms, self.typical_delay.objective_ratio, waited_ms)
        if wait_ms is None:
            self._end(call)
        else:
            self._set_timer(call, wait_ms)

    def _end(self, call: Call) -> None:
        """The one way to end a request unserved: refused where a repeat is harmless, else failed."""
        if self._calls.pop(call.id, None):
            self.class_statistics.record_end(call.request_class.name, False)
            everywhere = (
                call.request_class.idempotency is Idempotency.KEYED
                and call.request_class.deduplication_scope is DeduplicationScope.ALL
            )
            repeatable = (
                call.first_possible_run_at_ms is None
                or everywhere
                or call.request_class.idempotency is Idempotency.IDEMPOTENT
            )
            harmless = not call.attempt_in_flight and repeatable
            # It says that the tier bears no more now: a client back in 17 ms, as a retry is, fed the jam.
            advice_ms = self.settings.max_retry_after_ms
            self._actions.append(RejectRequest(call.id, advice_ms) if harmless else FailRequest(call.id))

    def _set_timer(self, call: Call, delay_ms: float) -> None:
        self._token = call.timer_token = self._token + 1
        self._waiting[call.timer_token] = call
        self._actions.append(SetTimer(self._token, delay_ms))

    def _on_timer(self, event: TimerFired, now_ms: float) -> None:
        if event.token == SUBSCRIBE_TOKEN:
            self._actions.append(Subscribe())
        call = self._waiting.pop(event.token, None)
        if call and call.timer_token == event.token and call.id in self._calls:
            if call.is_queued:
                self._end(call)
            else:
                self._attempt(call, now_ms)

    # Outcomes

    def _on_ended(self, event: AttemptEnded, now_ms: float) -> None:
        call, server = self._calls.get(event.request_id), self.fleet.servers.get(event.server_id)
        self.in_flight -= 1
        if server is not None:
            self._take_outcome(server, call, event, now_ms)
        if call is not None and event.request_finished:
            del self._calls[event.request_id]
            self.class_statistics.record_end(
                call.request_class.name, now_ms - call.arrived_at_ms <= call.request_class.objective_ms
            )
            self.class_statistics.record_delay(call.request_class.name, event.duration_ms)
        elif call is not None:
            self._retry(call, event, now_ms)
        self._release(now_ms)

    def _take_outcome(self, server: Server, call: Call | None, event: AttemptEnded, now_ms: float) -> None:
        # None: sent before the server started anew, or left the list and came back: no news of it.
        sent = server.calls_in_flight.pop(event.request_id, None)
        server.last_used_at_ms = now_ms
        if call is not None and call.connection_idle_ms:
            usual_ms = self.typical_delay.objective_ratio * call.request_class.objective_ms
            self._idle_limit.record_outcome(
                call.connection_idle_ms, event.outcome, event.duration_ms, usual_ms
            )
        if sent is None:
            return
        if event.load_report:
            server.reported_queue, server.reported_at_ms = event.load_report.get("queue", 0.0), now_ms
        self._ejection.record_outcome(server, event.outcome, self._selector.ejected_fraction(now_ms), now_ms)
        self._measure(server, sent.sent_at_ms, sent.objective_ms, event, now_ms)
        self._selector.update(server, now_ms)

    def _retry(self, call: Call, event: AttemptEnded, now_ms: float) -> None:
        """Try a call again whose attempt has failed, as the loop and the class allow, or end it."""
        call.attempt_in_flight = False
        if (
            call.first_possible_run_at_ms is None
            and call.last_server
            and self.retry_policy.may_have_run(event.outcome)
        ):
            call.first_possible_run_at_ms, call.deduplication_group = (
                call.sent_at_ms,
                call.last_server.deduplication_group(call.request_class.deduplication_scope),
            )
        if self._rng.random() < self.controller.retry_probability(now_ms):
            # As the paper's timer runs from the send, a time-out has been waited for already.
            timed_out = event.outcome is Outcome.TIMEOUT
            self._wait_or_end(call, now_ms, event.duration_ms if timed_out else 0.0)
        else:
            self._end(call)

    def _measure(
        self, server: Server, sent_at_ms: float, objective_ms: float, event: AttemptEnded, now_ms: float
    ) -> None:
        """What an outcome tells of the delay, also if nobody waits for the answer any more.

        Callers that leave early leave what takes long: without theirs, delay and answer rate come out low.
        """
        if event.outcome in (Outcome.SUCCESS, Outcome.TIMEOUT):
            served = event.outcome is Outcome.SUCCESS
            self.typical_delay.record(event.duration_ms / objective_ms)
            usual = self.typical_delay.objective_ratio
            if usual and (served or sent_at_ms >= server.latest_served_sent_at_ms):
                server.record_latency(event.duration_ms / objective_ms / usual, now_ms)
            if served:
                server.latest_served_sent_at_ms = max(server.latest_served_sent_at_ms, sent_at_ms)
            self.controller.record_response(event.duration_ms, objective_ms, now_ms, served)
        elif event.outcome is Outcome.REJECTED:  # full is as slow as a server gets
            self.controller.record_response(objective_ms, objective_ms, now_ms, False)

    def _on_list(self, event: EndpointUpdate, now_ms: float) -> None:
        if event.kind is UpdateKind.FAILED:
            wait_ms = subscription_backoff_ms(self.settings.poll_interval_ms, self._rng)
            return self._actions.append(SetTimer(SUBSCRIBE_TOKEN, wait_ms))
        self._selector.apply(self.fleet.apply(event, now_ms), now_ms)
        self._release(now_ms)
