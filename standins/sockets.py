"""Helpers for sockets on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

HOST = "127.0.0.1"
LINGER_RESET = struct.pack("ii", 1, 0)  # struct linger: on, for no time, so that a close sends RST


def free_port() -> int:
    """A port of 127.0.0.1 on which nothing listens for now."""
    with socket.create_server((HOST, 0)) as listener:
        port: int = listener.getsockname()[1]
    return port


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Make the close of a transport's socket send a reset; nothing happens where it is closed already."""
    own = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def reset(transport: asyncio.WriteTransport) -> None:
    """Close a connection with a reset at once, unless it is closing already."""
    if transport.is_closing():
        return
    reset_on_close(transport)
    transport.abort()
