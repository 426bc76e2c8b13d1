"""Start times of the servers' processes, on the node's own clock.

An incarnation is one run of a server's process. Discovery identifies an incarnation by the start time of the
process, in Unix time.

The node's wall clock may be wrong, and it may be stepped while the node runs. So a new incarnation is
recognised by a change of the reported start time, never by comparison with the wall clock. The wall clock is
read only once, to convert Unix time to the node's monotonic clock, so that later steps don't move any start
time.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

from workspond.clock import now_ms
from workspond.discovery.endpoint_list import EndpointList

# Removed servers are remembered, up to this number, because a server that returns with the same start time
# has not been restarted.
MAX_REMOVED_SERVERS = 4096


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of a server's process.

    Attributes:
        reported_start_ms: The start as reported by discovery, in Unix time in ms; 0 or less if long ago.
        started_at_ms: The start on the node's clock, in ms; None if long ago.
    """

    reported_start_ms: float
    started_at_ms: float | None


class IncarnationTracker:
    """Tracks the incarnations of all listed servers and of some removed ones."""

    def __init__(self) -> None:
        self._unix_to_node_clock_ms = now_ms() - time.time() * 1000.0
        self._listed: dict[int, Incarnation] = {}
        self._removed: dict[int, Incarnation] = {}  # in order of removal

    def assign_start_times(self, endpoints: EndpointList, received_at_ms: float) -> None:
        """Set `started_at_ms` of all entries in a list.

        Args:
            endpoints: The list.
            received_at_ms: When the list was received, on the node's clock.
        """
        for endpoint in endpoints.endpoints:
            server_id = endpoint.server_id
            reported_start_ms = endpoints.start_times_ms[server_id]
            incarnation = self._listed.get(server_id) or self._removed.pop(server_id, None)
            if incarnation is None or incarnation.reported_start_ms != reported_start_ms:
                started_at_ms = self._start_on_node_clock(
                    reported_start_ms, endpoints.previous_response_at_ms, received_at_ms
                )
                incarnation = Incarnation(reported_start_ms, started_at_ms)
            self._listed[server_id] = incarnation
            endpoint.started_at_ms = incarnation.started_at_ms

    def _start_on_node_clock(
        self, reported_start_ms: float, previous_response_at_ms: float, received_at_ms: float
    ) -> float | None:
        """Convert a newly reported start to the node's clock; return None if it was long ago.

        The start can't be later than the list that reports it. It is assumed to be no earlier than the
        previous response, which did not report it. This limits the error if the wall clock was wrong when it
        was read.
        """
        if reported_start_ms <= 0:
            return None
        started_at_ms = reported_start_ms + self._unix_to_node_clock_ms
        return min(max(started_at_ms, previous_response_at_ms), received_at_ms)

    def remove(self, server_id: int) -> None:
        """Handle the removal of a server from the list; its incarnation is remembered in case it returns."""
        incarnation = self._listed.pop(server_id, None)
        if incarnation is None:
            return
        self._removed[server_id] = incarnation
        if len(self._removed) > MAX_REMOVED_SERVERS:
            del self._removed[next(iter(self._removed))]
