"""Samples the memory of a node's process."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

from tests.peers import NodeEnvironment
from tests.program import Program

SAMPLE_INTERVAL_S = 0.01
KILOBYTES_PER_MB = 1024


def memory_mb(pid: int, field: str) -> float:
    """Return a field of a process's status that is given in kilobytes, in MB."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    return int(status.partition(f"{field}:")[2].split()[0]) / KILOBYTES_PER_MB


class MemorySampler:
    """Samples a process's own memory, without mapped files and libraries.

    Attributes:
        peak_mb: The highest sample.
    """

    def __init__(self, pid: int) -> None:
        self.peak_mb = 0.0
        self._pid = pid

    async def run(self) -> None:
        """Take samples until the task is cancelled."""
        while True:
            self.peak_mb = max(self.peak_mb, memory_mb(self._pid, "RssAnon"))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def peak_resident_mb(self) -> float:
        """Return the highest resident memory since the process began, with mapped files and libraries."""
        return memory_mb(self._pid, "VmHWM")


@contextlib.asynccontextmanager
async def sampled_program(environment: NodeEnvironment) -> AsyncIterator[MemorySampler]:
    """Run the program until it is ready, and sample its memory meanwhile."""
    program = await Program.start(environment)
    sampler = MemorySampler(program.process.pid)
    task = asyncio.create_task(sampler.run())
    await program.wait_until_ready()
    try:
        yield sampler
    finally:
        task.cancel()
