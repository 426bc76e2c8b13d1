"""The node's exact bytes to servers and to discovery, as they are today.

A change of what is expected here is a change of what others see. Ports and budgets, which differ from run to
run, are masked.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest

from tests import peers
from tests.peers import (
    HANG,
    WAIT_TIMEOUT_S,
    NodeEnvironment,
    ScriptedDiscoveryAgent,
    ScriptedListener,
    Server,
    node_environment,
    render_response,
    run,
    until,
)

IDS = b"X-Call-Id: a\r\nX-Budget: 20\r\n"
GET = b"GET /read HTTP/1.1\r\n" + IDS
POST = b"POST /pay HTTP/1.1\r\n" + IDS
SAVE = b"POST /save HTTP/1.1\r\nHost: api.internal\r\n" + IDS + b"Idempotency-Key: k-1\r\n"
SAVE += b'Content-Type: application/json\r\nContent-Length: 7\r\n\r\n{"a":1}'
END = b"GET /-/end HTTP/1.1\r\nConnection: close\r\n\r\n"  # sent where the node would keep the connection
ENDED = b"HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 12\r\n\r\nno such path"
DONE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
FAILED = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 6\r\n\r\nfailed"
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nrefused"
SERVED = b"Host: 127.0.0.1:*\r\nX-Call-Id: a\r\nX-Budget: *\r\n"  # what every request to a server begins with
GET_SENT = b"GET /read HTTP/1.1\r\n" + SERVED + b"\r\n"
POST_SENT = b"POST /pay HTTP/1.1\r\n" + SERVED + b"Content-Length: 0\r\n\r\n"
SAVE_SENT = b"POST /save HTTP/1.1\r\n" + SERVED + b"Idempotency-Key: k-1\r\n"
SAVE_SENT += b'Content-Type: application/json\r\nContent-Length: 7\r\n\r\n{"a":1}'


class RecordingReader:
    """Reads for a peer and keeps the bytes."""

    def __init__(self, reader: asyncio.StreamReader, kept: bytearray) -> None:
        self._reader, self._kept = reader, kept

    async def _keep(self, data: Any) -> bytes:
        """Keep what a read finds, also where the connection ends midway."""
        try:
            found: bytes = await data
        except asyncio.IncompleteReadError as end:
            self._kept += end.partial
            raise
        self._kept += found
        return found

    async def readuntil(self, separator: bytes) -> bytes:
        """As a stream reader does."""
        return await self._keep(self._reader.readuntil(separator))

    async def readexactly(self, size: int) -> bytes:
        """As a stream reader does."""
        return await self._keep(self._reader.readexactly(size))


class RawPeer(ScriptedListener):
    """A peer that keeps all bytes it gets."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.raw = bytearray()

    def _serve(self, reader: Any, writer: asyncio.StreamWriter) -> Coroutine[Any, Any, None]:
        """Serve a connection as any peer does, through a reader that keeps the bytes."""
        recording: Any = RecordingReader(reader, self.raw)
        return super()._serve(recording, writer)

    def masked(self) -> bytes:
        """What it has got, without what differs from run to run."""
        without_ports = re.sub(rb"127\.0\.0\.1:[0-9]+", b"127.0.0.1:*", self.raw)
        return re.sub(rb"X-Budget: [0-9]+\.[0-9]{3}\r", b"X-Budget: *\r", without_ports)


class RawServer(RawPeer, Server):
    """A server that keeps all bytes it gets."""


class RawRegistry(RawPeer, ScriptedDiscoveryAgent):
    """Discovery that keeps all bytes it gets."""


async def exchange(environment: NodeEnvironment, data: bytes) -> bytes:
    """All that a caller gets for what it sends, up to the close."""
    caller = await environment.client()
    caller.write(data)
    return await asyncio.wait_for(caller.reader.read(), WAIT_TIMEOUT_S)


TO_SERVERS: dict[str, tuple[bytes, list[bytes], bytes, bytes]] = {
    "a query and headers of no use to servers": (
        b"GET /read/items?q=a%20b&n=1 HTTP/1.1\r\nHost: api.internal\r\n"
        + IDS
        + b"X-Caller: shop\r\nX-Again: 1\r\nAccept: */*\r\n\r\n",
        [],
        b"GET /read/items?q=a%20b&n=1 HTTP/1.1\r\n" + SERVED + b"\r\n",
        DONE,
    ),
    "a key, a body and its type": (SAVE, [], SAVE_SENT, DONE),
    "unsafe without a body": (POST + b"\r\n", [], POST_SENT, DONE),
    "unsafe in chunks": (
        POST + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n3;x=y\r\n yo\r\n0\r\n\r\n",
        [],
        b"POST /pay HTTP/1.1\r\n" + SERVED + b"Content-Length: 5\r\n\r\nhi yo",
        DONE,
    ),
    "a retry after an error": (GET + b"\r\n", [render_response(500)], GET_SENT * 2, DONE),
    "a keyed retry after an error": (SAVE, [render_response(500)], SAVE_SENT * 2, DONE),
    "a keyed retry after two refusals": (
        SAVE,
        [render_response(503), render_response(429)],
        SAVE_SENT * 3,
        DONE,
    ),
    "all attempts fail": (GET + b"\r\n", [render_response(500)] * 3, GET_SENT * 3, REFUSED),
    "a status that is no answer": (GET + b"\r\n", [render_response(404)] * 3, GET_SENT * 3, REFUSED),
    "an unsafe one fails": (POST + b"\r\n", [render_response(500)], POST_SENT, FAILED),
    "an unsafe one is refused": (POST + b"\r\n", [render_response(503)], POST_SENT, FAILED),
    "an unsafe one has no answer in time": (POST.replace(b"20", b"1") + b"\r\n", [HANG], POST_SENT, FAILED),
    "an answer in chunks": (
        GET + b"\r\n",
        [b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"],
        GET_SENT,
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
    ),
    "an answer with a type and more": (
        GET + b"\r\n",
        [render_response(200, b"{}", "Content-Type: application/json\r\nX-More: 1\r\n")],
        GET_SENT,
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
    ),
    "two in one write": (
        GET + b"\r\n" + GET.replace(b": a", b": b") + b"\r\n",
        [render_response(200, b"1"), render_response(200, b"2")],
        GET_SENT + GET_SENT.replace(b": a", b": b"),
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2",
    ),
}


@pytest.mark.parametrize(("sent", "script", "got", "answered"), TO_SERVERS.values(), ids=TO_SERVERS.keys())
def test_what_a_server_gets(
    sent: bytes, script: list[bytes], got: bytes, answered: bytes, tmp_path: Path
) -> None:
    """The requests on a server's connections, and the answer that the caller gets in the end."""

    async def test() -> None:
        server = RawServer(*script)
        async with node_environment(tmp_path, server) as environment:
            assert await exchange(environment, sent + END) == answered + ENDED
            assert server.masked() == got

    run(test())


def test_what_discovery_gets(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The whole list first, then watches, each from the version last heard."""
    monkeypatch.setattr(peers, "ScriptedDiscoveryAgent", RawRegistry)

    async def test() -> None:
        async with node_environment(tmp_path, server := Server()) as environment:
            registry = environment.agent
            assert isinstance(registry, RawRegistry)
            await until(lambda: registry.watches() == 1)
            registry.publish(server.entry(), index=7)
            await until(lambda: registry.watches() == 2)
            assert registry.masked() == (
                b"GET /api/targets HTTP/1.1\r\nHost: 127.0.0.1:*\r\n\r\n"
                b"GET /api/targets?index=1&wait=800 HTTP/1.1\r\nHost: 127.0.0.1:*\r\n\r\n"
                b"GET /api/targets?index=7&wait=800 HTTP/1.1\r\nHost: 127.0.0.1:*\r\n\r\n"
            )

    run(test())
