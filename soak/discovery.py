"""Simulated discovery: the registry of servers, and the agents that serve it to the nodes."""

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

PROPAGATION_DELAY_S = 0.3  # time from a change in the registry to its arrival at the agents
# A node must poll a reachable agent within this time. It counts as notified of every change that the agent
# has had for longer.
NOTIFICATION_LIMIT_S = 6.0
LATE_ANSWER_DELAY_S = 1.5  # time from the making of an answer to its writing
SLOW_ANSWER_PIECES = 8
SLOW_ANSWER_DELAY_S = 0.4  # delay before the first piece; the pauses between the pieces add up to the same


class Status(Enum):
    """The status of a server in the endpoint list; the value is the one on the wire."""

    ACTIVE = "active"
    DRAINING = "leaving"
    REMOVED = "left"


@dataclass(frozen=True, slots=True)
class Entry:
    """A server's entry in the registry."""

    name: str
    address: str
    group: int
    status: Status
    started_at_wall_ms: int
    started_at_s: float | None  # on the soak's monotonic clock; None if running since the start of the soak

    def to_wire(self) -> dict[str, Any]:
        """Return the entry in the format of the endpoint list."""
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
    """The actual state of all servers; every change increments the version."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, Entry] = {}
        self.changed_versions: dict[str, int] = {}  # version of the last change, by server
        self.agents: list[Agent] = []

    def change(self, entry: Entry) -> None:
        """Record that a server starts, drains or is removed; agents receive it after a delay."""
        self.version += 1
        self.entries[entry.name] = entry
        self.changed_versions[entry.name] = self.version
        for agent in self.agents:
            agent.loop.call_later(PROPAGATION_DELAY_S, agent.apply_change, entry, self.version)

    def set_status(self, name: str, status: Status) -> None:
        """Change the status of a server."""
        self.change(replace(self.entries[name], status=status))


class AgentMode(Enum):
    """How an agent responds; if an agent's fault sets it, the value is its name without the prefix."""

    NORMAL = "normal"
    SILENT = "silent"
    DOWN = "down"
    SLOW = "slow"
    FRAMING = "framing"
    LATE = "late"


UNREACHABLE_MODES = (AgentMode.SILENT, AgentMode.DOWN)


@dataclass(frozen=True, slots=True)
class PendingEntry:
    """An entry that an agent has received and not yet sent to its node."""

    entry: Entry
    received_at_s: float


@dataclass(frozen=True, slots=True)
class ListAnswer:
    """An answer to a node's request, and whether the connection stays open after it."""

    data: bytes
    keeps_open: bool


class Agent(Listener):
    """A discovery agent of one node; it serves its copy of the list, or fails according to its mode."""

    def __init__(self, registry: EndpointRegistry, oracle: Oracle, node: int) -> None:
        super().__init__()
        self.loop = asyncio.get_running_loop()
        self._node = node
        self._registry = registry
        self._oracle = oracle
        self._version = registry.version
        self._entries = dict(registry.entries)
        self._changed_versions = dict(registry.changed_versions)
        self._has_update = asyncio.Event()  # set, and replaced by a new event, at each update
        self._mode = AgentMode.NORMAL
        self._reachable_from_s = 0.0
        self._pending: dict[str, PendingEntry] = {}
        self._awaits_first_list = False  # whether the node's process has not been sent any list yet
        self._answers = 0  # alternates the framing of answers
        registry.agents.append(self)

    def complete_list(self) -> dict[str, Any]:
        """Return the agent's copy of the complete list."""
        listed = [entry.to_wire() for entry in self._entries.values() if entry.status is not Status.REMOVED]
        return endpoint_list(self._version, listed, complete=True)

    def apply_change(self, entry: Entry, version: int) -> None:
        """Apply a change; an agent that is down or silent ignores it and catches up when reachable again."""
        if self._mode in UNREACHABLE_MODES:
            return
        self._version = max(self._version, version)
        self._entries[entry.name] = entry
        self._changed_versions[entry.name] = version
        self._pending[entry.name] = PendingEntry(entry, self.loop.time())
        self._has_update.set()
        self._has_update = asyncio.Event()

    def set_mode(self, mode: AgentMode) -> None:
        """Change how the agent responds from now on."""
        previous = self._mode
        self._mode = mode
        if mode in UNREACHABLE_MODES and self._awaits_first_list:
            # The process can't know any list now, so none counts from its start.
            self._oracle.node_restarted(self._node)
        if mode is AgentMode.DOWN:
            self.reset_connections()
        if previous in UNREACHABLE_MODES and mode is not previous:
            self._catch_up()

    def _catch_up(self) -> None:
        """Apply the changes made while the agent was unreachable."""
        self._reachable_from_s = self.loop.time()
        for name, entry in self._registry.entries.items():
            if self._entries.get(name) != entry:
                self.apply_change(entry, self._registry.changed_versions[name])

    def record_process_start(self) -> None:
        """Record a new process of the node as notified of the servers that are not active.

        What a reachable agent has counts from the first moment of a process, whenever it is written.
        """
        self._awaits_first_list = True
        if self._mode in UNREACHABLE_MODES:
            return
        for entry in self._entries.values():
            if entry.status is not Status.ACTIVE:
                self._record_notified(entry, self.loop.time())

    def record_overdue(self) -> None:
        """Record pending entries as notified if the node should have polled them by now."""
        if self._mode in UNREACHABLE_MODES:
            return
        now_s = self.loop.time()
        for pending in list(self._pending.values()):
            counts_from_s = max(pending.received_at_s, self._reachable_from_s) + NOTIFICATION_LIMIT_S
            if now_s >= counts_from_s:
                self._record_notified(pending.entry, counts_from_s)

    def _record_notified(self, entry: Entry, counts_from_s: float) -> None:
        is_active = entry.status is Status.ACTIVE
        self._oracle.notified(
            Notification(self._node, entry.name, is_active, entry.started_at_s, counts_from_s)
        )

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request according to the current mode."""
        if self._mode is AgentMode.DOWN:
            reset(writer.transport)
            return
        # uvloop raises RuntimeError on a write after the node or a fault has ended the connection.
        with contextlib.suppress(RuntimeError):
            keeps_open = True
            while keeps_open:
                request = await receive_message(reader)
                keeps_open = await self._answer(writer, request.target)

    async def _answer(self, writer: asyncio.StreamWriter, target: str) -> bool:
        """Answer a request for the list or a watch; return whether the connection stays open."""
        query = parse_qs(urlsplit(target).query)
        index = int(query["index"][0]) if "index" in query else None
        if index is not None and index >= self._version:
            await self._wait_for_update(int(query.get("wait", ["0"])[0]) / 1000.0)
        if self._mode is AgentMode.SILENT:
            await self.loop.create_future()  # never completes: a silent agent does not answer
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
        """Frame an answer with a Content-Length; in mode FRAMING, alternately without one and in chunks."""
        self._answers += 1
        if self._mode is not AgentMode.FRAMING:
            return ListAnswer(render_response(200, body, reason="OK"), keeps_open=True)
        if self._answers % 2:
            return ListAnswer(b"HTTP/1.1 200 OK\r\n\r\n" + body, keeps_open=False)
        chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return ListAnswer(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, keeps_open=True)

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if self._mode is AgentMode.LATE:
            await asyncio.sleep(LATE_ANSWER_DELAY_S)
        if self._mode is not AgentMode.SLOW:
            writer.write(data)
            return
        await asyncio.sleep(SLOW_ANSWER_DELAY_S)
        size = len(data) // SLOW_ANSWER_PIECES + 1
        for start in range(0, len(data), size):
            await asyncio.sleep(SLOW_ANSWER_DELAY_S / SLOW_ANSWER_PIECES)
            writer.write(data[start : start + size])

    def _record_written(self, writer: asyncio.StreamWriter, entries: list[Entry]) -> None:
        if writer.is_closing():
            return
        self._awaits_first_list = False
        for entry in entries:
            self._pending.pop(entry.name, None)
            self._record_notified(entry, self.loop.time())
