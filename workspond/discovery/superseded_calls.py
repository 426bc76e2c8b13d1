"""Calls to discovery that a newer call has superseded, and that may still be answered."""

from __future__ import annotations

import asyncio

from workspond.address import Address
from workspond.discovery.agent_client import AgentClient

MAX_SUPERSEDED_CALLS = 4  # that may still be answered, each on a connection of its own
MAX_SUPERSEDED_S = 5.0  # how long a call may still be answered after it was superseded


class SupersededCalls:
    """The clients of superseded calls, each closed when its time is over."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._clients: list[AgentClient] = []  # the oldest first

    def add(self, client: AgentClient) -> None:
        """Let the call of this client go on for a while."""
        if len(self._clients) >= MAX_SUPERSEDED_CALLS:
            # The newest makes way, because the oldest is the next to be answered.
            self._clients.pop().close()
        self._clients.append(client)
        self._loop.call_later(MAX_SUPERSEDED_S, self.close, client)

    def remove(self, client: AgentClient) -> None:
        """Remove a client and leave its call and its connection open.

        Raises:
            ValueError: If the client is not one of these.
        """
        self._clients.remove(client)

    def reclaim(self, address: Address) -> AgentClient | None:
        """Remove and return the oldest client of this address whose call is not overdue, if there is one."""
        for client in self._clients:
            if client.address == address and not client.is_overdue:
                self._clients.remove(client)
                return client
        return None

    def close(self, client: AgentClient) -> None:
        """Close a client; does nothing if it is none of these any more."""
        if client in self._clients:
            self._clients.remove(client)
            client.close()

    def close_watches(self) -> None:
        """Close the clients whose calls wait for changes to a list that they hold."""
        for client in list(self._clients):
            if not client.needs_complete_list:
                self.close(client)

    def close_all(self) -> None:
        """Close all clients."""
        for client in self._clients:
            client.close()
        self._clients.clear()
