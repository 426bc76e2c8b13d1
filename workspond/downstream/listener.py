"""Accepts clients' connections; while descriptors or memory run short, they wait in the backlog.

The event loop's own way to accept closes waiting connections when descriptors run out.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from workspond.address import Address

BACKLOG = 1024  # connections that the kernel holds for the node
# Fewer than the descriptors that are kept in reserve, as those of closed connections are free a turn later.
MAX_ACCEPTS_PER_TURN = 16
ACCEPT_RETRY_DELAY_S = 0.05  # from a shortage to the next attempt to accept
# Errors of this process or the machine. All others are those of the connection that was to be accepted.
RESOURCE_SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))

log = logging.getLogger("workspond")


class Listener:
    """A listening socket whose connections go to protocols made by `make_protocol`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        make_protocol: Callable[[], asyncio.Protocol],
    ) -> None:
        """Listen from now on.

        Raises:
            OSError: The address can't be listened on, or the machine runs short (`RESOURCE_SHORTAGE_ERRNOS`).
        """
        self._loop = loop
        self._make_protocol = make_protocol
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.create_server(address, family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self._opening: set[asyncio.Task[None]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None
        self._has_logged_shortage = False  # so that a shortage is one line, however long it lasts
        self._is_closed = False
        loop.add_reader(self._socket, self._accept_waiting)

    @property
    def address(self) -> Address:
        """Where it listens, with the port that port 0 stands for."""
        host, port = self._socket.getsockname()[:2]
        return host, port

    @property
    def opening(self) -> int:
        """How many connections were accepted and have no protocol yet."""
        return len(self._opening)

    def _accept_waiting(self) -> None:
        """Accept some of the connections that wait in the backlog."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in RESOURCE_SHORTAGE_ERRNOS:
                    self._pause(error)
                    return
                log.info('connection ended before it was accepted: reason="%s"', error)
                continue
            self._has_logged_shortage = False
            self._open(connection)

    def _pause(self, error: OSError) -> None:
        """Leave connections in the backlog for a while."""
        if not self._has_logged_shortage:
            log.warning('accepting connections is paused by a shortage: reason="%s"', error)
        self._has_logged_shortage = True
        self._loop.remove_reader(self._socket)
        self._retry_timer = self._loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume)

    def _resume(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self._socket, self._accept_waiting)

    def _open(self, connection: socket.socket) -> None:
        """Have an accepted connection attached to a protocol."""
        task = self._loop.create_task(self._attach(connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _attach(self, connection: socket.socket) -> None:
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(self._make_protocol, connection)
        except OSError as error:  # its client has disconnected
            log.info('connection ended as it was accepted: reason="%s"', error)
            connection.close()

    async def close(self) -> None:
        """Accept no new connections.

        Those that the kernel has accepted are attached to their protocols first: such a connection may carry
        a request that the node is responsible for, and closing the socket would reset it.
        """
        if self._is_closed:
            return
        self._is_closed = True
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._loop.remove_reader(self._socket)
        self._accept_backlog()
        self._socket.close()
        await asyncio.gather(*self._opening)

    def _accept_backlog(self) -> None:
        """Accept all that waits in the backlog, up to a shortage."""
        while True:
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in RESOURCE_SHORTAGE_ERRNOS:
                    log.warning('connections in the backlog are reset: reason="%s"', error)
                    return
                continue
            self._open(connection)
