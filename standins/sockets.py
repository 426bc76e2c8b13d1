"""Helpers for sockets on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Iterator

HOST = "127.0.0.1"
LINGER_RESET = struct.pack("ii", 1, 0)  # struct linger, enabled with a timeout of 0: close sends RST


def free_port() -> int:
    """Return a port of 127.0.0.1 on which nothing listens at the moment."""
    with socket.create_server((HOST, 0)) as listener:
        port: int = listener.getsockname()[1]
    return port


@contextlib.contextmanager
def hanging_listener() -> Iterator[tuple[str, int]]:
    """Yield an address of 127.0.0.1 at which connection attempts are neither accepted nor refused."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server((HOST, 0), backlog=0))
        address: tuple[str, int] = listener.getsockname()
        # One connection, which is never accepted, fills the backlog.
        stack.enter_context(socket.create_connection(address))
        yield address


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Make closing the transport's socket send a reset; has no effect if the socket is already closed."""
    connection_socket = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def reset(transport: asyncio.WriteTransport) -> None:
    """Reset a connection immediately, unless it is already closing."""
    if transport.is_closing():
        return
    reset_on_close(transport)
    transport.abort()
