"""Stand-in for discovery: the registry of servers, and the agent of each node that passes it on."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, urlsplit

from soak.notifications import Notification
from soak.oracle import Oracle
from standins.endpoint_list import endpoint_entry, endpoint_list
from standins.listener import Listener
from standins.messages import receive_message, render_response
from standins.sockets import reset

LIST_DELAY_S = 0.3  # from a change to when agents have it
COUNTS_AFTER_S = 6.0  # what an agent has counts as notified then, where it can be reached
SLOW_PIECES = 8
SLOW_S = 0.4  # before the first piece of a slow answer, and again over all its pieces


class Status(Enum):
    """What discovery says of a server; the value is the one of the wire."""

    ACTIVE = "active"
    DRAINING = "leaving"
    REMOVED = "left"


@dataclass(frozen=True, slots=True)
class Entry:
    """A server as discovery lists it."""

    name: str
    address: str
    group: int
    status: Status
    started_at_wall_ms: int
    started_at_s: float | None  # the same on the soak's clock; None: up from the beginning

    def to_wire(self) -> dict[str, Any]:
        """The entry in an endpoint list."""
        return endpoint_entry(
            self.name,
            self.address,
            group=self.group,
            zone="z",
            machine_type="t",
            status=self.status.value,
            started_at_ms=self.started_at_wall_ms,
        )


class EndpointRegistry:
    """The true state of all servers: every change gets the next version."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, Entry] = {}
        self.changed_versions: dict[str, int] = {}  # of each server's last change
        self.agents: list[Agent] = []

    def change(self, entry: Entry) -> None:
        """A server starts, drains or is removed; agents have it a little later."""
        self.version += 1
        self.entries[entry.name] = entry
        self.changed_versions[entry.name] = self.version
        for agent in self.agents:
            agent.loop.call_later(LIST_DELAY_S, agent.learn, entry, self.version)

    def set_status(self, name: str, status: Status) -> None:
        """Change what is said of a server."""
        self.change(replace(self.entries[name], status=status))


class AgentMode(Enum):
    """How an agent treats calls; the value ends the name of the fault."""

    GOOD = "good"
    SILENT = "silent"
    DOWN = "down"
    SLOW = "slow"
    FRAMING = "framing"


UNREACHABLE_MODES = (AgentMode.SILENT, AgentMode.DOWN)


@dataclass(frozen=True, slots=True)
class PendingEntry:
    """An entry that an agent has learnt and not yet written."""

    entry: Entry
    learnt_at_s: float


@dataclass(frozen=True, slots=True)
class ListAnswer:
    """An answer to a call: its bytes, and whether its connection stays open behind it."""

    data: bytes
    keeps_open: bool


class Agent(Listener):
    """What one node calls: it has the list as learnt so far, and answers, fails or stays silent."""

    def __init__(self, registry: EndpointRegistry, oracle: Oracle, node: int) -> None:
        super().__init__()
        self.loop = asyncio.get_running_loop()
        self._node = node
        self._registry = registry
        self._oracle = oracle
        self._version = registry.version
        self._entries = dict(registry.entries)
        self._changed_versions = dict(registry.changed_versions)
        self._has_update = asyncio.Event()  # replaced by each update
        self._mode = AgentMode.GOOD
        self._reachable_from_s = 0.0
        self._pending: dict[str, PendingEntry] = {}
        self._answers = 0  # for the framing of each
        registry.agents.append(self)

    def complete_list(self) -> dict[str, Any]:
        """The complete list as the agent has it."""
        listed = [entry.to_wire() for entry in self._entries.values() if entry.status is not Status.REMOVED]
        return endpoint_list(self._version, listed, complete=True)

    def learn(self, entry: Entry, version: int) -> None:
        """Take a change; an agent that is down or silent learns nothing until its return."""
        if self._mode in UNREACHABLE_MODES:
            return
        self._version = max(self._version, version)
        self._entries[entry.name] = entry
        self._changed_versions[entry.name] = version
        self._pending[entry.name] = PendingEntry(entry, self.loop.time())
        self._has_update.set()
        self._has_update = asyncio.Event()

    def set_mode(self, mode: AgentMode) -> None:
        """Treat calls in another way from now on."""
        previous = self._mode
        self._mode = mode
        if mode is AgentMode.DOWN:
            self.reset_connections()
        if previous in UNREACHABLE_MODES and mode is not previous:
            self._catch_up()

    def _catch_up(self) -> None:
        """Learn what has changed while the agent could not be reached."""
        self._reachable_from_s = self.loop.time()
        for name, entry in self._registry.entries.items():
            if self._entries.get(name) != entry:
                self.learn(entry, self._registry.changed_versions[name])

    def count_overdue(self) -> None:
        """What the agent has had for long counts as notified, whether or not it was written."""
        if self._mode in UNREACHABLE_MODES:
            return
        now_s = self.loop.time()
        for pending in list(self._pending.values()):
            counts_from_s = max(pending.learnt_at_s, self._reachable_from_s) + COUNTS_AFTER_S
            if now_s >= counts_from_s:
                self._record_notified(pending.entry, counts_from_s)

    def _record_notified(self, entry: Entry, counts_from_s: float) -> None:
        is_active = entry.status is Status.ACTIVE
        self._oracle.notified(
            Notification(self._node, entry.name, is_active, entry.started_at_s, counts_from_s)
        )

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer call after call by the mode of the moment."""
        if self._mode is AgentMode.DOWN:
            reset(writer.transport)
            return
        # uvloop raises RuntimeError for a write once the node or a fault has ended the connection.
        with contextlib.suppress(RuntimeError):
            keeps_open = True
            while keeps_open:
                call = await receive_message(reader)
                keeps_open = await self._answer(writer, call.target)

    async def _answer(self, writer: asyncio.StreamWriter, target: str) -> bool:
        """Answer a call; whether the connection stays open."""
        query = parse_qs(urlsplit(target).query)
        index = int(query["index"][0]) if "index" in query else None
        if index is not None and index >= self._version:
            await self._wait_for_update(int(query.get("wait", ["0"])[0]) / 1000.0)
        if self._mode is AgentMode.SILENT:
            await self.loop.create_future()  # a call that comes in silence is never answered
        if index is None:
            written = list(self._entries.values())
            body = self.complete_list()
        else:
            written = self._changed_since(index)
            body = endpoint_list(self._version, [entry.to_wire() for entry in written], complete=False)
        answer = self._frame(json.dumps(body).encode())
        await self._write(writer, answer.data)
        self._record_written(writer, written)
        return answer.keeps_open

    async def _wait_for_update(self, limit_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._has_update.wait()

    def _changed_since(self, version: int) -> list[Entry]:
        versions = self._changed_versions
        return [entry for name, entry in self._entries.items() if versions.get(name, 0) > version]

    def _frame(self, body: bytes) -> ListAnswer:
        """An answer with a Content-Length; under the fault of framing, in turn without one and in chunks."""
        self._answers += 1
        if self._mode is not AgentMode.FRAMING:
            return ListAnswer(render_response(200, body, reason="OK"), keeps_open=True)
        if self._answers % 2:
            return ListAnswer(b"HTTP/1.1 200 OK\r\n\r\n" + body, keeps_open=False)
        chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return ListAnswer(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, keeps_open=True)

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if self._mode is not AgentMode.SLOW:
            writer.write(data)
            return
        await asyncio.sleep(SLOW_S)
        size = len(data) // SLOW_PIECES + 1
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await asyncio.sleep(SLOW_S / SLOW_PIECES)

    def _record_written(self, writer: asyncio.StreamWriter, entries: list[Entry]) -> None:
        if writer.is_closing():
            return
        for entry in entries:
            self._pending.pop(entry.name, None)
            self._record_notified(entry, self.loop.time())
