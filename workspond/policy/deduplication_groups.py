"""Groups of servers from which a bounded number can be drawn, however many there are."""

from __future__ import annotations

import random
from collections.abc import Hashable

from workspond.policy.server import Server


class ServerGroup:
    """Servers that can be put in, taken out and drawn at a cost that does not grow with their number."""

    __slots__ = ("_positions", "_servers")

    def __init__(self) -> None:
        self._servers: list[Server] = []
        self._positions: dict[int, int] = {}  # by id

    def add(self, server: Server) -> None:
        """Put a server in that is not in."""
        self._positions[server.id] = len(self._servers)
        self._servers.append(server)

    def remove(self, server: Server) -> None:
        """Take a server out; the last one takes its position."""
        position, last = self._positions.pop(server.id), self._servers.pop()
        if last is not server:
            self._servers[position] = last
            self._positions[last.id] = position

    def draw(self, most: int, rng: random.Random) -> list[Server]:
        """All servers, or so many in a row from a random one on where there are more."""
        if len(self._servers) <= most:
            return list(self._servers)
        start = rng.randrange(len(self._servers))
        found = self._servers[start : start + most]
        return found + self._servers[: most - len(found)]

    def __len__(self) -> int:
        return len(self._servers)


class GroupIndex:
    """Servers by a property of theirs."""

    def __init__(self) -> None:
        self._groups: dict[Hashable, ServerGroup] = {}
        self._keys: dict[int, tuple[Hashable, ...]] = {}  # of each server that is in, by id

    def put(self, server: Server, keys: tuple[Hashable, ...]) -> None:
        """Put a server under these keys and no others."""
        self.remove(server)
        self._keys[server.id] = keys
        for key in keys:
            self._groups.setdefault(key, ServerGroup()).add(server)

    def remove(self, server: Server) -> None:
        """Take a server out, if it is in."""
        for key in self._keys.pop(server.id, ()):
            group = self._groups[key]
            group.remove(server)
            if not len(group):
                del self._groups[key]

    def draw(self, key: Hashable, most: int, rng: random.Random) -> list[Server]:
        """So many servers of a key at most."""
        group = self._groups.get(key)
        return group.draw(most, rng) if group is not None else []
