"""Updates the measurements of servers, idle connections and delays with the outcome of each attempt."""

from __future__ import annotations

from workspond.policy.call import Call
from workspond.policy.events import AttemptEnded, Outcome
from workspond.policy.idle_timeout import IdleTimeout
from workspond.policy.outlier_ejection import OutlierEjection
from workspond.policy.request_statistics import TypicalDelay
from workspond.policy.retry_controller import RetryController
from workspond.policy.server import Server
from workspond.policy.server_measurements import AttemptInFlight
from workspond.policy.server_selection import ServerSelector


class OutcomeRecorder:
    """Passes the outcome of each attempt on to the measurements that depend on it."""

    def __init__(
        self,
        controller: RetryController,
        typical_delay: TypicalDelay,
        idle_timeout: IdleTimeout,
        ejection: OutlierEjection,
        selector: ServerSelector,
    ) -> None:
        self._controller = controller
        self._typical_delay = typical_delay
        self._idle_timeout = idle_timeout
        self._ejection = ejection
        self._selector = selector

    def record(self, server: Server, call: Call | None, event: AttemptEnded, now_ms: float) -> None:
        """Record the outcome of an attempt.

        Args:
            server: The server that is now listed under the id to which the attempt was sent.
            call: The request; None if it ended before the attempt did.
            event: How the attempt ended.
            now_ms: The current time.
        """
        in_flight = server.attempts_in_flight.pop(event.request_id, None)
        server.last_used_at_ms = now_ms
        if call is not None and call.connection_idle_ms:
            self._record_idle_connection(call, event)
        if in_flight is None:
            # The attempt was sent before the server restarted, or before it left the list and returned. So
            # it says nothing about the current process.
            return
        if event.load_report:
            server.reported_queue = event.load_report.get("queue", 0.0)
            server.reported_at_ms = now_ms
        ejected_fraction = self._selector.ejected_fraction(now_ms)
        self._ejection.record_outcome(server, event.outcome, ejected_fraction, now_ms)
        self._record_delay(server, in_flight, event, now_ms)
        self._selector.update(server, now_ms)

    def _record_idle_connection(self, call: Call, event: AttemptEnded) -> None:
        typical_ms = self._typical_delay.objective_ratio * call.request_class.objective_ms
        self._idle_timeout.record_outcome(
            call.connection_idle_ms, event.outcome, event.duration_ms, typical_ms
        )

    def _record_delay(
        self, server: Server, in_flight: AttemptInFlight, event: AttemptEnded, now_ms: float
    ) -> None:
        """Record the delay of an attempt, even if its request has been abandoned.

        Clients that disconnect early abandon slow requests. Without these, the measured delay and response
        rate would be too low.
        """
        sent_at_ms = in_flight.sent_at_ms
        objective_ms = in_flight.objective_ms
        if event.outcome in (Outcome.SUCCESS, Outcome.TIMEOUT):
            is_success = event.outcome is Outcome.SUCCESS
            objective_ratio = event.duration_ms / objective_ms
            self._typical_delay.record(objective_ratio)
            typical_ratio = self._typical_delay.objective_ratio
            # A timeout says nothing about the server if the server has answered an attempt that was sent
            # later. In that case the connection was lost, or the request itself takes long.
            if typical_ratio and (is_success or sent_at_ms >= server.latest_answered_sent_at_ms):
                server.record_latency(objective_ratio / typical_ratio, now_ms)
            if is_success:
                server.latest_answered_sent_at_ms = max(server.latest_answered_sent_at_ms, sent_at_ms)
            self._controller.record_response(event.duration_ms, objective_ms, now_ms, is_success=is_success)
        elif event.outcome is Outcome.REJECTED:
            # A rejection arrives fast although the server is overloaded, so it counts as a delay of the
            # whole latency objective.
            self._controller.record_response(objective_ms, objective_ms, now_ms, is_success=False)
