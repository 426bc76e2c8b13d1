"""Peers that stop in the middle of a request take more memory than the node may use."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path
from uuid import uuid4

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import harness
from deployments import ALMATY_BUDGET_S, ALMATY_METHODS, ALMATY_MIX, ALMATY_ROTA, ALMATY_WORK_MS

# The operators' reports show nodes of this deployment with 80 MB and 384 descriptors. On its short days the
# bench gives them 80 to 96 MB and 512 to 672 descriptors.
LIMITS: harness.Json = {"cores": 1.0, "memory_mb": 96, "sockets": 608}
SERVERS = 9
CELL = 3
CLIENTS = 20
QUIET_S, AFTER_S = 3.0, 6.0
PEERS = 80
CHUNKS = 32_000  # of 2 bytes each, so the body stays under the 64 KiB that a body may have
CHECK_EVERY_S = 0.01


class Platform:
    """The platform: it kills the node when its memory is over the limit, as the deploy page says."""

    def __init__(self, case: harness.Case) -> None:
        self.case = case
        self.peak_mb = 0.0
        self.has_killed = False

    def memory_mb(self) -> float:
        """Return the node's own memory, without the files and libraries that it has mapped."""
        status = Path(f"/proc/{self.case.node.pid}/status").read_text(encoding="ascii")
        return int(status.partition("RssAnon:")[2].split()[0]) / 1024.0

    async def watch(self) -> None:
        """Check the memory until the node is killed."""
        while not self.has_killed:
            memory_mb = self.memory_mb()
            self.peak_mb = max(self.peak_mb, memory_mb)
            if memory_mb > LIMITS["memory_mb"]:
                self.case.node.send_signal(signal.SIGKILL)
                self.has_killed = True
                self.case.record(f"PLATFORM: the node has {memory_mb:.1f} MB, over its limit: killed")
            await asyncio.sleep(CHECK_EVERY_S)


class Client:
    """A sound client: it sends one request after another on one connection."""

    def __init__(self, case: harness.Case, number: int, counts: dict[int, int]) -> None:
        self.case = case
        self.number = number
        self.counts = counts

    async def run(self) -> None:
        """Send requests until the node is gone."""
        reader, writer = await asyncio.open_connection(harness.HOST, self.case.node_port)
        status = 200
        sent = self.number
        while status:
            class_name = ALMATY_MIX[sent % len(ALMATY_MIX)]
            sent += 1
            request_id = uuid4().hex
            key = uuid4().hex if class_name == "shift-swap" else ""
            method = ALMATY_METHODS[class_name]
            self.case.record(f"client sent {class_name} {request_id}")
            writer.write(
                harness.render_request(class_name, request_id, ALMATY_BUDGET_S, method=method, key=key)
            )
            status = (await harness.read_answer(reader)).status
            self.case.record(f"client got {status or 'no answer'} for {request_id}")
            self.counts[status] = self.counts.get(status, 0) + 1
            await asyncio.sleep(0.1)


async def bad_peer(case: harness.Case, number: int) -> None:
    """Send most of one request, in small chunks, then stop and stay."""
    head = (
        f"POST /clock-in HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {uuid4().hex}\r\n"
        f"X-Budget: {ALMATY_BUDGET_S:.3f}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    data = head.encode() + b"2\r\nab\r\n" * CHUNKS
    started_at = time.monotonic()
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(harness.HOST, case.node_port)
        writer.write(data)
        answer = await harness.read_answer(reader)
        after_s = time.monotonic() - started_at
        case.record(
            f"peer {number} sent {len(data)} bytes of an unfinished request, got "
            f"{answer.status or 'a close'} after {after_s:.2f} s"
        )
        writer.close()


async def play(case: harness.Case) -> int:
    """Serve sound clients while bad peers come once, all within a moment."""
    for group in range(SERVERS // CELL):
        case.start_cell([f"s{group * CELL + index}" for index in range(CELL)], ALMATY_WORK_MS, group=group)
    await case.start_node(ALMATY_ROTA, LIMITS)
    platform = Platform(case)
    counts: dict[int, int] = {}
    tasks = [asyncio.create_task(platform.watch())]
    tasks += [asyncio.create_task(Client(case, number, counts).run()) for number in range(CLIENTS)]
    await asyncio.sleep(QUIET_S)
    case.record(f"memory of the node before: {platform.memory_mb():.1f} MB")
    if case.trouble:
        tasks += [asyncio.create_task(bad_peer(case, number)) for number in range(PEERS)]
    await asyncio.sleep(AFTER_S)
    case.record(f"peak memory of the node: {platform.peak_mb:.1f} MB of {LIMITS['memory_mb']}")
    print(f"peak {platform.peak_mb:.1f} MB, killed: {platform.has_killed}, answers by status {counts}")
    case.record_server_events()
    for task in tasks:
        task.cancel()
    if not counts.get(200):
        raise harness.CannotRunError("no request was served")
    return harness.BROKEN if platform.has_killed or case.node.poll() is not None else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run(Path(__file__).resolve().parent, play))
