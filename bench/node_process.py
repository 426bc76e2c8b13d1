"""Runs the measured node as a process and reads its resource usage from the kernel."""

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


class MeasurementError(Exception):
    """Raised for a run without valid figures; the message gives the reason in one line."""


@contextlib.asynccontextmanager
async def running_node(root: Path, config: Path) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run the node of the checkout at `root` within a `with` block.

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
    with contextlib.suppress(ProcessLookupError):  # the process has already ended
        process.terminate()
    try:
        await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
    except TimeoutError:
        process.kill()
        await process.wait()


async def wait_until_ready(port: int, process: asyncio.subprocess.Process) -> None:
    """Wait until the node is ready.

    Raises:
        MeasurementError: The process ended, or was not ready in time.
    """
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if process.returncode is not None:
            raise MeasurementError(f"the node ended with status {process.returncode}")
        if await is_ready(HOST, port):
            return
        await asyncio.sleep(READY_POLL_S)
    raise MeasurementError(f"the node was not ready within {READY_TIMEOUT_S:.0f} s")


def cpu_time_s(pid: int) -> float:
    """Return the processor time that a process has used, in user and kernel mode."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_memory_mb(pid: int) -> float:
    """Return the peak resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / KB_PER_MB
