"""A client's connection to a node, for tests."""

from __future__ import annotations

import asyncio
import contextlib

from standins.messages import Message, read_message, render_head


class ClientConnection:
    """Writes requests and reads their responses."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, timeout_s: float = 30.0
    ) -> None:
        """`timeout_s` limits each wait: generous, as a busy machine must not change a test's verdict."""
        self.reader = reader
        self.writer = writer
        self._timeout_s = timeout_s

    def write(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.writer.write(data)

    async def read(self) -> Message:
        """Read the next response.

        Raises:
            ConnectionResetError: The connection ended without one.
            TimeoutError: None came in time.
        """
        message = await asyncio.wait_for(read_message(self.reader), self._timeout_s)
        if message is None:
            raise ConnectionResetError("closed without an answer")
        return message

    async def closed(self) -> bool:
        """Whether the node ends the connection with nothing more sent."""
        with contextlib.suppress(ConnectionError):
            return await asyncio.wait_for(self.reader.read(1), self._timeout_s) == b""
        return True

    async def send(self, data: bytes) -> Message:
        """Send a request and read its response."""
        self.write(data)
        return await self.read()

    async def get(self, path: str) -> Message:
        """Send a GET without headers, as for the ready check, and read the response."""
        return await self.send(render_head("GET", path, {}))
