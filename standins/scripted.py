"""Servers and discovery agents that answer by a script, for tests."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from typing import Any

from standins.endpoint_list import endpoint_entry, render_endpoint_list
from standins.listener import Listener
from standins.messages import Message, read_message, render_response
from standins.sockets import reset_on_close

# What a script may name in place of bytes to write, or (reset and close) behind them.
HANG = b"hang"  # no answer; the connection stays open
RESET = b"reset"
CLOSE = b"close"


class ScriptedListener(Listener):
    """Answers each message with what `script` says, and records the messages."""

    def __init__(self) -> None:
        super().__init__()
        self.received: list[Message] = []

    @abstractmethod
    async def script(self, message: Message) -> bytes:
        """What to write for a message: bytes, `HANG`, or bytes that end with `RESET` or `CLOSE`."""

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer message after message until the client or the script ends the connection."""
        number = self.accepted_connections
        while (message := await read_message(reader, number)) is not None:
            self.received.append(message)
            data = await self.script(message)
            if data == HANG:
                continue
            writer.write(data.removesuffix(CLOSE).removesuffix(RESET))
            if data.endswith(RESET):
                await writer.drain()
                reset_on_close(writer.transport)
            if data.endswith((RESET, CLOSE)):
                return


class ScriptedServer(ScriptedListener):
    """A server; it uses its script up, one answer for each request, then gives its default answer."""

    def __init__(self, *script: bytes, default: bytes, name: str = "s", group: int = 0) -> None:
        super().__init__()
        self.remaining_script = list(script)
        self.default = default
        self.name = name
        self.group = group
        self.response_delay_s = 0.0  # before each answer
        self.may_respond = asyncio.Event()  # clear: answers wait
        self.may_respond.set()

    async def script(self, _message: Message) -> bytes:
        """The next answer of the script, once the gate is open."""
        data = self.remaining_script.pop(0) if self.remaining_script else self.default
        await self.may_respond.wait()
        await asyncio.sleep(self.response_delay_s)
        return data

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Its entry in an endpoint list, with some keys changed."""
        return endpoint_entry(self.name, self.address, group=self.group) | changes


class ScriptedDiscoveryAgent(ScriptedListener):
    """A discovery agent: answers each watch with the next update that a test publishes."""

    def __init__(self) -> None:
        super().__init__()
        self.index = 1
        self.endpoints: list[dict[str, Any]] = []  # the complete list
        self.updates: asyncio.Queue[bytes] = asyncio.Queue()  # responses for watches
        self.faulty_responses: list[bytes] = []  # replace the next responses, one by one
        self.may_respond = asyncio.Event()  # clear: complete lists wait
        self.may_respond.set()

    def watches(self) -> int:
        """How many watches have come so far."""
        return sum("index=" in message.target for message in self.received)

    def publish(self, *entries: dict[str, Any], index: int | None = None, snapshot: bool = False) -> None:
        """Answer a watch with these entries, at the next version or the one given."""
        self.index = self.index + 1 if index is None else index
        self.updates.put_nowait(self.render_list(list(entries), complete=snapshot))

    def render_list(self, entries: list[dict[str, Any]], *, complete: bool) -> bytes:
        """A response with these entries, at the present version."""
        return render_response(200, render_endpoint_list(self.index, entries, complete=complete))

    async def script(self, message: Message) -> bytes:
        """The complete list for a first call; for a watch, the next update as soon as there is one."""
        if self.faulty_responses:
            return self.faulty_responses.pop(0)
        if "index=" not in message.target:
            await self.may_respond.wait()
            return self.render_list(self.endpoints, complete=True)
        return await self.updates.get()
