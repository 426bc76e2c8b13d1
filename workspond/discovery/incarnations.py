"""When servers started, on the node's own clock.

Discovery tells a start as Unix time. The node's wall clock may be wrong, and it may be stepped while the
process runs; so a start is recognised by a change of what discovery tells, and the wall clock is read once.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

from workspond.clock import now_ms
from workspond.discovery.endpoint_list import EndpointList

MOST_REMEMBERED = 4096  # servers that left the list: one that returns unchanged has not started anew


@dataclass(frozen=True, slots=True)
class Incarnation:
    """A server's last start."""

    since_ms: float  # as discovery tells it: Unix time in ms, 0 or less for long ago
    started_at_ms: float | None  # on the node's clock; None for long ago


class IncarnationTracker:
    """The starts of all servers that are listed, and of some that were."""

    def __init__(self) -> None:
        self._offset_ms = now_ms() - time.time() * 1000.0
        self._listed: dict[int, Incarnation] = {}
        self._left: dict[int, Incarnation] = {}  # in the order in which they left

    def assign_start_times(self, listing: EndpointList, told_ms: float) -> None:
        """Set `started_ms` of a listing's entries, which were told at `told_ms`.

        A start that is new cannot lie after the moment it was told. It is taken to lie after the answer
        before, which told the earlier one: this bounds the error of a clock that was wrong from the first.
        """
        for entry in listing.endpoints:
            server, since_ms = entry.server_id, listing.start_times_ms[entry.server_id]
            known = self._listed.get(server) or self._left.pop(server, None)
            if known is None or known.since_ms != since_ms:
                known = Incarnation(
                    since_ms, self._locate(since_ms, listing.previous_response_at_ms, told_ms)
                )
            self._listed[server] = known
            entry.started_at_ms = known.started_at_ms

    def _locate(self, since_ms: float, previous_ms: float, told_ms: float) -> float | None:
        if since_ms <= 0:
            return None
        return min(max(since_ms + self._offset_ms, previous_ms), told_ms)

    def forget(self, server: int) -> None:
        """A server has left the list; its start is remembered for a while."""
        start = self._listed.pop(server, None)
        if start is None:
            return
        self._left[server] = start
        if len(self._left) > MOST_REMEMBERED:
            del self._left[next(iter(self._left))]
