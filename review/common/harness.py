"""What the cases share: the node's process, the discovery agent, the servers' processes and a client.

The node is started with the command `run` of the deploy file, from the repository's root. All addresses are
loopback addresses with free ports; all files but the record lie in a temporary folder.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
SERVER = Path(__file__).with_name("server.py")
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_CASE_S = 105.0  # a script may run for 120 s
READY_WITHIN_S = 30.0  # the deploy page: clients come once every node is ready, or after 30 s

Json = dict[str, Any]


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """`record.txt`: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.time()

    def __call__(self, text: str, at: float | None = None) -> None:
        """Write a line with the seconds since the start, or those of a given time."""
        self._file.write(f"{(at or time.time()) - self._started_at:8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """Return a free port."""
    with socket.create_server((HOST, 0)) as listener:
        port: int = listener.getsockname()[1]
    return port


class Agent:
    """The discovery agent: it answers polls at once and watches when their wait is over."""

    def __init__(self) -> None:
        self.endpoints: list[Json] = []
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = listener.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                wait = head.split()[1].partition(b"wait=")[2]
                if wait:
                    await asyncio.sleep(int(wait) / 1000.0)
                document = {"index": 1, "snapshot": not wait, "endpoints": [] if wait else self.endpoints}
                body = json.dumps(document).encode()
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        writer.close()


class Case:
    """The processes of a case; `stop` ends them all."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.agent = Agent()
        self.node: subprocess.Popen[bytes]
        self.node_port = 0
        self.cells: list[subprocess.Popen[str]] = []
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)

    def start_cell(self, names: list[str], work_ms: Json, *options: str, group: int = 0) -> None:
        """Start the process of a cell of servers and list them."""
        command = [sys.executable, "-B", str(SERVER), "--names", ",".join(names), *options]
        command += ["--work-ms", json.dumps(work_ms), "--log", str(self.folder / "servers.log")]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.cells.append(process)
        assert process.stdout is not None
        ports = process.stdout.readline().split()
        if len(ports) < len(names):
            raise CannotRunError(f"the servers {names} did not start")
        for name, port in zip(names, ports, strict=True):
            entry = {"name": name, "address": f"{HOST}:{port}", "zone": "a", "type": "k", "group": group}
            self.agent.endpoints.append(entry | {"status": "active", "weight": 1.0, "since_ms": 0})
        self.record(f"servers {names} listen on ports {ports}, options {' '.join(options) or 'none'}")

    async def start_node(self, settings: Json, limits: Json) -> None:
        """Start the node with the deploy file's command, and wait until it is ready."""
        await self.agent.start()
        self.node_port = free_port()
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.node_port}",
            "discovery": f"{HOST}:{self.agent.port}",
            "seed": "8c1f30d27a5be964",
            "limits": limits,
            "known": {"index": 0, "snapshot": True, "endpoints": []},
            "settings": settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environment = os.environ | {
            "NODE_NAME": "n0",
            "NODE_LISTEN": str(config["listen"]),
            "NODE_DISCOVERY": str(config["discovery"]),
            "NODE_CONFIG": str(path),
        }
        self._spawn_node(deploy["run"], environment)
        deadline = time.monotonic() + READY_WITHIN_S
        while not await self._is_ready():
            if time.monotonic() > deadline or self.node.poll() is not None:
                raise CannotRunError(f"the node did not get ready: {self.node_log()[-500:]}")
            await asyncio.sleep(0.05)
        self.record(f"the node is ready, process {self.node.pid}, limits {limits}")

    def _spawn_node(self, command: str, environment: dict[str, str]) -> None:
        with (self.folder / "node.log").open("wb") as log:
            self.node = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def _is_ready(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(HOST, self.node_port)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return b" 200 " in head
        return False

    def node_log(self) -> str:
        """Return what the node has logged."""
        return (self.folder / "node.log").read_text(encoding="utf-8", errors="replace")

    def server_events(self) -> list[Json]:
        """Return the events of all servers, in the order of their times."""
        path = self.folder / "servers.log"
        lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
        return sorted((json.loads(line) for line in lines), key=lambda event: event["at"])

    def record_server_events(self) -> None:
        """Copy the events of all servers to the record."""
        for event in self.server_events():
            self.record(f"{event['server']} {event['event']} {event['id']}", event["at"])

    def stop(self) -> None:
        """End all processes of the case."""
        processes: list[subprocess.Popen[Any]] = [*self.cells]
        if hasattr(self, "node"):
            processes.append(self.node)
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        self._temporary.cleanup()


class Answer:
    """An answer that a client got.

    Attributes:
        status: The status; 0 if the connection ended without a whole answer.
        body: The body.
    """

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer; its status is 0 if the connection ends first."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        length = head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]
        return Answer(int(head.split()[1]), await reader.readexactly(int(length)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(0, b"")


def render_request(
    class_name: str, request_id: str, budget_s: float, *, method: str = "POST", key: str = ""
) -> bytes:
    """Render a request of a client, as the protocol page shows it."""
    lines = [
        f"{method} /{class_name} HTTP/1.1",
        "Host: api.internal",
        f"X-Call-Id: {request_id}",
        f"X-Budget: {budget_s:.3f}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method != "GET":
        lines.append("Content-Length: 0")
    return "\r\n".join([*lines, "", ""]).encode()


def run(folder: Path, play: Callable[[Case], Awaitable[int]]) -> int:
    """Play a case, end its processes, and return its exit status.

    An error of the case, its time limit and SIGTERM all count as a case that could not run.
    """
    signal.signal(signal.SIGTERM, _on_sigterm)
    case = Case(folder)
    try:
        status = asyncio.run(_play(case, play))
    except Exception as problem:
        case.record(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
        status = COULD_NOT_RUN
    finally:
        case.stop()
    return status


def _on_sigterm(_number: int, _frame: object) -> None:
    sys.exit(COULD_NOT_RUN)


async def _play(case: Case, play: Callable[[Case], Awaitable[int]]) -> int:
    loop = asyncio.get_running_loop()
    # Connections that are still open at the end are cut; that is no error of the case.
    loop.set_exception_handler(lambda _loop, _context: None)
    async with asyncio.timeout(MAX_CASE_S):
        return await play(case)
