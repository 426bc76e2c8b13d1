"""The pool of connections to servers: it opens them, keeps idle ones, and sends attempts on them."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable

from workspond.address import Address
from workspond.clock import now_ms
from workspond.policy.events import Outcome
from workspond.upstream.attempt import Attempt, AttemptHandler
from workspond.upstream.connection import ServerConnection

MAX_IDLE_FRACTION = 0.5
"""How long a connection may be idle, as a fraction of the servers' own limit.

A request that is written while the server closes the connection would end in a reset.
"""

LOCAL_SHORTAGE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)
"""The errors of connecting that tell of a shortage in this process or machine, and nothing of the server."""

LATE_READ_S = 0.001
"""How long a timeout is put off for a response that is unread; timers are no finer than this.

By then the event loop has read what had arrived before.
"""

SWEEP_INTERVAL_S = 1.0
"""How often connections that have been idle for too long are looked for."""

log = logging.getLogger("workspond")


class ConnectingTask:
    """A connection that is being opened, as the carrier of the attempt that it is for."""

    __slots__ = ("_task",)

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def close(self) -> None:
        """Stop connecting; the task closes whatever has come up."""
        self._task.cancel()

    def has_unread_data(self) -> bool:
        """Whether something has arrived: never, as no request has been written."""
        return False


class ConnectionPool:
    """All connections to servers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ms: float,
        keepalive_ms: float,
        available_descriptors: Callable[[], int],
    ) -> None:
        """Start with no connections.

        Args:
            loop: The event loop that runs them.
            connect_timeout_ms: How long a connection may take to open.
            keepalive_ms: After how long servers close an idle connection.
            available_descriptors: How many more sockets the process may open.
        """
        self._loop = loop
        self._available_descriptors = available_descriptors
        self._connect_timeout_s = connect_timeout_ms / 1000.0
        self._max_idle_ms = keepalive_ms * MAX_IDLE_FRACTION
        self._idle: dict[int, list[ServerConnection]] = {}  # by server, the least recently used first
        self._open: set[ServerConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def connection_count(self) -> int:
        """How many sockets are in use, with those that are being opened."""
        return len(self._open) + len(self._connecting)

    def send(
        self,
        server_id: int,
        address: Address,
        handler: AttemptHandler,
        timeout_ms: float,
        *,
        new_connection: bool = False,
    ) -> Attempt:
        """Start an attempt; its handler may be told of its end before this returns.

        The handler renders the request when it is written, as connecting may take most of the time there is.

        Args:
            server_id: The server.
            address: Where it listens.
            handler: Renders the request and takes the outcome.
            timeout_ms: How long the attempt may take, connecting included.
            new_connection: Whether it must have a connection of its own, not one that was idle.
        """
        attempt = Attempt(handler)
        self._set_timeout(max(0.0, timeout_ms) / 1000.0, attempt)
        if new_connection:
            self._close_least_recently_used(server_id)  # the new one takes its place, or they would add up
            connection = None
        else:
            connection = self._take_idle(server_id, address)
        if connection is not None:
            connection.send(attempt)
        elif self._available_descriptors() <= 0 and not self.close_oldest_idle():
            # The shortage is this process's own: the attempt never ran, and says nothing about the server.
            attempt.end(Outcome.NOT_SENT)
        else:
            self._start_connecting(attempt, server_id, address)
        return attempt

    def _start_connecting(self, attempt: Attempt, server_id: int, address: Address) -> None:
        task = self._loop.create_task(self._connect(attempt, server_id, address))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        attempt.connection = ConnectingTask(task)

    def _set_timeout(self, delay_s: float, attempt: Attempt) -> None:
        attempt.set_timeout_timer(self._loop.call_later(delay_s, self._on_timeout, attempt))

    def _on_timeout(self, attempt: Attempt) -> None:
        """Time an attempt out, unless its response came in time and the event loop only reads it late.

        Timers may run before what arrived meanwhile is read: after a turn of the loop that is longer than the
        timeout, all that was answered in it would count as lost, and be sent again.
        """
        if not attempt.is_timeout_extended and attempt.has_unread_data():
            attempt.is_timeout_extended = True
            self._set_timeout(LATE_READ_S, attempt)
        else:
            attempt.time_out()

    def _take_idle(self, server_id: int, address: Address) -> ServerConnection | None:
        """The most recently used connection that may be used again, so that the others can expire.

        Those that are found broken, or lead to an old address, are closed on the way.
        """
        now = now_ms()
        idle = self._idle.get(server_id, [])
        for connection in [each for each in reversed(idle) if each.reusable_at_ms <= now]:
            if connection.is_usable() and connection.address == address:
                idle.remove(connection)
                return connection
            connection.close()
        return None

    async def _connect(self, attempt: Attempt, server_id: int, address: Address) -> None:
        """Open a connection for an attempt and send it there; report the outcome if it could not be sent."""
        connection = ServerConnection(self, server_id, address)
        try:
            outcome = await self._connect_and_send(connection, attempt)
        except OSError as error:  # a timeout is one too
            is_local = error.errno in LOCAL_SHORTAGE_ERRNOS
            outcome = Outcome.NOT_SENT if is_local else Outcome.CONNECT_FAILED
        except Exception:
            log.exception("connecting to a server failed: endpoint=%s:%d", *address)
            outcome = Outcome.RESET if attempt.is_written else Outcome.CONNECT_FAILED
        finally:
            if connection not in self._open:  # cancelled or broken: nobody uses what came up of it
                connection.close()
        if outcome is not None:
            attempt.end(outcome)

    async def _connect_and_send(self, connection: ServerConnection, attempt: Attempt) -> Outcome | None:
        """Open a connection and send an attempt on it; returns the outcome, or None if it has been sent."""
        async with asyncio.timeout(self._connect_timeout_s):
            await self._loop.create_connection(lambda: connection, *connection.address)
        if not connection.is_usable():  # it came up and broke at once
            return Outcome.CONNECT_FAILED
        self._open.add(connection)
        # Connecting took time: the request may have ended, or its server may be draining by now.
        if attempt.is_over or not attempt.handler.may_send():
            self.put_back(connection)
            return Outcome.NOT_SENT
        connection.send(attempt)
        return None

    def put_back(self, connection: ServerConnection) -> None:
        """Keep a connection that carries no attempt for the next one."""
        connection.idle_since_ms = now_ms()
        self._idle.setdefault(connection.server_id, []).append(connection)

    def remove(self, connection: ServerConnection) -> None:
        """Remove a connection that is closed, or is about to be."""
        self._open.discard(connection)
        idle = self._idle.get(connection.server_id)
        if idle and connection in idle:
            idle.remove(connection)

    def close_idle(self, server_id: int) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle.pop(server_id, []):
            connection.close()

    def close_oldest_idle(self) -> bool:
        """Free a socket; returns whether there was an idle connection to close."""
        candidates = (idle[0] for idle in self._idle.values() if idle)
        oldest = min(candidates, key=_idle_since_ms, default=None)
        if oldest is None:
            return False
        oldest.close()
        return True

    def _close_least_recently_used(self, server_id: int) -> None:
        idle = self._idle.get(server_id)
        if idle:
            idle[0].close()

    def _sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        idle_before_ms = now_ms() - self._max_idle_ms
        for server_id, idle in list(self._idle.items()):
            while idle and idle[0].idle_since_ms < idle_before_ms:
                idle[0].close()
            if not idle:
                del self._idle[server_id]


def _idle_since_ms(connection: ServerConnection) -> float:
    return connection.idle_since_ms
