"""Deduplication groups: servers that recognise and drop repeats of each other's requests.

The time to add, remove or sample servers does not depend on the number of servers.
"""

from __future__ import annotations

import random

from workspond.policy.server import Server
from workspond.policy.settings import DeduplicationScope

# A deduplication scope and the zone or cell that identifies a group in it; None for the group of all servers.
GroupKey = tuple[DeduplicationScope, str | int | None]


class ServerGroup:
    """A set of servers with constant-time insertion, removal and random sampling."""

    __slots__ = ("_servers", "_positions")

    def __init__(self) -> None:
        self._servers: list[Server] = []
        self._positions: dict[int, int] = {}  # index in `_servers`, by server id

    def __len__(self) -> int:
        return len(self._servers)

    def add(self, server: Server) -> None:
        """Add a server; it must not be a member."""
        self._positions[server.id] = len(self._servers)
        self._servers.append(server)

    def remove(self, server: Server) -> None:
        """Remove a member; the last member takes its position in the list."""
        position = self._positions.pop(server.id)
        last = self._servers.pop()
        if last is not server:
            self._servers[position] = last
            self._positions[last.id] = position

    def sample(self, max_count: int, rng: random.Random) -> list[Server]:
        """Return all servers, or `max_count` consecutive ones from a random position if there are more."""
        if len(self._servers) <= max_count:
            return list(self._servers)
        start = rng.randrange(len(self._servers))
        sampled = self._servers[start : start + max_count]
        return sampled + self._servers[: max_count - len(sampled)]


class DeduplicationGroups:
    """The servers by deduplication group; a server belongs to one group in each scope that is in use."""

    def __init__(self) -> None:
        self._groups: dict[GroupKey, ServerGroup] = {}
        self._keys: dict[int, tuple[GroupKey, ...]] = {}  # the keys of each server's groups, by server id

    def assign(self, server: Server, keys: tuple[GroupKey, ...]) -> None:
        """Make a server a member of the groups with these keys, and of no others."""
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

    def sample(self, key: GroupKey, max_count: int, rng: random.Random) -> list[Server]:
        """Return at most `max_count` servers of a group, as `ServerGroup.sample`; [] if there is no group."""
        group = self._groups.get(key)
        return group.sample(max_count, rng) if group is not None else []
