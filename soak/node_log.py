"""The log of one node: a file, into which a pipe from the node may be copied."""

from __future__ import annotations

import asyncio
from pathlib import Path

BROKEN_INVARIANT = "invariant broken"  # in the lines in which the node counts broken rules itself
PIPE_READ_BYTES = 4096
MAX_LINE_SHOWN = 200


class NodeLog:
    """The log file, over all processes of the node."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.is_read = asyncio.Event()  # clear: nobody reads the pipe
        self.is_read.set()

    async def copy_from(self, pipe: asyncio.StreamReader) -> None:
        """Append what comes through a pipe until its end."""
        with self.path.open("ab") as log:
            while data := await pipe.read(PIPE_READ_BYTES):
                log.write(data)
                log.flush()
                await self.is_read.wait()

    def lines(self) -> list[str]:
        """The lines so far."""
        return self.path.read_text(errors="replace").splitlines() if self.path.exists() else []

    def last_line(self) -> str | None:
        """The end of the last line, if there is one."""
        lines = self.lines()
        return lines[-1][-MAX_LINE_SHOWN:] if lines else None

    def broken_invariants(self) -> list[str]:
        """The ends of the lines in which the node counts broken rules itself."""
        return [line[-MAX_LINE_SHOWN:] for line in self.lines() if BROKEN_INVARIANT in line]
