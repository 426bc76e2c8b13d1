"""A client connection to a node, for tests."""

from __future__ import annotations

import asyncio
import contextlib

from standins.messages import Message, read_message, render_head


class ClientConnection:
    """Writes requests to a node and reads the responses."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, timeout_s: float = 30.0
    ) -> None:
        """`timeout_s` limits each read; it is long so that tests also pass on a busy machine."""
        self.reader = reader
        self.writer = writer
        self._timeout_s = timeout_s

    def write(self, data: bytes) -> None:
        """Send `data` unchanged."""
        self.writer.write(data)

    async def read(self) -> Message:
        """Read the next response.

        Raises:
            ConnectionResetError: The connection ended before a complete response.
            TimeoutError: No complete response arrived within the timeout.
        """
        message = await asyncio.wait_for(read_message(self.reader), self._timeout_s)
        if message is None:
            raise ConnectionResetError("connection closed without a response")
        return message

    async def closed(self) -> bool:
        """Wait for more data; return True if the node closes or resets the connection without sending any."""
        with contextlib.suppress(ConnectionError):
            return await asyncio.wait_for(self.reader.read(1), self._timeout_s) == b""
        return True

    async def send(self, data: bytes) -> Message:
        """Send a request and read its response."""
        self.write(data)
        return await self.read()

    async def get(self, path: str) -> Message:
        """Send a GET request without headers and read the response."""
        return await self.send(render_head("GET", path, {}))
