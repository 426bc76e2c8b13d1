"""Servers and discovery agents with scripted responses, for tests."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from typing import Any

from standins.endpoint_list import endpoint_entry, render_endpoint_list
from standins.listener import Listener
from standins.messages import Message, read_message, render_response
from standins.sockets import reset_on_close

# Special values in a script. HANG replaces a response. RESET and CLOSE end the connection, at once or after
# the response that they are appended to.
HANG = b"hang"  # no response is sent and the connection stays open
RESET = b"reset"
CLOSE = b"close"


class ScriptedListener(Listener):
    """Records each message and sends the response that `script` returns."""

    def __init__(self) -> None:
        super().__init__()
        self.received: list[Message] = []

    @abstractmethod
    async def script(self, message: Message) -> bytes:
        """Return the response to `message`: bytes, `HANG`, or bytes that end with `RESET` or `CLOSE`."""

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to each message until the client or the script ends the connection."""
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
    """A server that responds with the entries of its script in order, then with its default response."""

    def __init__(self, *script: bytes, default: bytes, name: str = "s", group: int = 0) -> None:
        super().__init__()
        self.remaining_script = list(script)
        self.default = default
        self.name = name
        self.group = group
        self.response_delay_s = 0.0
        self.may_respond = asyncio.Event()  # responses are held back while it is clear
        self.may_respond.set()

    async def script(self, _message: Message) -> bytes:
        """Return the next response, after waiting for `may_respond` and `response_delay_s`."""
        data = self.remaining_script.pop(0) if self.remaining_script else self.default
        await self.may_respond.wait()
        await asyncio.sleep(self.response_delay_s)
        return data

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Build the server's entry in an endpoint list; `changes` replaces values by key."""
        return endpoint_entry(self.name, self.address, group=self.group) | changes


class ScriptedDiscoveryAgent(ScriptedListener):
    """A discovery agent that responds to each watch with the next update that the test publishes."""

    def __init__(self) -> None:
        super().__init__()
        self.index = 1
        self.endpoints: list[dict[str, Any]] = []  # entries of the complete list
        self.updates: asyncio.Queue[bytes] = asyncio.Queue()  # responses to future watches
        self.faulty_responses: list[bytes] = []  # sent in place of the next responses, in order
        self.response_delay_s = 0.0  # the time that each response takes, except the faulty ones
        self.may_respond = asyncio.Event()  # complete lists are held back while it is clear
        self.may_respond.set()

    def watches(self) -> int:
        """Return the number of watches received so far."""
        return sum("index=" in message.target for message in self.received)

    def publish(self, *entries: dict[str, Any], index: int | None = None, snapshot: bool = False) -> None:
        """Queue an update for the next watch; `index` is the version of the list, by default the next one."""
        self.index = self.index + 1 if index is None else index
        self.updates.put_nowait(self.render_list(list(entries), complete=snapshot))

    def render_list(self, entries: list[dict[str, Any]], *, complete: bool) -> bytes:
        """Render a response with `entries` at the current version."""
        return render_response(200, render_endpoint_list(self.index, entries, complete=complete))

    async def script(self, message: Message) -> bytes:
        """Return the complete list, or for a watch the next update, once one is published."""
        if self.faulty_responses:
            return self.faulty_responses.pop(0)
        await asyncio.sleep(self.response_delay_s)
        if "index=" not in message.target:
            await self.may_respond.wait()
            return self.render_list(self.endpoints, complete=True)
        return await self.updates.get()
