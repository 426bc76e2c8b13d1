"""A TCP listener on loopback; subclasses define how connections are handled."""

from __future__ import annotations

import asyncio
import contextlib
from abc import ABC, abstractmethod

from standins.sockets import HOST, reset

BACKLOG = 100  # connections waiting to be accepted; the default of asyncio


class Listener(ABC):
    """Accepts connections and keeps track of those that are open."""

    def __init__(self) -> None:
        self.address = ""  # host:port; empty before `start`
        self.port = 0  # 0 before `start`
        self.accepted_connections = 0
        self.closed_connections = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server  # set by `start`

    @abstractmethod
    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, which is closed when this method returns."""

    async def start(self, backlog: int = BACKLOG) -> None:
        """Listen on 127.0.0.1, on a free port, or after `stop` on the same port as before."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=backlog)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted_connections += 1
        self._writers.add(writer)
        try:
            await self.handle_connection(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the node ended the connection, or the end of the test or run cancelled this task
        finally:
            self.closed_connections += 1
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    def close_connections(self) -> None:
        """Close every open connection after sending what is buffered."""
        for writer in list(self._writers):
            writer.close()

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            reset(writer.transport)

    async def stop(self) -> None:
        """Stop listening and close every open connection."""
        self._server.close()
        self.close_connections()
