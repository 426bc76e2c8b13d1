"""Counts of what happened and why: closes, refusals, attempts' outcomes, failures of discovery.

One line of the log a minute, and one at the end, where anything was counted since the last.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from enum import Enum

REPORT_EVERY_S = 60.0

log = logging.getLogger("workspond")


class CountedEvent(Enum):
    """What is counted, each with a reason."""

    CONNECTION_CLOSED = "connection_closed"  # a caller's connection, by the node
    REQUEST_ANSWERED = "request_answered"  # a request, by status
    REQUEST_ABANDONED = "request_abandoned"  # a request
    ATTEMPT_ENDED = "attempt_ended"  # by outcome
    ATTEMPT_BLOCKED = "attempt_blocked"  # an attempt that was not written
    DISCOVERY_FAILED = "discovery_failed"  # a call that failed


class EventCounters:
    """How often each event happened for each reason."""

    def __init__(self) -> None:
        self.total: Counter[tuple[CountedEvent, str]] = Counter()
        self._reported: Counter[tuple[CountedEvent, str]] = Counter()

    def increment(self, event: CountedEvent, reason: str) -> None:
        """Count one event."""
        self.total[event, reason] += 1

    def summary(self) -> str:
        """What was counted since the last line; empty if nothing was."""
        new = self.total - self._reported
        self._reported = self.total.copy()
        parts = (
            f"{event.value}[{reason}]={count}" for (event, reason), count in sorted(new.items(), key=_name)
        )
        return ", ".join(parts)

    def log_summary(self) -> None:
        """Write the line."""
        text = self.summary()
        if text:
            log.info("counts: %s", text)

    def start_periodic_report(self, loop: asyncio.AbstractEventLoop) -> None:
        """Write it from now on, every so often."""
        loop.call_later(REPORT_EVERY_S, self._report_again, loop)

    def _report_again(self, loop: asyncio.AbstractEventLoop) -> None:
        self.log_summary()
        self.start_periodic_report(loop)


def _name(item: tuple[tuple[CountedEvent, str], int]) -> tuple[str, str]:
    (event, reason), _ = item
    return event.value, reason
