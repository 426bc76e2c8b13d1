"""The server list as last heard, and this copy's subset of it."""

from __future__ import annotations

import random
from collections.abc import Hashable
from dataclasses import dataclass, field

from workspond.policy.call import Call
from workspond.policy.deduplication_groups import GroupIndex
from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.events import EndpointUpdate, UpdateKind
from workspond.policy.server import Server
from workspond.policy.settings import DeduplicationScope, Settings
from workspond.policy.subset import Subset
from workspond.policy.token_bucket import TokenBucket

SLICES = 4  # of the fleet, each cut evenly among all copies: few servers, so that a copy sees each often


@dataclass(slots=True)
class FleetChange:
    """What a piece of news does to the servers that are this copy's to use."""

    removed: list[Server] = field(default_factory=list)  # no longer to use
    updated: list[Server] = field(default_factory=list)  # new to it, or changed


class Fleet:
    """All listed servers, and those of them that are this copy's to use."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._nodes, self._rng = settings.replicas, rng
        self.servers: dict[int, Server] = {}
        self._ready: dict[int, Server] = {}  # those in service that are this copy's to use
        self._subset = Subset(settings.replica_index, settings.replicas, SLICES)
        self._groups = GroupIndex()  # those in service
        self._group_kinds = {request_class.deduplication_scope for request_class in settings.classes}
        self.total_subset_weight = 0.0  # the sum of what is its to use of them

    @property
    def ready(self) -> list[Server]:
        """The servers in service that are this copy's to use."""
        return list(self._ready.values())

    @property
    def ready_count(self) -> int:
        """How many servers are this copy's to use."""
        return len(self._ready)

    @property
    def slice_count(self) -> int:
        """How many slices of the fleet this copy uses."""
        return self._subset.slices

    @property
    def slice_size(self) -> float:
        """How many servers one slice is worth."""
        return len(self._subset) / self._nodes

    def is_in_subset(self, server: Server) -> bool:
        """Whether a server is this copy's to use."""
        return self._ready.get(server.id) is server

    def is_current(self, server: Server) -> bool:
        """Whether a server is still listed as the process that it was."""
        return self.servers.get(server.id) is server

    def apply(self, news: EndpointUpdate, now_ms: float) -> FleetChange:
        """Take changes, or a whole list that replaces the old one."""
        change = FleetChange()
        if news.kind is not UpdateKind.INCREMENTAL:
            named = {entry.server_id for entry in news.endpoints}
            for id in self.servers.keys() - named:
                self._remove(self.servers[id], change)
        for entry in news.endpoints:
            self._take(entry, now_ms, change)
        self._subset.use_slices(SLICES)
        self._recut(now_ms, change)
        return change

    def _take(self, entry: Endpoint, now_ms: float, change: FleetChange) -> None:
        server = self.servers.get(entry.server_id)
        if entry.state is EndpointState.REMOVED:
            if server is not None:
                self._remove(server, change)
            return
        if server is not None and server.has_restarted(entry):
            self._remove(server, change)  # of a new process nothing is known, also where one of that name was
            server = None
        if server is None:
            server = self.servers[entry.server_id] = Server(entry, now_ms, self._rng)
        elif not server.update(entry):
            return
        if not self.is_in_subset(server):
            server.subset_weight = server.listed_weight
        if server.in_service:
            self._subset.set_share(server.id, server.listed_weight)
            self._groups.put(server, self._group_keys(server))
        else:
            self._subset.remove(server.id)
            self._groups.remove(server)
        if self.is_in_subset(server):
            change.updated.append(server)

    def _group_keys(self, server: Server) -> tuple[Hashable, ...]:
        return tuple((kind, server.deduplication_group(kind)) for kind in self._group_kinds)

    def _remove(self, server: Server, change: FleetChange) -> None:
        del self.servers[server.id]
        self._subset.remove(server.id)
        self._groups.remove(server)
        if self._ready.pop(server.id, None) is not None:
            change.removed.append(server)

    def draw_deduplication_group(self, call: Call, most: int) -> list[Server]:
        """Servers that a call which may have run can still go to, so many at most."""
        group: DeduplicationScope = call.request_class.deduplication_scope
        return self._groups.draw((group, call.deduplication_group), most, self._rng)

    def grow(self, now_ms: float) -> FleetChange:
        """Use twice as many slices, where there are more: a busy caller needs more of the fleet."""
        change = FleetChange()
        if self.slice_count < self._nodes:
            self._subset.use_slices(2 * self.slice_count)
            self._recut(now_ms, change)
        return change

    def _recut(self, now_ms: float, change: FleetChange) -> None:
        """Use what the subset says: many copies going round all servers need too many connections."""
        changed = self._subset.update()
        for id in changed:
            part, used = self._subset.parts.get(id), self._ready.get(id)
            if part is None:
                if used is not None:
                    del self._ready[id]
                    used.subset_weight = used.listed_weight
                    change.removed.append(used)
                continue
            server = self.servers[id]
            if used is None:  # it has saved up nothing while it was not this copy's
                self._ready[id] = server
                server.cold_budget = TokenBucket(min(server.cold_budget.tokens, self._rng.random()), now_ms)
            server.subset_weight = part
            change.updated.append(server)
        if changed:
            self.total_subset_weight = sum(self._subset.parts.values())
