"""Sends the attempts that the policy decides on, and reports their outcomes to the policy."""

from __future__ import annotations

from dataclasses import dataclass

from workspond.active_request import ActiveRequest
from workspond.address import Address
from workspond.clock import now_ms
from workspond.endpoint_table import EndpointTable
from workspond.http.request import ClientRequest
from workspond.http.response import Response
from workspond.observability.attempt_record import BlockedAttempt, EndedAttempt
from workspond.observability.counters import CountedEvent, EventCounters
from workspond.policy.actions import SendAttempt
from workspond.policy.events import AttemptEnded, Outcome
from workspond.policy_runner import PolicyRunner
from workspond.request_registry import DEADLINE_MARGIN_MS, RequestRegistry
from workspond.upstream.attempt import Attempt, ServerResponse
from workspond.upstream.connection_pool import ConnectionPool
from workspond.upstream.request_writer import render_request
from workspond.upstream.send_guard import PendingSend, SendGuard, SendRefusal


@dataclass(slots=True, eq=False, kw_only=True)
class OutgoingAttempt:
    """One attempt of a request, as the connection pool's `AttemptHandler`.

    Attributes:
        runner: The runner that started the attempt; it is notified when the attempt ends.
        request: The request.
        number: The attempt's number within its request, from 0.
        server_id: The server that the attempt is sent to.
        address: The server's address.
        started_at_ms: When the attempt was started.
        timeout_at_ms: When the attempt times out.
        latest_send_at_ms: The latest time at which the request may be written.
        is_written: Whether the request has been written to a connection.
    """

    runner: AttemptRunner
    request: ActiveRequest
    number: int
    server_id: int
    address: Address
    started_at_ms: float
    timeout_at_ms: float
    latest_send_at_ms: float
    is_written: bool = False

    def may_send(self) -> bool:
        """Return whether the request may still be written, now that the connection is open."""
        return self.runner.may_send(self)

    def render_request(self) -> bytes:
        """Return the request's bytes, which state the remaining time, and record the attempt as written."""
        self.is_written = True
        self.request.history.record_write()
        timeout_ms = max(0.0, self.timeout_at_ms - now_ms())
        return render_request(self.request.message, self.address, timeout_ms)

    def attempt_ended(self, outcome: Outcome, response: ServerResponse | None) -> None:
        """Report how the attempt ended."""
        self.runner.attempt_ended(self, outcome, response)


class AttemptRunner:
    """Sends attempts through the send guard and the connection pool.

    Attributes:
        in_flight: The attempts that have not ended, by the request's key and the attempt's number.
    """

    def __init__(
        self,
        *,
        requests: RequestRegistry,
        endpoints: EndpointTable,
        pool: ConnectionPool,
        guard: SendGuard,
        policy: PolicyRunner,
        counters: EventCounters,
    ) -> None:
        self._requests = requests
        self._endpoints = endpoints
        self._pool = pool
        self._guard = guard
        self._policy = policy
        self._counters = counters
        self.in_flight: dict[tuple[str, int], Attempt] = {}

    def send(self, action: SendAttempt) -> None:
        """Start an attempt; if it must not be written, it ends at once as `NOT_SENT`."""
        now = now_ms()
        request = self._requests.active.get(action.request_id)
        address = self._endpoints.addresses.get(action.server_id)
        latest_send_at_ms = now + action.send_within_ms
        refusal = self._check_send(request, action.server_id, address, latest_send_at_ms)
        if request is None or address is None or refusal is not None:
            self._report_not_sent(action, request)
            return
        # The attempt has to end before its request must be answered.
        remaining_ms = request.deadline_at_ms - DEADLINE_MARGIN_MS - now
        timeout_ms = max(0.0, min(action.timeout_ms, remaining_ms))
        outgoing = OutgoingAttempt(
            runner=self,
            request=request,
            number=request.attempts_started,
            server_id=action.server_id,
            address=address,
            started_at_ms=now,
            timeout_at_ms=now + timeout_ms,
            latest_send_at_ms=latest_send_at_ms,
        )
        self._start(outgoing, timeout_ms, new_connection=action.new_connection)

    def _start(self, outgoing: OutgoingAttempt, timeout_ms: float, *, new_connection: bool) -> None:
        if outgoing.request.attempts_started:
            self._counters.increment(CountedEvent.ATTEMPT_RETRIED, last_outcome(outgoing.request))
        outgoing.request.attempts_started += 1
        attempt = self._pool.send(
            outgoing.server_id, outgoing.address, outgoing, timeout_ms, new_connection=new_connection
        )
        if not attempt.has_ended:
            self.in_flight[outgoing.request.key, outgoing.number] = attempt

    def _report_not_sent(self, action: SendAttempt, request: ActiveRequest | None) -> None:
        number = request.attempts_started if request is not None else 0
        request_finished = action.request_id not in self._requests.active
        self._policy.handle(
            AttemptEnded(action.request_id, number, action.server_id, Outcome.NOT_SENT, 0.0, request_finished)
        )

    def cancel(self, request_key: str, number: int) -> None:
        """Cancel an attempt, if it is in flight."""
        attempt = self.in_flight.get((request_key, number))
        if attempt is not None:
            attempt.abort(Outcome.CANCELLED)

    def cancel_superseded(self, message: ClientRequest) -> None:
        """Cancel the attempts of the abandoned request that a new one repeats: only one may be in flight."""
        superseded = self._requests.superseded_by(message)
        if superseded is not None:
            for number in range(superseded.attempts_started):
                self.cancel(superseded.key, number)

    def may_send(self, outgoing: OutgoingAttempt) -> bool:
        """Return whether an attempt may still be written, now that its connection is open."""
        refusal = self._check_send(
            outgoing.request, outgoing.server_id, outgoing.address, outgoing.latest_send_at_ms
        )
        return refusal is None

    def attempt_ended(
        self, outgoing: OutgoingAttempt, outcome: Outcome, response: ServerResponse | None
    ) -> None:
        """Report the outcome of an attempt, and answer its request if the attempt succeeded."""
        request = outgoing.request
        self.in_flight.pop((request.key, outgoing.number), None)
        if outgoing.is_written:
            request.history.record_end(may_have_run=self._guard.may_have_run(outcome))
            self._requests.attempt_ended(request)
        self._counters.increment(CountedEvent.ATTEMPT_ENDED, outcome.name)
        duration_ms = now_ms() - outgoing.started_at_ms
        _record_end(outgoing, outcome, duration_ms)
        if outcome is Outcome.SUCCESS and response is not None:
            self._requests.finish(request.key, Response(200, response.body, response.content_type))
        self._policy.handle(
            AttemptEnded(
                request.key,
                outgoing.number,
                outgoing.server_id,
                outcome,
                duration_ms,
                request_finished=request.key not in self._requests.active,
                load_report=response.load_report if response is not None else None,
            )
        )

    def _check_send(
        self, request: ActiveRequest | None, server_id: int, address: Address | None, latest_send_at_ms: float
    ) -> SendRefusal | None:
        """Return why an attempt must not be written now; None if it may be written.

        This is checked when the policy decides on the attempt and again when its connection is open. A
        request whose client has disconnected is abandoned. A refusal by the send guard is counted and
        recorded.
        """
        if request is None or request.key not in self._requests.active:
            return SendRefusal.REQUEST_ENDED
        if request.receiver.has_disconnected():
            self._requests.abandon(request)
            return SendRefusal.CLIENT_DISCONNECTED
        message = request.message
        refusal = self._guard.check(
            PendingSend(
                message.request_id, message.class_name, request.history, server_id, address, latest_send_at_ms
            )
        )
        if refusal is not None:
            self._counters.increment(CountedEvent.ATTEMPT_BLOCKED, refusal.value)
            request.attempt_records.append(BlockedAttempt(refusal.value))
        return refusal


def last_outcome(request: ActiveRequest) -> str:
    """Return the name of the outcome of the attempt that ended last."""
    ended = [record for record in request.attempt_records if isinstance(record, EndedAttempt)]
    return ended[-1].outcome.name if ended else "none"


def _record_end(outgoing: OutgoingAttempt, outcome: Outcome, duration_ms: float) -> None:
    """Record the outcome for the log line that is written if the request fails."""
    request = outgoing.request
    request.attempts_ended += 1
    start_ms = outgoing.started_at_ms - request.received_at_ms
    request.attempt_records.append(
        EndedAttempt(outgoing.number, outgoing.address, outcome, start_ms, duration_ms)
    )
