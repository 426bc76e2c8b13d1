"""Counters of events by reason, which are written to the log.

The counts since the previous line are written as one line every `REPORT_INTERVAL_S` and at shutdown, unless
there are none.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from enum import Enum

REPORT_INTERVAL_S = 10.0

log = logging.getLogger("workspond")


class CountedEvent(Enum):
    """The events that are counted, each together with a reason."""

    CONNECTION_CLOSED = "connection_closed"  # counts client connections that the node closed
    REQUEST_ANSWERED = "request_answered"  # the reason is the HTTP status
    REQUEST_ENDED = "request_ended"  # counts requests that the policy ended without a server's response
    REQUEST_ABANDONED = "request_abandoned"
    ATTEMPT_RETRIED = "attempt_retried"  # counts attempts after the first; the reason is the last outcome
    ATTEMPT_ENDED = "attempt_ended"  # the reason is the outcome
    ATTEMPT_BLOCKED = "attempt_blocked"  # counts attempts that were not written
    DISCOVERY_FAILED = "discovery_failed"  # counts failed calls to the discovery agent


class EventCounters:
    """Counts how often each event occurred, by reason.

    Attributes:
        total: The counts since the process started.
    """

    def __init__(self) -> None:
        self.total: Counter[tuple[CountedEvent, str]] = Counter()
        self._reported: Counter[tuple[CountedEvent, str]] = Counter()

    def increment(self, event: CountedEvent, reason: str) -> None:
        """Count one occurrence of an event."""
        self.total[event, reason] += 1

    def summary(self) -> str:
        """Return the counts since the previous call as `event[reason]=count, ...`, or an empty string."""
        new_counts = self.total - self._reported
        self._reported = self.total.copy()
        return ", ".join(
            f"{event.value}[{reason}]={count}"
            for (event, reason), count in sorted(new_counts.items(), key=_sort_key)
        )

    def log_summary(self) -> None:
        """Write the summary to the log, unless it is empty."""
        text = self.summary()
        if text:
            log.info("counts: %s", text)

    def start_periodic_report(self, loop: asyncio.AbstractEventLoop) -> None:
        """Write the summary to the log every `REPORT_INTERVAL_S` seconds."""
        loop.call_later(REPORT_INTERVAL_S, self._report, loop)

    def _report(self, loop: asyncio.AbstractEventLoop) -> None:
        self.log_summary()
        self.start_periodic_report(loop)


def _sort_key(item: tuple[tuple[CountedEvent, str], int]) -> tuple[str, str]:
    (event, reason), _ = item
    return event.value, reason
