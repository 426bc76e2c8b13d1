"""Stand-in for discovery: the truth about servers, and the agent of each node that passes it on."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from urllib.parse import parse_qs, urlsplit

from soak.oracle import Oracle

LIST_DELAY_S = 0.3  # from a change to when agents have it
COUNTS_AFTER_S = 6.0  # what an agent has counts as told then, where it can be reached
PIECES, SLOW_S = 8, 0.4


class Status(Enum):
    """What discovery says of a server."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Entry:
    """A server as discovery lists it."""

    name: str
    address: str
    group: int
    status: Status
    since_ms: int
    started_s: float | None  # the same on the soak's clock; None: up from the beginning

    def to_json(self) -> dict[str, object]:
        """The entry on the wire."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "z",
            "type": "t",
            "group": self.group,
            "status": self.status.value,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }


class Registry:
    """The truth: every change gets the next version."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, Entry] = {}
        self.changed: dict[str, int] = {}  # the version of each one's last change
        self.agents: list[Agent] = []

    def change(self, entry: Entry) -> None:
        """A server starts, drains or leaves; agents have it a little later."""
        self.version += 1
        self.entries[entry.name] = entry
        self.changed[entry.name] = self.version
        for agent in self.agents:
            agent.loop.call_later(LIST_DELAY_S, agent.learn, entry, self.version)

    def set_status(self, name: str, status: Status) -> None:
        """Change what is said of a server."""
        self.change(replace(self.entries[name], status=status))


class AgentMode(Enum):
    """How an agent treats calls."""

    GOOD = "good"
    SILENT = "silent"
    DOWN = "down"
    SLOW = "slow"
    FRAMING = "framing"


class Agent:
    """What one node calls: it holds what it has learnt, and answers, fails or stays silent."""

    def __init__(self, registry: Registry, oracle: Oracle, node: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.node, self.address = node, ""
        self._registry, self._oracle = registry, oracle
        self._version = registry.version
        self._entries = dict(registry.entries)
        self._changed: dict[str, int] = dict(registry.changed)
        self._news = asyncio.Event()
        self._mode = AgentMode.GOOD
        self._reachable_s = 0.0  # from when on it could be reached
        self._pending: dict[str, tuple[Entry, float]] = {}  # learnt and not yet written, since when
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server
        self._counted = 0  # answers, for the framing of each
        self.calls = 0
        registry.agents.append(self)

    async def start(self) -> None:
        """Listen on a port of its own."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def snapshot(self) -> dict[str, object]:
        """The whole list as the agent has it."""
        listed = [entry.to_json() for entry in self._entries.values() if entry.status is not Status.LEFT]
        return {"index": self._version, "snapshot": True, "endpoints": listed}

    def learn(self, entry: Entry, version: int) -> None:
        """Take a change; while the agent is down it learns nothing until its return."""
        if self._mode in (AgentMode.SILENT, AgentMode.DOWN):
            return
        self._version = max(self._version, version)
        self._entries[entry.name], self._changed[entry.name] = entry, version
        self._pending[entry.name] = entry, self.loop.time()
        self._news.set()
        self._news = asyncio.Event()

    def set_mode(self, mode: AgentMode) -> None:
        """Treat calls in another way from now on."""
        was, self._mode = self._mode, mode
        if mode is AgentMode.DOWN:
            self.reset_calls()
        if was in (AgentMode.SILENT, AgentMode.DOWN) and mode is not was:
            self._reachable_s = self.loop.time()
            for name, entry in self._registry.entries.items():
                if self._entries.get(name) != entry:
                    self.learn(entry, self._registry.changed[name])

    def count_overdue(self) -> None:
        """What has been held for long counts as told, whether or not it was written."""
        if self._mode in (AgentMode.SILENT, AgentMode.DOWN):
            return
        now_s = self.loop.time()
        for entry, since_s in list(self._pending.values()):
            counts_s = max(since_s, self._reachable_s) + COUNTS_AFTER_S
            if now_s >= counts_s:
                self._tell(entry, counts_s)

    def _tell(self, entry: Entry, counts_s: float) -> None:
        away = entry.status is not Status.ACTIVE
        self._oracle.told(self.node, entry.name, away, entry.started_s, counts_s)

    def reset_calls(self) -> None:
        """Reset every connection."""
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._mode is AgentMode.DOWN:
            return reset(writer)
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.calls += 1
                if not await self._answer(writer, head.split()[1]):
                    return None
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, RuntimeError):
            pass  # the node or a fault has ended the connection; uvloop raises RuntimeError for a write then
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, target: str) -> bool:
        """Answer a call; whether the connection stays open."""
        query = parse_qs(urlsplit(target).query)
        index = int(query["index"][0]) if "index" in query else None
        if index is not None and index >= self._version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query.get("wait", ["0"])[0]) / 1000.0):
                    await self._news.wait()
        while self._mode is AgentMode.SILENT:
            await asyncio.sleep(3600.0)
        if index is None:
            obj, told = self.snapshot(), list(self._entries.values())
        else:
            told = [entry for name, entry in self._entries.items() if self._changed.get(name, 0) > index]
            obj = {
                "index": self._version,
                "snapshot": False,
                "endpoints": [entry.to_json() for entry in told],
            }
        body = json.dumps(obj).encode()
        return await self._write(writer, body, told)

    async def _write(self, writer: asyncio.StreamWriter, body: bytes, told: list[Entry]) -> bool:
        slow, framing = self._mode is AgentMode.SLOW, self._mode is AgentMode.FRAMING
        self._counted += 1
        keep = True
        if framing and self._counted % 2:
            data, keep = b"HTTP/1.1 200 OK\r\n\r\n" + body, False
        elif framing:
            chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
            data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk
        else:
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        if slow:
            await asyncio.sleep(SLOW_S)
            size = len(data) // PIECES + 1
            for start in range(0, len(data), size):
                writer.write(data[start : start + size])
                await asyncio.sleep(SLOW_S / PIECES)
        else:
            writer.write(data)
        if not writer.is_closing():
            for entry in told:
                self._pending.pop(entry.name, None)
                self._tell(entry, self.loop.time())
        return keep


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, unless it is closing already."""
    if writer.transport.is_closing():
        return
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


AgentFactory = Callable[[int], Agent]
