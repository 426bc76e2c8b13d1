"""What the policy of this replica knows of one server."""

from __future__ import annotations

import math
import random

from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.selection_state import SelectionState
from workspond.policy.server_measurements import ServerMeasurements
from workspond.policy.settings import DeduplicationScope
from workspond.policy.token_bucket import TokenBucket

# Between two starts of a server at least. Start times that are derived from a clock anew each time they are
# read differ by less.
MIN_RESTART_INTERVAL_MS = 100.0


class Server(ServerMeasurements):
    """One server of the endpoint list: its entry, what was measured of it, and what follows from that.

    A restarted server is another `Server`, as nothing is known of the new process.

    Attributes:
        id: Its id in the endpoint list.
        zone: Its zone, from its entry.
        cell: Its cell, from its entry.
        listed_weight: Its weight, from its entry; not below 0.
        in_service: Whether it may get new attempts, from its entry.
        started_at_ms: When its process started, from its entry; None: long ago.
        subset_weight: The part of the listed weight that is this replica's to use.
        last_used_at_ms: When a connection to it was last in use.
        in_flight_limit: The calls of this replica that it can hold; finite once it has rejected an attempt.
        ejected_until_ms: The end of its last ejection.
        ejections: How often in a row it has been ejected.
        error_log_odds: The logarithm of the odds that it fails much more often than its peers.
        slow_start_budget: While it is warming up, the attempts that this replica may send to it.
        slow_start_budget_per_ms: The rate at which that was last refilled.
        selection: What the selection of servers has worked out for it.
    """

    __slots__ = (
        "id",
        "zone",
        "cell",
        "listed_weight",
        "in_service",
        "started_at_ms",
        "subset_weight",
        "last_used_at_ms",
        "in_flight_limit",
        "ejected_until_ms",
        "ejections",
        "error_log_odds",
        "slow_start_budget",
        "slow_start_budget_per_ms",
        "selection",
    )

    def __init__(self, entry: Endpoint, now_ms: float, rng: random.Random) -> None:
        super().__init__(now_ms)
        self.id = entry.server_id
        self._read(entry)
        self.subset_weight = self.listed_weight
        self.last_used_at_ms = now_ms
        self.in_flight_limit = math.inf
        self.ejected_until_ms = -math.inf
        self.ejections = 0
        self.error_log_odds = 0.0
        self.slow_start_budget = TokenBucket(
            rng.random(), now_ms
        )  # random, as all replicas learn of it at once
        self.slow_start_budget_per_ms = 0.0
        self.selection: SelectionState[Server] = SelectionState()

    def update(self, entry: Endpoint) -> bool:
        """Take over the server's current entry of the endpoint list.

        Returns:
            Whether anything that matters here has changed.
        """
        unchanged = (
            entry.zone == self.zone
            and entry.cell == self.cell
            and max(entry.weight, 0.0) == self.listed_weight
            and (entry.state is EndpointState.IN_SERVICE) == self.in_service
            and entry.started_at_ms == self.started_at_ms
        )
        if unchanged:
            return False
        self._read(entry)
        return True

    def _read(self, entry: Endpoint) -> None:
        self.zone = entry.zone
        self.cell = entry.cell
        self.listed_weight = max(entry.weight, 0.0)
        self.in_service = entry.state is EndpointState.IN_SERVICE
        self.started_at_ms = entry.started_at_ms

    def has_restarted(self, entry: Endpoint) -> bool:
        """Return whether the entry names a later start than the one known."""
        return (
            entry.started_at_ms is not None
            and entry.started_at_ms > (self.started_at_ms or -math.inf) + MIN_RESTART_INTERVAL_MS
        )

    def deduplication_group(self, scope: DeduplicationScope) -> str | int | None:
        """Return the group of servers that drop repeats together; None if all servers do."""
        match scope:
            case DeduplicationScope.ZONE:
                return self.zone
            case DeduplicationScope.CELL:
                return self.cell
            case DeduplicationScope.ALL:
                return None
