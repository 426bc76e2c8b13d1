"""Measures a real node between a client and servers, all on loopback.

Client, servers and discovery are stand-ins in this process. All servers share one listening socket: the node
knows them by their names. What the node adds to a call is taken against the time that the servers work.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import uvloop

HOST = "127.0.0.1"
WORK_S = 0.010  # a server's, on one request
DEADLINE_MS = 1000.0
READY_S, END_S = 20.0, 5.0
WARM_UP_S = 2.0
MOST_FAILED = 0.01  # of the calls; more, and the figures tell nothing
MOST_LATE_S = 0.02  # by which this process may be late at the median
SOCKETS = 2048
KB = 1024.0
LINK_ENDS = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)


class FleetFailed(Exception):
    """A run that gives no figure; the text says in one line why."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """What is measured."""

    servers: int
    rate: float  # calls a second
    seconds: float
    root: Path  # of the checkout whose node runs


@dataclass(frozen=True, slots=True)
class Figures:
    """What a run gave."""

    servers: int
    calls: int
    failed: int
    cpu_us_a_call: float  # processor time of the node, at rest too
    added_p50_ms: float  # over the time that the servers work
    added_p99_ms: float
    peak_mb: float
    list_kb: float  # of lists from discovery
    worst_late_ms: float  # of this process, for a call


class Standins:
    """Servers and discovery."""

    def __init__(self, servers: int) -> None:
        self._servers = servers
        self.list_bytes = 0
        self.port = self.discovery_port = 0

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, 0, backlog=SOCKETS)
        self.port = server.sockets[0].getsockname()[1]
        discovery = await asyncio.start_server(self._tell, HOST, 0)
        self.discovery_port = discovery.sockets[0].getsockname()[1]
        endpoints = [
            {
                "name": f"s{n}",
                "address": f"{HOST}:{self.port}",
                "zone": f"z{n % 5}",
                "type": "k",
                "group": n % 7,
                "status": "active",
                "weight": 1.0,
                "since_ms": 0,
            }
            for n in range(self._servers)
        ]
        self._whole = json.dumps({"index": 1, "snapshot": True, "endpoints": endpoints}).encode()
        self._none = json.dumps({"index": 1, "snapshot": False, "endpoints": []}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*LINK_ENDS):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(WORK_S)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        writer.close()

    async def _tell(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*LINK_ENDS):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                wait = head.partition(b"wait=")[2].split()[:1]
                if wait:
                    await asyncio.sleep(int(wait[0]) / 1000.0)
                body = self._none if wait else self._whole
                self.list_bytes += len(body)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()


def config(fleet: Fleet, port: int, discovery_port: int) -> str:
    """The node's configuration."""
    return json.dumps(
        {
            "name": "n",
            "listen": f"{HOST}:{port}",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": "1",
            "limits": {"sockets": SOCKETS},
            "settings": {
                "classes": [
                    {
                        "name": "read",
                        "objective_ms": DEADLINE_MS / 2.0,
                        "give_up_ms": DEADLINE_MS,
                        "semantics": "retryable",
                    }
                ],
                "siblings": 1,
                "my_number": 0,
                "tier": 0,
                "membership_mode": "pushed",
                "permissions": {"max_attempts": 3, "connect_timeout_ms": 250.0},
                "rules": {
                    "ask_every_ms": 1000.0,
                    "stop_sending_within_ms": 1000.0,
                    "start_capacity": 0.2,
                    "ramp_time_ms": 10_000.0,
                    "overload_factor": 2.5,
                    "overload_for_ms": 1500.0,
                },
            },
        }
    )


class Client:
    """Sends calls at a steady rate, whatever becomes of earlier ones."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.took_s: list[float] = []
        self.late_s: list[float] = []
        self.failed = 0

    async def ask(self, number: int) -> None:
        """One call."""
        began_s = time.perf_counter()
        try:
            link = self._idle.pop() if self._idle else await asyncio.open_connection(HOST, self._port)
            reader, writer = link
            writer.write(
                f"GET /read HTTP/1.1\r\nHost: b\r\nX-Call-Id: c{number}\r\n"
                f"X-Budget: {DEADLINE_MS / 1000.0}\r\n\r\n".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length:")[2].split()[0])
            await reader.readexactly(length)
            ok = head.startswith(b"HTTP/1.1 200")
        except (OSError, asyncio.IncompleteReadError):
            ok = False
        else:
            self._idle.append(link)
        self.failed += not ok
        self.took_s.append(time.perf_counter() - began_s)

    async def run(self, rate: float, seconds: float) -> None:
        """Calls for so long."""
        loop = asyncio.get_running_loop()
        began_s, calls = loop.time(), []
        for number in range(int(rate * seconds)):
            due_s = began_s + number / rate
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            self.late_s.append(loop.time() - due_s)
            calls.append(loop.create_task(self.ask(number)))
        await asyncio.gather(*calls)


def processor_s(pid: int) -> float:
    """The processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_mb(pid: int) -> float:
    """The most memory that a process has held."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / KB


async def wait_until_ready(port: int, node: subprocess.Popen[bytes]) -> None:
    """Return once the node says that it is ready; raises `FleetFailed`."""
    deadline_s = time.monotonic() + READY_S
    while time.monotonic() < deadline_s:
        if node.poll() is not None:
            raise FleetFailed(f"the node ended with status {node.returncode}")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            if head.startswith(b"HTTP/1.1 200"):
                return
        await asyncio.sleep(0.05)
    raise FleetFailed(f"the node was not ready within {READY_S:.0f} s")


def free_port() -> int:
    """A port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


async def play(fleet: Fleet, folder: Path) -> Figures:
    """Measure one fleet; raises `FleetFailed`."""
    standins, port = Standins(fleet.servers), free_port()
    await standins.start()
    path = folder / "config.json"
    path.write_text(config(fleet, port, standins.discovery_port))
    node = subprocess.Popen(
        [sys.executable, "-B", "-m", "workspond"],
        cwd=fleet.root,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        env=dict(os.environ, NODE_CONFIG=str(path)),
    )
    try:
        await wait_until_ready(port, node)
        await Client(port).run(fleet.rate, WARM_UP_S)
        client, before_s = Client(port), processor_s(node.pid)
        await client.run(fleet.rate, fleet.seconds)
        spent_s, most_mb = processor_s(node.pid) - before_s, peak_mb(node.pid)
    finally:
        node.terminate()
        try:
            await asyncio.to_thread(node.wait, END_S)
        except subprocess.TimeoutExpired:
            node.kill()
            node.wait()
    calls, late_s = len(client.took_s), sorted(client.late_s)
    if client.failed > MOST_FAILED * calls:
        raise FleetFailed(f"{client.failed} of {calls} calls failed: no figure")
    if late_s[len(late_s) // 2] > MOST_LATE_S:
        raise FleetFailed("the bench itself ran late: no figure")
    added_ms = sorted((took_s - WORK_S) * 1000.0 for took_s in client.took_s)
    return Figures(
        fleet.servers,
        calls,
        client.failed,
        spent_s / calls * 1e6,
        added_ms[calls // 2],
        added_ms[int(0.99 * calls)],
        most_mb,
        standins.list_bytes / KB,
        late_s[-1] * 1000.0,
    )


def measure(fleet: Fleet) -> Figures:
    """Measure one fleet; raises `FleetFailed`."""
    with tempfile.TemporaryDirectory(prefix="bench-") as name:
        return uvloop.run(play(fleet, Path(name)))
