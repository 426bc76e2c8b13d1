"""The log of one node: a file that the node writes itself, or that its log pipe is copied into."""

from __future__ import annotations

import asyncio
from pathlib import Path

BROKEN_INVARIANT = "invariant broken"  # marks the log lines that report a violation found by the node itself
PIPE_READ_BYTES = 4096
MAX_LINE_CHARACTERS = 200


class NodeLog:
    """The log file of a node; the successive processes of the node append to it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.may_read = asyncio.Event()  # the pipe is not read while it is clear
        self.may_read.set()

    async def copy_from(self, pipe: asyncio.StreamReader) -> None:
        """Append the data of a pipe to the file until the pipe ends."""
        with self.path.open("ab") as log:
            while data := await pipe.read(PIPE_READ_BYTES):
                log.write(data)
                log.flush()
                await self.may_read.wait()

    def lines(self) -> list[str]:
        """Return the lines logged so far."""
        return self.path.read_text(errors="replace").splitlines() if self.path.exists() else []

    def last_line(self) -> str | None:
        """Return the end of the last line; None if the log is empty."""
        lines = self.lines()
        return lines[-1][-MAX_LINE_CHARACTERS:] if lines else None

    def broken_invariants(self) -> list[str]:
        """Return the ends of the lines that report a broken invariant."""
        return [line[-MAX_LINE_CHARACTERS:] for line in self.lines() if BROKEN_INVARIANT in line]
