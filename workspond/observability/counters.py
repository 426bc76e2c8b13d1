"""Counts of what happened and why, for the log.

They are written as one line once a minute, and once at the end, if anything was counted since the last line.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from enum import Enum

REPORT_INTERVAL_S = 60.0

log = logging.getLogger("workspond")


class CountedEvent(Enum):
    """What is counted, each for a reason."""

    CONNECTION_CLOSED = "connection_closed"  # a client's connection, by the node
    REQUEST_ANSWERED = "request_answered"  # the reason is the status
    REQUEST_ABANDONED = "request_abandoned"
    ATTEMPT_ENDED = "attempt_ended"  # the reason is the outcome
    ATTEMPT_BLOCKED = "attempt_blocked"  # an attempt that was not written
    DISCOVERY_FAILED = "discovery_failed"  # a call to discovery


class EventCounters:
    """How often each event happened for each reason.

    Attributes:
        total: The counts since the start.
    """

    def __init__(self) -> None:
        self.total: Counter[tuple[CountedEvent, str]] = Counter()
        self._reported: Counter[tuple[CountedEvent, str]] = Counter()

    def increment(self, event: CountedEvent, reason: str) -> None:
        """Count one event."""
        self.total[event, reason] += 1

    def summary(self) -> str:
        """Return what was counted since the last call, as `event[reason]=count, ...`, or nothing."""
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
        """Write the summary to the log every `REPORT_INTERVAL_S` from now on."""
        loop.call_later(REPORT_INTERVAL_S, self._report, loop)

    def _report(self, loop: asyncio.AbstractEventLoop) -> None:
        self.log_summary()
        self.start_periodic_report(loop)


def _sort_key(item: tuple[tuple[CountedEvent, str], int]) -> tuple[str, str]:
    (event, reason), _ = item
    return event.value, reason
