"""The node that is measured: its process, its readiness, and what the kernel says that it has used."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from collections.abc import AsyncIterator
from pathlib import Path

from standins.checkout import node_command
from standins.readiness import is_ready
from standins.sockets import HOST

READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
STOP_TIMEOUT_S = 5.0
KB_PER_MB = 1024.0


class FleetError(Exception):
    """A run that gives no figure; the text says in one line why."""


@contextlib.asynccontextmanager
async def running_node(root: Path, config: Path) -> AsyncIterator[asyncio.subprocess.Process]:
    """The node of a checkout with a configuration file, while the block runs.

    Raises:
        CheckoutError: The checkout's deploy file names no module.
    """
    process = await asyncio.create_subprocess_exec(
        *node_command(root),
        cwd=root,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
        env=dict(os.environ, NODE_CONFIG=str(config)),
    )
    try:
        yield process
    finally:
        await _stop(process)


async def _stop(process: asyncio.subprocess.Process) -> None:
    with contextlib.suppress(ProcessLookupError):  # it has ended by itself
        process.terminate()
    try:
        await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
    except TimeoutError:
        process.kill()
        await process.wait()


async def wait_until_ready(port: int, process: asyncio.subprocess.Process) -> None:
    """Return once the node says that it is ready.

    Raises:
        FleetError: The process has ended, or was not ready in time.
    """
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if process.returncode is not None:
            raise FleetError(f"the node ended with status {process.returncode}")
        if await is_ready(HOST, port):
            return
        await asyncio.sleep(READY_POLL_S)
    raise FleetError(f"the node was not ready within {READY_TIMEOUT_S:.0f} s")


def processor_time_s(pid: int) -> float:
    """The processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_memory_mb(pid: int) -> float:
    """The most memory that a process has held."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / KB_PER_MB
