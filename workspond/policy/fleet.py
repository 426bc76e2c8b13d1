"""The servers of the endpoint list, and this replica's subset of them."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from workspond.policy.call import Call
from workspond.policy.deduplication_groups import DeduplicationGroups, GroupKey
from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.events import EndpointUpdate, UpdateKind
from workspond.policy.server import Server
from workspond.policy.settings import Settings
from workspond.policy.subset import Subset
from workspond.policy.token_bucket import TokenBucket

# Of the fleet, each cut evenly among all replicas, that a replica uses at first. Few, so that it uses few
# servers and sees each of them often.
SLICES = 4


@dataclass(slots=True)
class FleetChange:
    """A change of this replica's subset.

    Attributes:
        removed: The servers that are in the subset no more.
        updated: The servers that are new in it, or whose entry or subset weight has changed.
    """

    removed: list[Server] = field(default_factory=list)
    updated: list[Server] = field(default_factory=list)


class Fleet:
    """All listed servers, and those of them in this replica's subset.

    Attributes:
        servers: All listed servers, by id.
        total_subset_weight: The sum of the subset weights of the servers in the subset.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._replicas = settings.replicas
        self._rng = rng
        self.servers: dict[int, Server] = {}
        self.total_subset_weight = 0.0
        self._subset_servers: dict[int, Server] = {}  # the servers in the subset, by id
        self._subset = Subset(settings.replica_index, settings.replicas, SLICES)
        self._groups = DeduplicationGroups()  # of the servers in service
        self._scopes = {request_class.deduplication_scope for request_class in settings.classes}

    @property
    def subset_servers(self) -> list[Server]:
        """The servers in service that are in this replica's subset."""
        return list(self._subset_servers.values())

    @property
    def subset_size(self) -> int:
        """The number of servers in this replica's subset."""
        return len(self._subset_servers)

    @property
    def slice_count(self) -> int:
        """The number of slices of the fleet that this replica uses."""
        return self._subset.slices

    @property
    def slice_size(self) -> float:
        """The number of servers in service that one slice amounts to."""
        return len(self._subset) / self._replicas

    def is_in_subset(self, server: Server) -> bool:
        """Return whether a server is in this replica's subset."""
        return self._subset_servers.get(server.id) is server

    def is_current(self, server: Server) -> bool:
        """Return whether a server is still listed, and has not restarted."""
        return self.servers.get(server.id) is server

    def apply(self, update: EndpointUpdate, now_ms: float) -> FleetChange:
        """Apply an update of the endpoint list.

        The subset has its first size again afterwards.

        Args:
            update: Changed entries, or a complete list that replaces the old one.
            now_ms: The time.

        Returns:
            The change of this replica's subset.
        """
        change = FleetChange()
        if update.kind is not UpdateKind.INCREMENTAL:
            listed_ids = {entry.server_id for entry in update.endpoints}
            for server_id in self.servers.keys() - listed_ids:
                self._remove(self.servers[server_id], change)
        for entry in update.endpoints:
            self._apply_entry(entry, now_ms, change)
        self._subset.use_slices(SLICES)
        self._update_subset(now_ms, change)
        return change

    def grow_subset(self, now_ms: float) -> FleetChange:
        """Double the number of slices, where there are more: a busy replica needs more of the fleet."""
        change = FleetChange()
        if self.slice_count < self._replicas:
            self._subset.use_slices(2 * self.slice_count)
            self._update_subset(now_ms, change)
        return change

    def draw_deduplication_group(self, call: Call, max_count: int) -> list[Server]:
        """Draw at most `max_count` of the servers that a call which may have run can still go to."""
        key = (call.request_class.deduplication_scope, call.deduplication_group)
        return self._groups.draw(key, max_count, self._rng)

    def _apply_entry(self, entry: Endpoint, now_ms: float, change: FleetChange) -> None:
        """Apply one entry of the endpoint list."""
        server = self.servers.get(entry.server_id)
        if entry.state is EndpointState.REMOVED:
            if server is not None:
                self._remove(server, change)
            return
        if server is not None and server.has_restarted(entry):
            self._remove(server, change)  # nothing is known of the new process, though it has the old id
            server = None
        if server is None:
            server = Server(entry, now_ms, self._rng)
            self.servers[entry.server_id] = server
        elif not server.update(entry):
            return
        self._register(server)
        if self.is_in_subset(server):
            change.updated.append(server)

    def _register(self, server: Server) -> None:
        """Bring the subset's members and the groups up to date with a server's entry."""
        if not self.is_in_subset(server):
            server.subset_weight = server.listed_weight
        if server.in_service:
            self._subset.set_weight(server.id, server.listed_weight)
            self._groups.put(server, self._group_keys(server))
        else:
            self._subset.remove(server.id)
            self._groups.remove(server)

    def _group_keys(self, server: Server) -> tuple[GroupKey, ...]:
        return tuple((scope, server.deduplication_group(scope)) for scope in self._scopes)

    def _remove(self, server: Server, change: FleetChange) -> None:
        """Remove a server that is listed no more, or whose process is another."""
        del self.servers[server.id]
        self._subset.remove(server.id)
        self._groups.remove(server)
        if self._subset_servers.pop(server.id, None) is not None:
            change.removed.append(server)

    def _update_subset(self, now_ms: float, change: FleetChange) -> None:
        """Update the subset; without one, many replicas and servers would need too many connections."""
        changed_ids = self._subset.update()
        for server_id in changed_ids:
            portion = self._subset.portions.get(server_id)
            if portion is None:
                self._leave_subset(server_id, change)
            else:
                self._use_portion(self.servers[server_id], portion, now_ms, change)
        if changed_ids:
            self.total_subset_weight = sum(self._subset.portions.values())

    def _leave_subset(self, server_id: int, change: FleetChange) -> None:
        """Drop a server from the subset, if it is in it; it may still get attempts of its group."""
        server = self._subset_servers.pop(server_id, None)
        if server is not None:
            server.subset_weight = server.listed_weight
            change.removed.append(server)

    def _use_portion(self, server: Server, portion: float, now_ms: float, change: FleetChange) -> None:
        """Use a portion of a server's weight; add it to the subset if it is not in it."""
        if server.id not in self._subset_servers:
            self._subset_servers[server.id] = server
            # It has saved up nothing while it was not this replica's to use.
            tokens = min(server.slow_start_budget.tokens, self._rng.random())
            server.slow_start_budget = TokenBucket(tokens, now_ms)
        server.subset_weight = portion
        change.updated.append(server)
