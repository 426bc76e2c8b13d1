"""Queries the kernel about the state of a TCP socket."""

from __future__ import annotations

import select
import socket
import struct

# Reads tcpi_last_data_recv of Linux's struct tcp_info, the time in ms since data was last received.
LAST_DATA_RECEIVED = struct.Struct("=52xI")


def last_data_age_ms(connection: socket.socket) -> float:
    """Return the time since data was last received, in ms; 0 if the kernel does not provide it."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
    except OSError:
        return 0.0
    if len(info) < LAST_DATA_RECEIVED.size:
        return 0.0
    age_ms: int = LAST_DATA_RECEIVED.unpack(info)[0]
    return float(age_ms)


def is_readable(connection: socket.socket) -> bool:
    """Return whether the socket holds unread data or an unread EOF."""
    return _poll(connection, select.POLLIN)


def has_peer_closed(connection: socket.socket) -> bool:
    """Return whether the peer has closed the connection or its sending side, even if data is unread."""
    return _poll(connection, select.POLLRDHUP)


def _poll(connection: socket.socket, events: int) -> bool:
    """Poll the socket directly, as the event loop polls only once in each iteration."""
    poll = select.poll()
    poll.register(connection.fileno(), events)
    return bool(poll.poll(0))
