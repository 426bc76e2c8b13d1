"""A listener on loopback whose treatment of connections is chosen by its subclass."""

from __future__ import annotations

import asyncio
import contextlib
from abc import ABC, abstractmethod

from standins.sockets import HOST, reset

BACKLOG = 100  # connections that wait to be accepted; asyncio's own default


class Listener(ABC):
    """Accepts connections and keeps track of those that are open."""

    def __init__(self) -> None:
        self.address = ""  # host:port, once it listens
        self.port = 0
        self.accepted_connections = 0  # accepted so far
        self.closed_connections = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server  # once it listens

    @abstractmethod
    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; it is closed when this returns."""

    async def start(self, backlog: int = BACKLOG) -> None:
        """Listen on a free port of 127.0.0.1."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=backlog)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted_connections += 1
        self._writers.add(writer)
        try:
            await self.handle_connection(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the node has ended the connection, or the run is over
        finally:
            self.closed_connections += 1
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    def close_connections(self) -> None:
        """Close every connection in order."""
        for writer in list(self._writers):
            writer.close()

    def reset_connections(self) -> None:
        """Reset every connection."""
        for writer in list(self._writers):
            reset(writer.transport)

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.close()
        self.close_connections()
