"""A server to which connections stay pending until the test accepts them."""

from __future__ import annotations

import asyncio
import socket
from types import TracebackType
from typing import Any

from tests.peers import WAIT_TIMEOUT_S


class StalledListener:
    """A listening socket with a full backlog, so that connecting to it hangs until `accept` is called.

    `accept` takes about 1 s, after which the kernel retries the handshake.
    """

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._backlog_filler = socket.socket()

    def __enter__(self) -> StalledListener:
        self._socket.bind(("127.0.0.1", 0))
        self._socket.listen(0)  # the backlog holds one connection
        self._backlog_filler.connect(self._socket.getsockname())
        self._socket.setblocking(False)
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._backlog_filler.close()
        self._socket.close()

    @property
    def address(self) -> str:
        """The address on which the socket listens, as `host:port`."""
        host, port = self._socket.getsockname()[:2]
        return f"{host}:{port}"

    def entry(self) -> dict[str, Any]:
        """Return the entry of this server in the endpoint list."""
        return {"name": "stalled", "address": self.address, "status": "active"}

    async def accept(self) -> socket.socket:
        """Accept the pending connection and return it."""
        loop = asyncio.get_running_loop()
        accepted_filler, _ = await asyncio.wait_for(loop.sock_accept(self._socket), WAIT_TIMEOUT_S)
        accepted_filler.close()
        pending, _ = await asyncio.wait_for(loop.sock_accept(self._socket), WAIT_TIMEOUT_S)
        return pending


def has_received_nothing(connection: socket.socket) -> bool:
    """Return whether a connection is open and holds no unread data."""
    connection.setblocking(False)
    try:
        connection.recv(1)
    except BlockingIOError:
        return True
    return False
