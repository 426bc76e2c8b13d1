"""A client for a node's ready check."""

from __future__ import annotations

import asyncio
import contextlib

from standins.messages import read_head, render_head

READY_PATH = "/-/ready"


async def is_ready(host: str, port: int) -> bool:
    """Return whether the node's ready check responds with 200; False if nothing listens on the port."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(render_head("GET", READY_PATH, {"Host": host}))
            return (await read_head(reader)).startswith(b"HTTP/1.1 200")
        finally:
            writer.close()
    return False
