"""Queries to the kernel about the TCP connection of a client."""

from __future__ import annotations

import select
import socket
import struct

# From Linux's struct tcp_info: tcpi_last_data_recv, the time in ms since data was last received.
LAST_DATA_RECEIVED = struct.Struct("=52xI")


def last_data_age_ms(connection: socket.socket) -> float:
    """How long ago data was last received, in ms; 0 where the kernel does not say."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
    except OSError:
        return 0.0
    if len(info) < LAST_DATA_RECEIVED.size:
        return 0.0
    age_ms: int = LAST_DATA_RECEIVED.unpack(info)[0]
    return float(age_ms)


def is_readable(connection: socket.socket) -> bool:
    """Whether unread data, or the end of the client's data, waits in the kernel."""
    return _poll(connection, select.POLLIN)


def has_client_closed(connection: socket.socket) -> bool:
    """Whether the client has closed the connection or ended its sending, even behind unread data."""
    return _poll(connection, select.POLLRDHUP)


def _poll(connection: socket.socket, events: int) -> bool:
    """Poll the socket itself: the event loop hears of its events only once a turn."""
    poll = select.poll()
    poll.register(connection.fileno(), events)
    return bool(poll.poll(0))
