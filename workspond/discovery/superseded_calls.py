"""Discovery calls that a newer call has superseded but that may still be answered."""

from __future__ import annotations

import asyncio

from workspond.address import Address
from workspond.discovery.agent_client import AgentClient

MAX_SUPERSEDED_CALLS = 4  # each uses a connection
MAX_SUPERSEDED_S = 5.0  # a superseded call is closed after this time


class SupersededCalls:
    """The clients of superseded calls. Each is closed after `MAX_SUPERSEDED_S`."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._clients: list[AgentClient] = []  # oldest first

    @property
    def is_empty(self) -> bool:
        """Whether no superseded call may still be answered."""
        return not self._clients

    def add(self, client: AgentClient) -> None:
        """Keep a client for up to `MAX_SUPERSEDED_S`, because its call may still be answered."""
        if len(self._clients) >= MAX_SUPERSEDED_CALLS:
            # The newest client is closed, because the oldest one is the most likely to be answered next.
            self._clients.pop().close()
        self._clients.append(client)
        self._loop.call_later(MAX_SUPERSEDED_S, self.close, client)

    def remove(self, client: AgentClient) -> None:
        """Remove a client without closing its call and its connection.

        Raises:
            ValueError: If the client's call is not among the superseded ones.
        """
        self._clients.remove(client)

    def reclaim(self, address: Address) -> AgentClient | None:
        """Remove and return the oldest client for an address whose call is not overdue, or None."""
        for client in self._clients:
            if client.address == address and not client.is_overdue:
                self._clients.remove(client)
                return client
        return None

    def close(self, client: AgentClient) -> None:
        """Close and remove a client; do nothing if it has been removed before."""
        if client in self._clients:
            self._clients.remove(client)
            client.close()

    def close_watches(self) -> None:
        """Close the clients whose calls are watches, that is, wait for changes to a list."""
        for client in list(self._clients):
            if not client.needs_complete_list:
                self.close(client)

    def close_all(self) -> None:
        """Close all clients."""
        for client in self._clients:
            client.close()
        self._clients.clear()
