"""The connection pool, which opens connections to servers, reuses idle ones and sends attempts on them."""

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
"""The maximum idle time of a connection, as a fraction of the servers' keep-alive time.

It is below 1 because a request written while the server closes the connection would end in a reset.
"""

LOCAL_SHORTAGE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)
"""The errors of connecting that are caused by a shortage in this process or machine, not by the server."""

LATE_READ_DELAY_S = 0.001
"""The time by which a timeout is postponed when response data is unread.

It equals the resolution of the event loop's timers. After the delay, the loop has read the data.
"""

SWEEP_INTERVAL_S = 1.0
"""The time between two searches for connections over the maximum idle time."""

log = logging.getLogger("workspond")


class PendingConnection:
    """The connection of an attempt while it is being opened; see `AttemptConnection`."""

    __slots__ = ("_task",)

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def close(self) -> None:
        """Cancel the task that opens the connection, which also closes the socket."""
        self._task.cancel()

    def has_unread_data(self) -> bool:
        """Return False, as no request has been written and so no response can have arrived."""
        return False


class ConnectionPool:
    """All connections to servers: those in use, the idle ones and those being opened."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ms: float,
        keepalive_ms: float,
        available_descriptors: Callable[[], int],
        report_buffered: Callable[[ServerConnection, int], bool],
    ) -> None:
        """Create an empty pool.

        Args:
            loop: The event loop that runs the connections.
            connect_timeout_ms: The maximum time to open a connection.
            keepalive_ms: The idle time after which servers close a connection.
            available_descriptors: Returns how many more sockets the process may open.
            report_buffered: Counts the length in bytes of an incomplete response, and returns whether it may
                be kept.
        """
        self._loop = loop
        self._available_descriptors = available_descriptors
        self.report_buffered = report_buffered
        self._connect_timeout_s = connect_timeout_ms / 1000.0
        self._max_idle_ms = keepalive_ms * MAX_IDLE_FRACTION
        # By server id. Each list begins with the least recently used connection.
        self._idle: dict[int, list[ServerConnection]] = {}
        self._open: set[ServerConnection] = set()  # includes the idle connections
        self._connecting: set[asyncio.Task[None]] = set()
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def connection_count(self) -> int:
        """Return the number of sockets in use, including those of opening connections."""
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
        """Start an attempt; its outcome may be reported before this method returns.

        The handler renders the request when it is written, as the request states the time that is left, and
        connecting may take most of it.

        Args:
            server_id: The id of the server.
            address: The address on which the server listens.
            handler: Renders the request and receives the outcome.
            timeout_ms: The maximum duration of the attempt, including the time to connect.
            new_connection: Whether the attempt must use a new connection, not an idle one.
        """
        attempt = Attempt(handler)
        self._set_timeout(max(0.0, timeout_ms) / 1000.0, attempt)
        if new_connection:
            # The new connection replaces an idle one, so that connections do not accumulate.
            self._close_least_recently_used(server_id)
            connection = None
        else:
            connection = self._take_idle(server_id, address)
        if connection is not None:
            connection.send(attempt)
        elif self._available_descriptors() <= 0 and not self.close_oldest_idle():
            # The shortage is in this process: the attempt never ran, and the server is not at fault.
            attempt.end(Outcome.NOT_SENT)
        else:
            self._start_connecting(attempt, server_id, address)
        return attempt

    def _start_connecting(self, attempt: Attempt, server_id: int, address: Address) -> None:
        task = self._loop.create_task(self._connect(attempt, server_id, address))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        attempt.connection = PendingConnection(task)

    def _set_timeout(self, delay_s: float, attempt: Attempt) -> None:
        attempt.set_timeout_timer(self._loop.call_later(delay_s, self._on_timeout, attempt))

    def _on_timeout(self, attempt: Attempt) -> None:
        """Time out an attempt; postpone this once if response data is unread.

        Timers may run before data that has arrived is read. After an iteration of the event loop that is
        longer than the timeout, all requests answered during it would time out and be sent again.
        """
        if not attempt.is_timeout_extended and attempt.has_unread_data():
            attempt.is_timeout_extended = True
            self._set_timeout(LATE_READ_DELAY_S, attempt)
        else:
            attempt.time_out()

    def _take_idle(self, server_id: int, address: Address) -> ServerConnection | None:
        """Take the most recently used connection that is usable, or return None.

        The least recently used connections are left to expire. Connections that turn out to be unusable or
        that were opened to another address are closed.
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
        """Open a connection and send an attempt on it; report the outcome if it could not be sent."""
        connection = ServerConnection(self, server_id, address)
        try:
            outcome = await self._connect_and_send(connection, attempt)
        except OSError as error:  # TimeoutError is a subclass
            is_local = error.errno in LOCAL_SHORTAGE_ERRNOS
            outcome = Outcome.NOT_SENT if is_local else Outcome.CONNECT_FAILED
        except Exception:
            log.exception("connecting to a server failed: endpoint=%s:%d", *address)
            outcome = Outcome.RESET if attempt.is_written else Outcome.CONNECT_FAILED
        finally:
            if connection not in self._open:  # connecting was cancelled or has failed
                connection.close()
        if outcome is not None:
            attempt.end(outcome)

    async def _connect_and_send(self, connection: ServerConnection, attempt: Attempt) -> Outcome | None:
        """Open a connection and send an attempt on it; return the outcome, or None if it was sent."""
        async with asyncio.timeout(self._connect_timeout_s):
            await self._loop.create_connection(lambda: connection, *connection.address)
        if not connection.is_usable():  # the server closed it at once, or sent data before a request
            return Outcome.CONNECT_FAILED
        self._open.add(connection)
        # The request may have ended, or the server may have started to drain, while the connection opened.
        if attempt.has_ended or not attempt.handler.may_send():
            self.release(connection)
            return Outcome.NOT_SENT
        connection.send(attempt)
        return None

    def release(self, connection: ServerConnection) -> None:
        """Return a connection without an attempt to the idle connections."""
        connection.idle_since_ms = now_ms()
        self._idle.setdefault(connection.server_id, []).append(connection)

    def remove(self, connection: ServerConnection) -> None:
        """Remove a connection that is closed or about to be closed."""
        self._open.discard(connection)
        idle = self._idle.get(connection.server_id)
        if idle and connection in idle:
            idle.remove(connection)

    def close_idle(self, server_id: int) -> None:
        """Close all idle connections to a server."""
        for connection in self._idle.pop(server_id, []):
            connection.close()

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
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
        """Close the connections over the maximum idle time, now and every `SWEEP_INTERVAL_S` seconds."""
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        idle_before_ms = now_ms() - self._max_idle_ms
        for server_id, idle in list(self._idle.items()):
            while idle and idle[0].idle_since_ms < idle_before_ms:
                idle[0].close()
            if not idle:
                del self._idle[server_id]


def _idle_since_ms(connection: ServerConnection) -> float:
    return connection.idle_since_ms
