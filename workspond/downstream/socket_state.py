"""What the kernel tells of a TCP connection."""

from __future__ import annotations

import socket
import struct

# Of Linux's struct tcp_info: the time in ms since data last came (tcpi_last_data_recv).
LAST_DATA_RECEIVED = struct.Struct("=52xI")


def unread_since_ms(connection: socket.socket) -> float:
    """For how long the data that came last has been here, in ms; 0 where the kernel does not tell."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
    except OSError:
        return 0.0
    if len(info) < LAST_DATA_RECEIVED.size:
        return 0.0
    age_ms: int = LAST_DATA_RECEIVED.unpack(info)[0]
    return float(age_ms)
