"""The last check before an attempt is written to a server's connection.

What was decided may hold no more when a connection has come up: then the attempt is held back and ends as
never run. What the decisions must never ask for is held back too, counted, and told in the log.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping, Set
from enum import Enum

from workspond.address import Address
from workspond.clock import now_ms
from workspond.policy.events import Outcome
from workspond.policy.settings import Idempotency, Settings

log = logging.getLogger("workspond")


class SendRefusal(Enum):
    """Why an attempt is not written."""

    ANSWERED = "its request has ended"
    CALLER_GONE = "its caller has gone"
    NOT_IN_SERVICE = "its server is not in service"
    MOVED = "its server has another address now"
    WINDOW_OVER = "the window for repeats is over"
    UNSAFE_REPEAT = "an earlier attempt of an unsafe request may have run"
    OVERLAP = "an earlier attempt is still out"
    TOO_MANY = "all attempts that are allowed have been made"


BROKEN_INVARIANTS = frozenset((SendRefusal.UNSAFE_REPEAT, SendRefusal.OVERLAP, SendRefusal.TOO_MANY))


class AttemptHistory:
    """What has been written of one request, and what became of it."""

    __slots__ = ("in_flight", "may_have_run", "written")

    def __init__(self) -> None:
        self.written = 0  # attempts
        self.in_flight = 0  # of these, without an outcome
        self.may_have_run = False

    def record_write(self) -> None:
        """An attempt is being written."""
        self.written += 1
        self.in_flight += 1

    def record_end(self, ran: bool) -> None:
        """A written attempt has ended, and may have run or has not."""
        self.in_flight -= 1
        self.may_have_run = self.may_have_run or ran


class SendGuard:
    """One gate for all attempts, by the node's own books and not the decision module's."""

    def __init__(self, settings: Settings, in_service: Set[int], addresses: Mapping[int, Address]) -> None:
        """`in_service` and `addresses` are the node's own, as they change."""
        self._settings, self._in_service, self._addresses = settings, in_service, addresses
        self._repeat = {cls.name: cls.idempotency for cls in settings.classes}
        self.broken: Counter[SendRefusal] = Counter()

    def may_have_run(self, result: Outcome) -> bool:
        """Whether a written attempt that ended so may have run."""
        if result is Outcome.REJECTED:
            return self._settings.rejected_may_have_run
        return result not in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)

    def check(
        self,
        id: str,
        cls: str,
        attempts: AttemptHistory,
        server: int,
        address: Address | None,
        latest_ms: float,
    ) -> SendRefusal | None:
        """Why an attempt must not be written now; None: it may.

        `address` is that of the connection, `latest_ms` the last moment for a repeat by `now_ms`.
        """
        reason = self._changed(server, address, latest_ms) or self._broken_rule(cls, attempts)
        if reason in BROKEN_INVARIANTS:
            self.broken[reason] += 1
            log.error("invariant broken (%d so far): request %s: %s", self.broken.total(), id, reason.value)
        return reason

    def _changed(self, server: int, address: Address | None, latest_ms: float) -> SendRefusal | None:
        if server not in self._in_service:
            return SendRefusal.NOT_IN_SERVICE
        if self._addresses.get(server) != address:
            return SendRefusal.MOVED
        return SendRefusal.WINDOW_OVER if now_ms() > latest_ms else None

    def _broken_rule(self, cls: str, attempts: AttemptHistory) -> SendRefusal | None:
        if attempts.in_flight and not self._settings.parallel_attempts:
            return SendRefusal.OVERLAP
        if attempts.may_have_run and self._repeat[cls] is Idempotency.NON_IDEMPOTENT:
            return SendRefusal.UNSAFE_REPEAT
        return SendRefusal.TOO_MANY if attempts.written >= self._settings.max_attempts else None
