"""Accepts callers' connections; where descriptors or memory run short they wait in the backlog.

The event loop's own way to accept closes waiting connections when descriptors run out.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from workspond.address import Address

BACKLOG = 1024
ACCEPTED_A_TURN = 16  # fewer than the descriptors kept in hand, as closed ones come back a turn later
RETRY_S = 0.05  # after a shortage
# Of this process or the machine. All other errors are those of the connection that was to be accepted.
SHORTAGES = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))

log = logging.getLogger("workspond")


class Listener:
    """A listening socket whose connections go to protocols made by `make_protocol`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        make_protocol: Callable[[], asyncio.Protocol],
    ) -> None:
        """Listen from now on; raises `OSError`."""
        self._loop, self._make_protocol = loop, make_protocol
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.create_server(address, family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self._opening: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self._short = False  # so that a shortage is one line, however long it lasts
        self._closed = False
        loop.add_reader(self._socket, self._accept_some)

    @property
    def address(self) -> Address:
        """Where it listens, with the port that port 0 stands for."""
        host, port = self._socket.getsockname()[:2]
        return host, port

    @property
    def opening(self) -> int:
        """Connections that were accepted and have no protocol yet."""
        return len(self._opening)

    def _accept_some(self) -> None:
        for _ in range(ACCEPTED_A_TURN):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return None
            except OSError as problem:
                if problem.errno in SHORTAGES:
                    return self._pause(problem)
                log.info("a connection ended before it was accepted: %s", problem)
                continue
            self._short = False
            self._open(connection)

    def _pause(self, problem: OSError) -> None:
        """Leave what waits in the backlog for a while."""
        if not self._short:
            log.warning("accepting callers later: %s", problem)
        self._short = True
        self._loop.remove_reader(self._socket)
        self._retry = self._loop.call_later(RETRY_S, self._resume)

    def _resume(self) -> None:
        self._retry = None
        self._loop.add_reader(self._socket, self._accept_some)

    def _open(self, connection: socket.socket) -> None:
        task = self._loop.create_task(self._attach(connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _attach(self, connection: socket.socket) -> None:
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(self._make_protocol, connection)
        except OSError as problem:  # its caller has gone
            log.info("a connection ended as it was accepted: %s", problem)
            connection.close()

    async def close(self) -> None:
        """Take no new connections.

        Those that the kernel has accepted go to their protocols first: with a request on it such a connection
        is the node's, and closing the socket would reset it.
        """
        if self._closed:
            return
        self._closed = True
        if self._retry is not None:
            self._retry.cancel()
        self._loop.remove_reader(self._socket)
        while True:
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                break
            except OSError as problem:
                if problem.errno in SHORTAGES:
                    log.warning("callers in the backlog are reset: %s", problem)
                    break
                continue
            self._open(connection)
        self._socket.close()
        await asyncio.gather(*self._opening)
