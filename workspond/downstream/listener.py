"""Accepts client connections, and leaves them in the backlog while descriptors or memory run short.

The event loop's own server is not used, as it closes waiting connections when descriptors run out.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from workspond.address import Address

BACKLOG = 1024  # the kernel queues up to this many connections until they are accepted
# Must be below the number of reserved descriptors, as the descriptor of a closed connection is only free
# in the next iteration of the event loop.
MAX_ACCEPTS_PER_ITERATION = 16
ACCEPT_RETRY_DELAY_S = 0.05
# Errors of `accept` that concern the process or the machine. All other errors concern one connection only.
RESOURCE_SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))

log = logging.getLogger("workspond")


class Listener:
    """A listening socket that attaches each accepted connection to a new protocol instance."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        """Bind the address and start to listen.

        Args:
            loop: The event loop that runs the listener.
            address: The address to bind.
            protocol_factory: Makes the protocol instance of each accepted connection.

        Raises:
            OSError: The address could not be bound, or resources are short (`RESOURCE_SHORTAGE_ERRNOS`).
        """
        self._loop = loop
        self._protocol_factory = protocol_factory
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.create_server(address, family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        self._attach_tasks: set[asyncio.Task[None]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None
        self._has_logged_shortage = False  # prevents further log lines about the same shortage
        self._is_closed = False
        loop.add_reader(self._socket, self._accept_connections)

    @property
    def address(self) -> Address:
        """The bound address; for port 0, with the port that the kernel has chosen."""
        host, port = self._socket.getsockname()[:2]
        return host, port

    @property
    def opening_count(self) -> int:
        """The number of accepted connections that are not attached to a protocol yet."""
        return len(self._attach_tasks)

    def _accept_connections(self) -> None:
        """Accept at most `MAX_ACCEPTS_PER_ITERATION` connections from the backlog."""
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in RESOURCE_SHORTAGE_ERRNOS:
                    self._pause_accepting(error)
                    return
                log.info('connection closed before it was accepted: reason="%s"', error)
                continue
            self._has_logged_shortage = False
            self._start_attaching(connection)

    def _pause_accepting(self, error: OSError) -> None:
        """Leave connections in the backlog for `ACCEPT_RETRY_DELAY_S`."""
        if not self._has_logged_shortage:
            log.warning('accepting connections paused, resources are short: reason="%s"', error)
        self._has_logged_shortage = True
        self._loop.remove_reader(self._socket)
        self._retry_timer = self._loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self._retry_timer = None
        self._loop.add_reader(self._socket, self._accept_connections)

    def _start_attaching(self, connection: socket.socket) -> None:
        """Start a task that attaches an accepted connection to a protocol."""
        task = self._loop.create_task(self._attach(connection))
        self._attach_tasks.add(task)
        task.add_done_callback(self._attach_tasks.discard)

    async def _attach(self, connection: socket.socket) -> None:
        try:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(self._protocol_factory, connection)
        except OSError as error:  # the client has disconnected
            log.info('connection closed while it was accepted: reason="%s"', error)
            connection.close()

    async def close(self) -> None:
        """Stop accepting connections and close the listening socket.

        Connections in the backlog are accepted first, as closing the listening socket would reset them and
        lose the requests that clients have already sent on them.
        """
        if self._is_closed:
            return
        self._is_closed = True
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._loop.remove_reader(self._socket)
        self._accept_backlog()
        self._socket.close()
        await asyncio.gather(*self._attach_tasks)

    def _accept_backlog(self) -> None:
        """Accept all connections in the backlog, or as many as resources allow."""
        while True:
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in RESOURCE_SHORTAGE_ERRNOS:
                    log.warning(
                        'connections in the backlog are reset, resources are short: reason="%s"', error
                    )
                    return
                continue
            self._start_attaching(connection)
