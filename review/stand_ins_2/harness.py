"""Stand-ins and a driver for the cases of the second review: clients, servers, discovery, the node's process.

Only the standard library is used. Every address is a loopback address, and ports are free ones. The node runs
as a separate process, started with the command `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# The script `run.sh` makes 1 of BROKEN, and 2 of every other status, such as that of an uncaught exception.
HELD, BROKEN, NOT_RUN = 0, 10, 2
LINGER_RESET = struct.pack("ii", 1, 0)


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes `record.txt`, one line an event, with the seconds since the case began."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began_s:9.4f} {text}\n")
        self._file.flush()


@dataclass(slots=True)
class Message:
    """A request or response, with lower-case header names."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split()[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose body has a Content-Length; raises at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")[:-4]
    start, *lines = head.split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start, headers, body)


def response(status: int, body: bytes, headers: str = "") -> bytes:
    """Render a response; `headers` are whole lines."""
    return f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


def reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Make the close of this connection a reset."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


END_ERRORS = (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError)


class Listener:
    """A listener on a free loopback port."""

    def __init__(self, case: Case, name: str) -> None:
        self.case = case
        self.name = name
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen, on the same port as before if there was one."""
        self.server = await asyncio.start_server(self._accept, HOST, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (*END_ERRORS, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def close(self, *, reset: bool = False) -> None:
        """Stop listening and end all connections, with resets if wanted."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            if reset:
                reset_on_close(writer)
            writer.close()


class Agent(Listener):
    """A discovery agent that answers at once with what it has, and holds a watch until there is more."""

    def __init__(self, case: Case, name: str = "agent") -> None:
        super().__init__(case, name)
        self.index = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}
        self.silent = False  # if set, calls are read and not answered until it is cleared
        self.delay_s = 0.0  # the time from the answer's making to its writing, for a slow discovery
        self.told: dict[tuple[str, str], float] = {}  # when a name and status was first written
        self.wake = asyncio.Event()

    def set(self, *entries: dict[str, Any], quiet: bool = False) -> None:
        """Change entries; the change is told to open watches."""
        self.index += 1
        for entry in entries:
            self.entries[entry["name"]] = entry
            self.changed[entry["name"]] = self.index
            if not quiet:
                self.case.record.write(
                    f"{self.name}: has {entry['name']} {entry['status']} index={self.index}"
                )
        self.notify()

    def notify(self) -> None:
        """Let waiting calls look again."""
        self.wake.set()
        self.wake = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        listed = [entry for entry in self.entries.values() if entry["status"] != "left"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls."""
        while True:
            call = await read_message(reader)
            query = parse_qs(urlsplit(call.target).query)
            if "index" not in query:
                while self.silent:
                    await self.wake.wait()
                await self.answer(writer, self.whole())
                continue
            index = int(query["index"][0])
            end_s = time.monotonic() + int(query.get("wait", ["0"])[0]) / 1000.0
            while self.silent or (index >= self.index and time.monotonic() < end_s):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(None if self.silent else max(0.0, end_s - time.monotonic())):
                        await self.wake.wait()
            changes = [self.entries[name] for name, at in self.changed.items() if at > index]
            await self.answer(writer, {"index": self.index, "snapshot": False, "endpoints": changes})

    async def answer(self, writer: asyncio.StreamWriter, body: dict[str, Any]) -> None:
        """Write an answer as it was made, `delay_s` later."""
        data = response(200, json.dumps(body).encode())
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if writer.is_closing():
            return
        writer.write(data)
        for entry in body["endpoints"]:
            self.told.setdefault((entry["name"], entry["status"]), time.monotonic())
        if body["endpoints"]:
            told = " ".join(f"{entry['name']}={entry['status']}" for entry in body["endpoints"])
            self.case.record.write(f"{self.name}: wrote index={body['index']} {told}")


@dataclass(slots=True)
class Arrival:
    """A request that has arrived whole at a server."""

    server: str
    request_id: str
    target: str
    at_s: float
    key: str | None
    body: bytes = b""
    answer: bytes | None = None


Answer = Callable[["Server", Arrival, asyncio.StreamWriter], Awaitable[bool]]


class Server(Listener):
    """A server with one core: it runs one request at a time, each for `work_s`."""

    def __init__(
        self, case: Case, name: str, *, group: int = 0, zone: str = "a", work_s: float = 0.02
    ) -> None:
        super().__init__(case, name)
        self.group = group
        self.zone = zone
        self.work_s = work_s
        self.since_ms = 0
        self.arrivals: list[Arrival] = []
        self.core = asyncio.Lock()
        self.answer: Answer | None = None  # replaces the usual answer; returns whether the connection stays

    def entry(self, status: str = "active") -> dict[str, Any]:
        """The entry in discovery's list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "m",
            "group": self.group,
            "status": status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run the requests of one connection."""
        while True:
            message = await read_message(reader)
            arrival = Arrival(
                self.name,
                message.headers.get("x-call-id", ""),
                message.target,
                time.monotonic(),
                message.headers.get("idempotency-key"),
                message.body,
            )
            self.arrivals.append(arrival)
            self.case.arrivals.append(arrival)
            port = writer.get_extra_info("peername")[1]
            budget = message.headers.get("x-budget")
            self.case.record.write(f"{self.name}: run {arrival.request_id} from={port} budget={budget}")
            if self.answer is not None:
                if not await self.answer(self, arrival, writer):
                    return
                continue
            await self.work()
            await self.reply(arrival, writer)

    async def work(self) -> None:
        """Use the core for one request."""
        async with self.core:
            await asyncio.sleep(self.work_s)

    async def reply(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        """Write the answer 200 with a body that is unique to the request."""
        arrival.answer = f"{arrival.request_id} by {self.name}".encode()
        writer.write(response(200, arrival.answer))
        await writer.drain()


@dataclass(slots=True)
class Result:
    """What a client saw of a request; `status` is None if no whole answer came."""

    request_id: str
    class_name: str
    sent_at_s: float
    budget_s: float
    status: int | None = None
    body: bytes = b""
    ended_at_s: float = 0.0
    problem: str = ""


class Client:
    """A client's connection to a node."""

    def __init__(self, case: Case, node: Node) -> None:
        self.case = case
        self.node = node
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> Client:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.node.port, limit=1 << 20)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    def write(self, class_name: str, budget_s: float, body: bytes = b"", extra: str = "") -> Result:
        """Write one request."""
        result = Result(self.case.new_id(), class_name, time.monotonic(), budget_s)
        self.writer.write(self.case.render(result.request_id, class_name, budget_s, body, extra))
        result.sent_at_s = time.monotonic()
        self.case.results.append(result)
        self.case.record.write(f"client: sent {result.request_id} {class_name} budget={budget_s:.3f}")
        return result

    async def read(self, result: Result, limit_s: float | None = None) -> Result:
        """Read the answer to a request."""
        try:
            async with asyncio.timeout(result.budget_s + 1.0 if limit_s is None else limit_s):
                message = await read_message(self.reader)
            result.status, result.body = message.status, message.body
        except (*END_ERRORS, TimeoutError) as problem:
            result.problem = type(problem).__name__
        result.ended_at_s = time.monotonic()
        took_ms = (result.ended_at_s - result.sent_at_s) * 1000.0
        text = f"{result.status} {result.body[:60]!r}" if result.status else f"no answer: {result.problem}"
        self.case.record.write(f"client: {result.request_id} got {text} after_ms={took_ms:.1f}")
        return result

    async def call(self, class_name: str, budget_s: float, body: bytes = b"", extra: str = "") -> Result:
        """Send one request and read its answer."""
        return await self.read(self.write(class_name, budget_s, body, extra))

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Node:
    """The process of a node."""

    def __init__(
        self, case: Case, name: str, agent: Agent, settings: dict[str, Any], limits: dict[str, Any]
    ) -> None:
        self.case = case
        self.name = name
        self.agent = agent
        self.settings = settings
        self.limits = limits
        self.known: dict[str, Any] | None = None
        self.port = 0
        self.process: asyncio.subprocess.Process | None = None
        self.started_at_s = 0.0  # of the last process
        self.config = case.folder / f"{name}.json"
        self.log_path = case.folder / f"{name}.log"

    def write_config(self) -> None:
        """Replace the configuration file."""
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": self.agent.address,
            "seed": os.urandom(8).hex(),
            "limits": self.limits,
            "known": self.known or self.agent.whole(),
            "settings": self.settings,
        }
        temporary = self.config.with_suffix(".new")
        temporary.write_text(json.dumps(config))
        temporary.replace(self.config)

    async def start(self, limit_s: float = 10.0) -> None:
        """Start the process and wait until it is ready."""
        if not self.port:
            with socket.create_server((HOST, 0)) as listener:
                self.port = listener.getsockname()[1]
        self.write_config()
        folder = self.case.folder / f"{self.name}.tmp"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir()
        environment = {name: value for name, value in os.environ.items() if not name.startswith("NODE_")}
        environment |= {
            "NODE_CONFIG": str(self.config),
            "NODE_NAME": self.name,
            "NODE_LISTEN": f"{HOST}:{self.port}",
            "NODE_DISCOVERY": self.agent.address,
            "TMPDIR": str(folder),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self.case.run_command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.started_at_s = time.monotonic()
        self.case.processes.append(self.process)
        self.case.record.write(f"{self.name}: started, process {self.process.pid}")
        end_s = time.monotonic() + limit_s
        while not await self.ready():
            if self.process.returncode is not None or time.monotonic() > end_s:
                raise CaseError(f"{self.name} did not become ready")
            await asyncio.sleep(0.03)
        self.case.record.write(f"{self.name}: ready")

    async def ready(self) -> bool:
        """Return whether `/-/ready` answers 200."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            return (await asyncio.wait_for(read_message(reader), 1.0)).status == 200
        except (*END_ERRORS, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        self.case.record.write(f"{self.name}: {number.name}")
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def resident_mb(self) -> float:
        """Return the resident memory, 0 if the process has ended."""
        if self.process is None:
            return 0.0
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * resource.getpagesize() / 1048576


@dataclass(slots=True)
class RequestClass:
    """A request class of the settings."""

    name: str
    semantics: str
    give_up_ms: float = 210.0
    objective_ms: float = 86.0
    importance: float = 1.0
    dedup_scope: str = "cell"
    window_ms: float = 1500.0


DEFAULT_CLASSES = (
    RequestClass("rota-view", "retryable"),
    RequestClass("shift-swap", "dedup", importance=10.0),
    RequestClass("clock-in", "fragile", importance=3.0),
)


@dataclass(slots=True)
class Case:
    """One run of a case: its processes, its folder and its record."""

    record_path: Path
    record: Record = field(init=False)
    trouble: bool = field(init=False)
    folder: Path = field(init=False)
    run_command: str = field(init=False)
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    results: list[Result] = field(default_factory=list)
    listeners: list[Listener] = field(default_factory=list)
    servers: dict[str, Server] = field(default_factory=dict)
    classes: dict[str, RequestClass] = field(default_factory=dict)
    last_id: int = 0

    def __post_init__(self) -> None:
        """Read the deploy file and open the record."""
        self.record = Record(self.record_path)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        self.run_command = deploy["run"]
        self.classes = {each.name: each for each in DEFAULT_CLASSES}

    def new_id(self) -> str:
        """Return a fresh id for a request."""
        self.last_id += 1
        return f"{os.getpid():08x}-{self.last_id:08x}"

    def render(self, request_id: str, class_name: str, budget_s: float, body: bytes, extra: str) -> bytes:
        """Render a client's request."""
        request_class = self.classes[class_name]
        method = "GET" if request_class.semantics == "retryable" else "POST"
        lines = f"{method} /{class_name}/x?y=1 HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {request_id}\r\n"
        lines += f"X-Budget: {budget_s:.3f}\r\nX-Caller: karaganda-mining\r\n{extra}"
        if request_class.semantics == "dedup" and "Idempotency-Key" not in extra:
            lines += f"Idempotency-Key: k{request_id}\r\n"
        if method == "POST":
            lines += f"Content-Length: {len(body)}\r\n"
        return f"{lines}\r\n".encode() + (body if method == "POST" else b"")

    def settings(self, *, siblings: int = 1, number: int = 0, **changes: Any) -> dict[str, Any]:
        """Settings like those of the deployment in the brief; `changes` replace whole groups of them."""
        classes = [
            {
                "name": each.name,
                "semantics": each.semantics,
                "give_up_ms": each.give_up_ms,
                "objective_ms": each.objective_ms,
                "importance": each.importance,
                "dedup_scope": each.dedup_scope if each.semantics == "dedup" else "all",
                "window_ms": each.window_ms,
                "late_worth": 0.0,
                "stream": False,
            }
            for each in self.classes.values()
        ]
        permissions = {
            "connect_timeout_ms": 50.0,
            "keepalive_ms": 60000.0,
            "max_attempts": 5,
            "max_retry_after_ms": 1000.0,
            "may_cancel": True,
            "parallel_tries": False,
            "probes": True,
            "retry_after": True,
            "streams_per_conn": 100,
        }
        rules = {
            "answer_slack_ms": 5.0,
            "ask_every_ms": 10000.0,
            "overload_factor": 2.5,
            "overload_for_ms": 1500.0,
            "ramp_time_ms": 19000.0,
            "start_capacity": 0.16,
            "stop_sending_within_ms": 1000.0,
        }
        permissions |= changes.pop("permissions", {})
        rules |= changes.pop("rules", {})
        return {
            "classes": classes,
            "clients": {"marks_retry": False},
            "dcs": ["a", "b"],
            "family": "chain",
            "family_info": {"passes_deadline": False},
            "host_types": ["m"],
            "locality": "a",
            "membership_mode": "pushed",
            "my_number": number,
            "over_share_worth": 0.2,
            "permissions": permissions,
            "quantum_ms": 1.0,
            "rules": rules,
            "siblings": siblings,
            "stages": ["front", "back"],
            "stats": {"fields": ["inflight", "queue", "util"], "how": "piggyback"},
            "tenants": [{"fraction": 1.0, "name": "karaganda-mining", "quota_per_s": 1000.0}],
            "tier": 0,
            "weight_kind": "silent",
            "worth_by": "work",
        } | changes

    async def agent(self, name: str = "agent") -> Agent:
        """Start an agent."""
        agent = Agent(self, name)
        self.listeners.append(agent)
        await agent.start()
        return agent

    async def server(self, name: str, **options: Any) -> Server:
        """Start a server."""
        server = Server(self, name, **options)
        self.listeners.append(server)
        self.servers[name] = server
        await server.start()
        return server

    async def node(self, name: str, agent: Agent, settings: dict[str, Any], **limits: Any) -> Node:
        """Start a node and wait until it is ready."""
        node = Node(self, name, agent, settings, {"cores": 1.0, "memory_mb": 192, "sockets": 512} | limits)
        await node.start()
        return node

    async def end(self) -> None:
        """End all processes and listeners, and remove the folder."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            await process.wait()
        for listener in self.listeners:
            listener.close()
        for log in sorted(self.folder.glob("*.log")):
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines()[-40:]:
                self.record.write(f"log of {log.stem}: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def main(record_path: Path, play: Callable[[Case], Coroutine[Any, Any, str | None]]) -> None:
    """Play a case; `play` returns what broke the rule, or None. Exits with HELD, BROKEN or NOT_RUN."""

    async def run() -> int:
        case = Case(record_path)
        try:
            async with asyncio.timeout(110.0):
                broken = await play(case)
        except (CaseError, OSError, TimeoutError) as problem:
            case.record.write(f"the case could not run: {problem!r}")
            print(f"the case could not run: {problem!r}")
            return NOT_RUN
        finally:
            await case.end()
        verdict = f"rule broken: {broken}" if broken else "rule held"
        case.record.write(verdict)
        print(verdict)
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(run()))
