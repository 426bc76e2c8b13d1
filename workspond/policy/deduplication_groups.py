"""Groups of servers that drop repeats together, from which a bounded number can be drawn.

All operations cost the same however many servers there are.
"""

from __future__ import annotations

import random

from workspond.policy.server import Server
from workspond.policy.settings import DeduplicationScope

GroupKey = tuple[DeduplicationScope, str | int | None]  # a scope, and the group's value in it


class ServerGroup:
    """Servers that can be added, removed and drawn at a cost that does not grow with their number."""

    __slots__ = ("_servers", "_positions")

    def __init__(self) -> None:
        self._servers: list[Server] = []
        self._positions: dict[int, int] = {}  # in that list, by id

    def __len__(self) -> int:
        return len(self._servers)

    def add(self, server: Server) -> None:
        """Add a server; it must not be a member."""
        self._positions[server.id] = len(self._servers)
        self._servers.append(server)

    def remove(self, server: Server) -> None:
        """Remove a member; the last one takes its position."""
        position = self._positions.pop(server.id)
        last = self._servers.pop()
        if last is not server:
            self._servers[position] = last
            self._positions[last.id] = position

    def draw(self, max_count: int, rng: random.Random) -> list[Server]:
        """Return all servers; where there are more, `max_count` in a row from a random one on."""
        if len(self._servers) <= max_count:
            return list(self._servers)
        start = rng.randrange(len(self._servers))
        drawn = self._servers[start : start + max_count]
        return drawn + self._servers[: max_count - len(drawn)]


class DeduplicationGroups:
    """Servers by the groups that they belong to, one for each scope in use."""

    def __init__(self) -> None:
        self._groups: dict[GroupKey, ServerGroup] = {}
        self._keys: dict[int, tuple[GroupKey, ...]] = {}  # of each member, by id

    def put(self, server: Server, keys: tuple[GroupKey, ...]) -> None:
        """Put a server into these groups and no others."""
        self.remove(server)
        self._keys[server.id] = keys
        for key in keys:
            self._groups.setdefault(key, ServerGroup()).add(server)

    def remove(self, server: Server) -> None:
        """Remove a server from all groups, if it is in any."""
        for key in self._keys.pop(server.id, ()):
            group = self._groups[key]
            group.remove(server)
            if not group:
                del self._groups[key]

    def draw(self, key: GroupKey, max_count: int, rng: random.Random) -> list[Server]:
        """Draw at most `max_count` servers of a group; none if there is no such group."""
        group = self._groups.get(key)
        return group.draw(max_count, rng) if group is not None else []
