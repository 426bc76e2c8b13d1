"""A client for a node's ready check."""

from __future__ import annotations

import asyncio
import contextlib

from standins.messages import read_head, render_head

READY_PATH = "/-/ready"
CHECK_INTERVAL_S = 0.02


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


async def wait_until_ready(host: str, port: int, timeout_s: float) -> None:
    """Wait until the node's ready check succeeds; raises `TimeoutError` after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while True:
            if await is_ready(host, port):
                return
            await asyncio.sleep(CHECK_INTERVAL_S)
