"""The policy's record of one server: its entry in the endpoint list, and the state kept by this replica."""

from __future__ import annotations

import math
import random

from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.selection_state import SelectionState
from workspond.policy.server_measurements import ServerMeasurements
from workspond.policy.settings import DeduplicationScope
from workspond.policy.token_bucket import TokenBucket

# A start time that is later by at most this belongs to the same process. Discovery may derive the start time
# from a clock each time it is asked, and such readings differ slightly.
MIN_RESTART_INTERVAL_MS = 100.0


class Server(ServerMeasurements):
    """A server of the endpoint list: its entry, its measurements, and the state derived from them.

    A server that restarts gets a new `Server` object, because the measurements of the old process do not
    apply to the new one.

    Attributes:
        id: The id in the endpoint list.
        zone: The zone in the entry.
        cell: The cell in the entry.
        listed_weight: The weight in the entry; at least 0.
        in_service: Whether the entry allows new attempts.
        started_at_ms: The start time of the process in the entry; None if it started long ago.
        subset_weight: The weight that this replica uses. In the subset it is the sum of the listed weight's
            parts in this replica's slices, see `Subset`; outside the subset it is the listed weight.
        last_used_at_ms: The time at which a connection to the server was last used.
        in_flight_limit: The number of this replica's attempts that may be in flight at the server. Infinite
            until the server rejects an attempt or a connection attempt fails.
        ejected_until_ms: The end of the last ejection; minus infinity before the first.
        ejections: The number of consecutive ejections; 0 once `error_log_odds` has fallen to 0.
        error_log_odds: The logarithm of the odds that the server fails much more often than its peers;
            at least 0.
        slow_start_budget: The token bucket of the attempts that this replica may send while the server is
            warming up.
        slow_start_budget_per_ms: The rate of the last refill of that bucket, in tokens per ms.
        selection: The state that `ServerSelector` keeps for the server.
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
        self._copy_entry(entry)
        self.subset_weight = self.listed_weight
        self.last_used_at_ms = now_ms
        self.in_flight_limit = math.inf
        self.ejected_until_ms = -math.inf
        self.ejections = 0
        self.error_log_odds = 0.0
        # All replicas learn of a new server at the same time. The random initial budgets spread their first
        # attempts.
        self.slow_start_budget = TokenBucket(rng.random(), now_ms)
        self.slow_start_budget_per_ms = 0.0
        self.selection: SelectionState[Server] = SelectionState()

    def update(self, entry: Endpoint) -> bool:
        """Update the server from its current entry in the endpoint list.

        Returns:
            Whether any of the fields that the policy uses has changed.
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
        self._copy_entry(entry)
        return True

    def _copy_entry(self, entry: Endpoint) -> None:
        self.zone = entry.zone
        self.cell = entry.cell
        self.listed_weight = max(entry.weight, 0.0)
        self.in_service = entry.state is EndpointState.IN_SERVICE
        self.started_at_ms = entry.started_at_ms

    def has_restarted(self, entry: Endpoint) -> bool:
        """Return whether the entry has a later start time than this server, and so is of a new process."""
        return (
            entry.started_at_ms is not None
            and entry.started_at_ms > (self.started_at_ms or -math.inf) + MIN_RESTART_INTERVAL_MS
        )

    def deduplication_group(self, scope: DeduplicationScope) -> str | int | None:
        """Return the server's deduplication group in a scope.

        The servers of a group recognise and drop repeats of each other's requests. None stands for the one
        group of all servers.
        """
        match scope:
            case DeduplicationScope.ZONE:
                return self.zone
            case DeduplicationScope.CELL:
                return self.cell
            case DeduplicationScope.ALL:
                return None
