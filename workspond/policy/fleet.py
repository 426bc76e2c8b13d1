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

# The number of slices of the fleet that a replica uses at first; see `Subset`. A small number keeps the
# subset small, so that the replica sends to each of its servers often and has recent measurements of them.
INITIAL_SLICES = 4


@dataclass(slots=True)
class SubsetChange:
    """The difference between two states of this replica's subset.

    Attributes:
        removed: The servers that have left the subset.
        updated: The servers that have joined the subset, or whose entry or subset weight has changed.
    """

    removed: list[Server] = field(default_factory=list)
    updated: list[Server] = field(default_factory=list)


class Fleet:
    """The servers of the endpoint list, and the subset of them that this replica uses.

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
        self._subset = Subset(settings.replica_index, settings.replicas, INITIAL_SLICES)
        self._deduplication_groups = DeduplicationGroups()  # contains the servers in service only
        self._deduplication_scopes = {request_class.deduplication_scope for request_class in settings.classes}

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
        """The number of slices of the fleet that this replica uses; see `Subset`."""
        return self._subset.slice_count

    @property
    def slice_size(self) -> float:
        """The mean number of servers in a slice: those in service, divided by the number of replicas."""
        return len(self._subset) / self._replicas

    def is_in_subset(self, server: Server) -> bool:
        """Return whether a server is in this replica's subset."""
        return self._subset_servers.get(server.id) is server

    def is_current(self, server: Server) -> bool:
        """Return whether a server is still listed and has not restarted since its object was created."""
        return self.servers.get(server.id) is server

    def apply(self, update: EndpointUpdate, now_ms: float) -> SubsetChange:
        """Apply an update of the endpoint list, and reset the subset to its initial number of slices.

        Args:
            update: Changed entries, or a complete list that replaces the old one.
            now_ms: The current time in ms.

        Returns:
            The change of this replica's subset.
        """
        change = SubsetChange()
        if update.kind is not UpdateKind.INCREMENTAL:
            listed_ids = {entry.server_id for entry in update.endpoints}
            for server_id in self.servers.keys() - listed_ids:
                self._remove_server(self.servers[server_id], change)
        for entry in update.endpoints:
            self._apply_entry(entry, now_ms, change)
        self._subset.set_slice_count(INITIAL_SLICES)
        self._update_subset(now_ms, change)
        return change

    def grow_subset(self, now_ms: float) -> SubsetChange:
        """Double the number of slices for a busy replica, unless it uses the whole fleet already.

        Returns:
            The change of this replica's subset.
        """
        change = SubsetChange()
        if self.slice_count < self._replicas:
            self._subset.set_slice_count(2 * self.slice_count)
            self._update_subset(now_ms, change)
        return change

    def sample_deduplication_group(self, call: Call, max_count: int) -> list[Server]:
        """Return at most `max_count` servers of a call's deduplication group; the call may have run."""
        key = (call.request_class.deduplication_scope, call.deduplication_group)
        return self._deduplication_groups.sample(key, max_count, self._rng)

    def _apply_entry(self, entry: Endpoint, now_ms: float, change: SubsetChange) -> None:
        """Apply one entry of the endpoint list."""
        server = self.servers.get(entry.server_id)
        if entry.state is EndpointState.REMOVED:
            if server is not None:
                self._remove_server(server, change)
            return
        if server is not None and server.has_restarted(entry):
            # The new process has the same id, but the old one's measurements do not apply to it.
            self._remove_server(server, change)
            server = None
        if server is None:
            server = Server(entry, now_ms, self._rng)
            self.servers[entry.server_id] = server
        elif not server.update(entry):
            return
        self._update_membership(server)
        if self.is_in_subset(server):
            change.updated.append(server)

    def _update_membership(self, server: Server) -> None:
        """Update a server's membership in the subset and in the deduplication groups from its entry."""
        if not self.is_in_subset(server):
            server.subset_weight = server.listed_weight
        if server.in_service:
            self._subset.set_weight(server.id, server.listed_weight)
            self._deduplication_groups.assign(server, self._group_keys(server))
        else:
            self._subset.remove(server.id)
            self._deduplication_groups.remove(server)

    def _group_keys(self, server: Server) -> tuple[GroupKey, ...]:
        return tuple((scope, server.deduplication_group(scope)) for scope in self._deduplication_scopes)

    def _remove_server(self, server: Server, change: SubsetChange) -> None:
        """Remove a server that is no longer listed or has restarted."""
        del self.servers[server.id]
        self._subset.remove(server.id)
        self._deduplication_groups.remove(server)
        if self._subset_servers.pop(server.id, None) is not None:
            change.removed.append(server)

    def _update_subset(self, now_ms: float, change: SubsetChange) -> None:
        """Update this replica's subset.

        Without subsets every replica would need connections to every server, too many in a large fleet.
        """
        changed_ids = self._subset.update()
        for server_id in changed_ids:
            subset_weight = self._subset.subset_weights.get(server_id)
            if subset_weight is None:
                self._remove_from_subset(server_id, change)
            else:
                self._set_subset_weight(self.servers[server_id], subset_weight, now_ms, change)
        if changed_ids:
            self.total_subset_weight = sum(self._subset.subset_weights.values())

    def _remove_from_subset(self, server_id: int, change: SubsetChange) -> None:
        """Remove a server from the subset, if it is a member.

        The server may still get retries that have to go to its deduplication group.
        """
        server = self._subset_servers.pop(server_id, None)
        if server is not None:
            server.subset_weight = server.listed_weight
            change.removed.append(server)

    def _set_subset_weight(
        self, server: Server, subset_weight: float, now_ms: float, change: SubsetChange
    ) -> None:
        """Set the subset weight of a server, and add the server to the subset if it is not a member."""
        if server.id not in self._subset_servers:
            self._subset_servers[server.id] = server
            # No budget accumulates while a server is outside the subset: it starts with less than one token.
            tokens = min(server.slow_start_budget.tokens, self._rng.random())
            server.slow_start_budget = TokenBucket(tokens, now_ms)
        server.subset_weight = subset_weight
        change.updated.append(server)
