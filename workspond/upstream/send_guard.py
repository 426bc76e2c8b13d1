"""The last check before an attempt is written to a server connection.

The check is made when the policy decides to send and again when a new connection has opened. If the
conditions under which the policy decided have changed while the connection was opened, the attempt is not
written and is reported as never run. An attempt that the policy must never send is not written either; it is
counted and logged as a broken invariant.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping, Set
from dataclasses import dataclass
from enum import Enum

from workspond.address import Address
from workspond.clock import now_ms
from workspond.policy.events import Outcome
from workspond.policy.settings import Idempotency, Settings

log = logging.getLogger("workspond")


class SendRefusal(Enum):
    """The reason why an attempt is not written."""

    REQUEST_ENDED = "request ended"
    CLIENT_DISCONNECTED = "client disconnected"
    NOT_IN_SERVICE = "server not in service"
    ADDRESS_CHANGED = "server address changed"
    RETRY_WINDOW_OVER = "retry window over"
    NON_IDEMPOTENT_RETRY = "earlier attempt of a non-idempotent request may have run"
    OVERLAPPING_ATTEMPT = "earlier attempt in flight"
    TOO_MANY_ATTEMPTS = "maximum of attempts reached"


INVARIANT_REFUSALS = frozenset(
    (SendRefusal.NON_IDEMPOTENT_RETRY, SendRefusal.OVERLAPPING_ATTEMPT, SendRefusal.TOO_MANY_ATTEMPTS)
)
"""The refusals that mean a fault in the policy, as no change since its decision can explain them."""


class AttemptHistory:
    """The written attempts of one request.

    Attributes:
        written_count: The number of attempts that were written.
        in_flight_count: The number of written attempts that have no outcome yet.
        may_have_run: Whether a server may have run an ended attempt, judging by its outcome.
    """

    __slots__ = ("in_flight_count", "may_have_run", "written_count")

    def __init__(self) -> None:
        self.written_count = 0
        self.in_flight_count = 0
        self.may_have_run = False

    def record_write(self) -> None:
        """Record that an attempt is being written."""
        self.written_count += 1
        self.in_flight_count += 1

    def record_end(self, *, may_have_run: bool) -> None:
        """Record that a written attempt has ended."""
        self.in_flight_count -= 1
        self.may_have_run = self.may_have_run or may_have_run


@dataclass(slots=True)
class PendingSend:
    """An attempt that is about to be written.

    Attributes:
        request_id: The client's X-Call-Id, for the log.
        class_name: The name of the request's class.
        history: The earlier attempts of the request.
        server_id: The id of the selected server.
        address: The address to which the connection is opened, or None if the server is not listed.
        latest_send_at_ms: The latest time, by `now_ms`, to write the attempt; infinity if there is no limit.
    """

    request_id: str
    class_name: str
    history: AttemptHistory
    server_id: int
    address: Address | None
    latest_send_at_ms: float


class SendGuard:
    """Checks all attempts before they are written, on data kept independently of the policy.

    Attributes:
        broken_counts: How often each invariant was broken.
    """

    def __init__(self, settings: Settings, in_service: Set[int], addresses: Mapping[int, Address]) -> None:
        """Create a guard.

        Args:
            settings: The node's settings.
            in_service: The ids of the servers that take requests; the node updates this set in place.
            addresses: The addresses of all listed servers by id; the node updates this mapping in place.
        """
        self._settings = settings
        self._in_service = in_service
        self._addresses = addresses
        self._idempotency = {each.name: each.idempotency for each in settings.classes}
        self.broken_counts: Counter[SendRefusal] = Counter()

    def may_have_run(self, outcome: Outcome) -> bool:
        """Return whether the server may have run a written attempt that ended with this outcome."""
        if outcome is Outcome.REJECTED:
            return self._settings.rejected_may_have_run
        return outcome not in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)

    def check(self, send: PendingSend) -> SendRefusal | None:
        """Return why an attempt must not be written now, or None if it may be written.

        A broken invariant is counted and logged.
        """
        refusal = self._find_change(send) or self._find_broken_invariant(send)
        if refusal in INVARIANT_REFUSALS:
            self._report_broken_invariant(send, refusal)
        return refusal

    def _find_change(self, send: PendingSend) -> SendRefusal | None:
        """Return the refusal for a change since the decision to send, or None."""
        if send.server_id not in self._in_service:
            return SendRefusal.NOT_IN_SERVICE
        if self._addresses.get(send.server_id) != send.address:
            return SendRefusal.ADDRESS_CHANGED
        if now_ms() > send.latest_send_at_ms:
            return SendRefusal.RETRY_WINDOW_OVER
        return None

    def _find_broken_invariant(self, send: PendingSend) -> SendRefusal | None:
        """Return the refusal for an invariant that the decision to send breaks, or None."""
        history = send.history
        if history.in_flight_count and not self._settings.parallel_attempts:
            return SendRefusal.OVERLAPPING_ATTEMPT
        if history.may_have_run and self._idempotency[send.class_name] is Idempotency.NON_IDEMPOTENT:
            return SendRefusal.NON_IDEMPOTENT_RETRY
        if history.written_count >= self._settings.max_attempts:
            return SendRefusal.TOO_MANY_ATTEMPTS
        return None

    def _report_broken_invariant(self, send: PendingSend, refusal: SendRefusal) -> None:
        self.broken_counts[refusal] += 1
        host, port = send.address or ("", 0)
        log.error(
            'invariant broken: request=%s class=%s endpoint=%s:%d written=%d reason="%s" count=%d',
            send.request_id,
            send.class_name,
            host,
            port,
            send.history.written_count,
            refusal.value,
            self.broken_counts.total(),
        )
