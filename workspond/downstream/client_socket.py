"""The transport and the socket of a client connection."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from workspond.address import format_address
from workspond.socket_state import has_peer_closed, is_readable

MAX_READ_BYTES = 16 * 1024
# All connections together may read so often before data is dropped that each read has to be short.
MAX_READ_BYTES_WHILE_SHORT = 512  # while memory is short
# Holds what was read last, of any connection, until it is copied at once.
_read_buffer = memoryview(bytearray(MAX_READ_BYTES))
_short_read_buffer = _read_buffer[:MAX_READ_BYTES_WHILE_SHORT]


def read_buffer(*, is_memory_short: bool) -> memoryview:
    """Return the buffer for the next read of any connection."""
    return _short_read_buffer if is_memory_short else _read_buffer


def copy_of_read(size_bytes: int) -> bytes:
    """Return what the last read has put into the buffer."""
    return bytes(_read_buffer[:size_bytes])


class ClientSocket:
    """Reads, writes and closes; the state that the kernel knows is asked from the socket itself.

    Attributes:
        socket: The socket.
        is_reading_paused: Whether the transport does not read.
    """

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        # The cast is needed as uvloop's transports do not inherit from asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self.socket: socket.socket = self._transport.get_extra_info("socket")
        self.is_reading_paused = False

    def is_closing(self) -> bool:
        """Return whether the connection is closed or being closed."""
        return self._transport.is_closing()

    def unsent_bytes(self) -> int:
        """Return the length of what the kernel has not taken yet."""
        return self._transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Write data, or keep it until the kernel takes it."""
        self._transport.write(data)

    def set_reading(self, *, paused: bool) -> None:
        """Pause or resume reading."""
        if paused == self.is_reading_paused:
            return
        self.is_reading_paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def read_to_end(self) -> None:
        """Let the transport read an EOF that has arrived; it closes as soon as everything is written."""
        if self.is_reading_paused:
            self._transport.resume_reading()

    def is_readable(self) -> bool:
        """Return whether data or an EOF is unread."""
        return is_readable(self.socket)

    def has_peer_closed(self) -> bool:
        """Return whether the client has closed the connection or its sending side."""
        return has_peer_closed(self.socket)

    def close(self) -> None:
        """Close once everything is written."""
        self._transport.close()

    def close_sending_side(self) -> None:
        """Stop reading, and close the node's sending side once everything is written."""
        self._transport.pause_reading()
        self._transport.write_eof()

    def abort(self) -> None:
        """Close at once."""
        self._transport.abort()

    def peer_name(self) -> str:
        """Return the client's `host:port`."""
        address = self._transport.get_extra_info("peername")
        return format_address(address[:2]) if address else "unknown"
