"""The last check before an attempt is written to a server's connection.

What was decided may no longer hold when a connection has been opened: then the attempt is not written and
ends as never run. What the policy must never decide is not written either; it is counted, and logged as a
broken invariant.
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
    """Why an attempt is not written."""

    REQUEST_ENDED = "request ended"
    CLIENT_DISCONNECTED = "client disconnected"
    NOT_IN_SERVICE = "server not in service"
    ADDRESS_CHANGED = "server address changed"
    RETRY_WINDOW_OVER = "retry window over"
    NON_IDEMPOTENT_RETRY = "earlier attempt of a non-idempotent request may have run"
    OVERLAPPING_ATTEMPT = "earlier attempt in flight"
    TOO_MANY_ATTEMPTS = "maximum of attempts reached"


BROKEN_INVARIANTS = frozenset(
    (SendRefusal.NON_IDEMPOTENT_RETRY, SendRefusal.OVERLAPPING_ATTEMPT, SendRefusal.TOO_MANY_ATTEMPTS)
)
"""The refusals that no change since the decision explains: the policy must not have decided to send."""


class AttemptHistory:
    """What has been written of one request, and what became of it.

    Attributes:
        written: How many attempts have been written.
        in_flight: How many of these have no outcome yet.
        may_have_run: Whether the outcome of one of them does not prove that it never ran.
    """

    __slots__ = ("in_flight", "may_have_run", "written")

    def __init__(self) -> None:
        self.written = 0
        self.in_flight = 0
        self.may_have_run = False

    def record_write(self) -> None:
        """An attempt is being written."""
        self.written += 1
        self.in_flight += 1

    def record_end(self, *, may_have_run: bool) -> None:
        """A written attempt has ended."""
        self.in_flight -= 1
        self.may_have_run = self.may_have_run or may_have_run


@dataclass(slots=True)
class PendingSend:
    """An attempt that is about to be written.

    Attributes:
        request_id: The client's X-Call-Id, for the log.
        class_name: The class of the request.
        history: The earlier attempts of the request.
        server_id: The server that it is for.
        address: The address that its connection leads to.
        send_until_ms: The last moment to write it, by `now_ms`; infinity if there is none.
    """

    request_id: str
    class_name: str
    history: AttemptHistory
    server_id: int
    address: Address | None
    send_until_ms: float


class SendGuard:
    """Checks all attempts by records of the node's own, not by those of the policy.

    Attributes:
        broken: How often each invariant was broken.
    """

    def __init__(self, settings: Settings, in_service: Set[int], addresses: Mapping[int, Address]) -> None:
        """Check by these settings and sets.

        Args:
            settings: The node's settings.
            in_service: The servers that take requests. The node changes this set while it runs.
            addresses: The addresses of all servers. The node changes this mapping while it runs.
        """
        self._settings = settings
        self._in_service = in_service
        self._addresses = addresses
        self._idempotency = {each.name: each.idempotency for each in settings.classes}
        self.broken: Counter[SendRefusal] = Counter()

    def may_have_run(self, outcome: Outcome) -> bool:
        """Whether a written attempt with this outcome may have run."""
        if outcome is Outcome.REJECTED:
            return self._settings.rejected_may_have_run
        return outcome not in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)

    def check(self, send: PendingSend) -> SendRefusal | None:
        """Why an attempt must not be written now; None if it may be.

        A broken invariant is counted and logged.
        """
        refusal = self._find_change(send) or self._find_broken_invariant(send)
        if refusal in BROKEN_INVARIANTS:
            self._report_broken_invariant(send, refusal)
        return refusal

    def _find_change(self, send: PendingSend) -> SendRefusal | None:
        """What has changed since the decision to send."""
        if send.server_id not in self._in_service:
            return SendRefusal.NOT_IN_SERVICE
        if self._addresses.get(send.server_id) != send.address:
            return SendRefusal.ADDRESS_CHANGED
        if now_ms() > send.send_until_ms:
            return SendRefusal.RETRY_WINDOW_OVER
        return None

    def _find_broken_invariant(self, send: PendingSend) -> SendRefusal | None:
        """Which rule the decision to send breaks."""
        history = send.history
        if history.in_flight and not self._settings.parallel_attempts:
            return SendRefusal.OVERLAPPING_ATTEMPT
        if history.may_have_run and self._idempotency[send.class_name] is Idempotency.NON_IDEMPOTENT:
            return SendRefusal.NON_IDEMPOTENT_RETRY
        if history.written >= self._settings.max_attempts:
            return SendRefusal.TOO_MANY_ATTEMPTS
        return None

    def _report_broken_invariant(self, send: PendingSend, refusal: SendRefusal) -> None:
        self.broken[refusal] += 1
        host, port = send.address or ("", 0)
        log.error(
            'invariant broken: request=%s class=%s endpoint=%s:%d written=%d reason="%s" count=%d',
            send.request_id,
            send.class_name,
            host,
            port,
            send.history.written,
            refusal.value,
            self.broken.total(),
        )
