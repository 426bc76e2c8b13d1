"""Compares the node's requests to servers and to discovery with recorded bytes.

A change of the recorded bytes is a change of the external behaviour. Ports and budgets are masked, because
they differ from run to run.
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

REQUIRED_HEADERS = b"X-Call-Id: a\r\nX-Budget: 20\r\n"
GET = b"GET /read HTTP/1.1\r\n" + REQUIRED_HEADERS
POST = b"POST /pay HTTP/1.1\r\n" + REQUIRED_HEADERS
SAVE = b"POST /save HTTP/1.1\r\nHost: api.internal\r\n" + REQUIRED_HEADERS + b"Idempotency-Key: k-1\r\n"
SAVE += b'Content-Type: application/json\r\nContent-Length: 7\r\n\r\n{"a":1}'
CLOSING_REQUEST = b"GET /-/end HTTP/1.1\r\nConnection: close\r\n\r\n"  # makes the node close the connection
CLOSING_RESPONSE = b"HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 12\r\n\r\nno such path"
DONE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
FAILED = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 6\r\n\r\nfailed"
REFUSED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nrefused"
SERVER_HEADERS = b"Host: 127.0.0.1:*\r\nX-Call-Id: a\r\nX-Budget: *\r\n"  # common to all requests to servers
GET_SENT = b"GET /read HTTP/1.1\r\n" + SERVER_HEADERS + b"\r\n"
POST_SENT = b"POST /pay HTTP/1.1\r\n" + SERVER_HEADERS + b"Content-Length: 0\r\n\r\n"
SAVE_SENT = b"POST /save HTTP/1.1\r\n" + SERVER_HEADERS + b"Idempotency-Key: k-1\r\n"
SAVE_SENT += b'Content-Type: application/json\r\nContent-Length: 7\r\n\r\n{"a":1}'


class RecordingReader:
    """A stream reader that records the bytes that it reads."""

    def __init__(self, reader: asyncio.StreamReader, recording: bytearray) -> None:
        self._reader, self._recording = reader, recording

    async def _record(self, read: Any) -> bytes:
        """Await a read and record its bytes, including those before an early end of the connection."""
        try:
            data: bytes = await read
        except asyncio.IncompleteReadError as error:
            self._recording += error.partial
            raise
        self._recording += data
        return data

    async def readuntil(self, separator: bytes) -> bytes:
        """Read up to and including the separator."""
        return await self._record(self._reader.readuntil(separator))

    async def readexactly(self, size: int) -> bytes:
        """Read exactly `size` bytes."""
        return await self._record(self._reader.readexactly(size))


class RecordingListener(ScriptedListener):
    """A scripted listener that records all received bytes."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.received_bytes = bytearray()

    def _serve(self, reader: Any, writer: asyncio.StreamWriter) -> Coroutine[Any, Any, None]:
        """Serve a connection through a reader that records the bytes."""
        recording_reader: Any = RecordingReader(reader, self.received_bytes)
        return super()._serve(recording_reader, writer)

    def masked_bytes(self) -> bytes:
        """Return the received bytes with ports and budgets masked."""
        without_ports = re.sub(rb"127\.0\.0\.1:[0-9]+", b"127.0.0.1:*", self.received_bytes)
        return re.sub(rb"X-Budget: [0-9]+\.[0-9]{3}\r", b"X-Budget: *\r", without_ports)


class RecordingServer(RecordingListener, Server):
    """A server that records all received bytes."""


class RecordingDiscoveryAgent(RecordingListener, ScriptedDiscoveryAgent):
    """A discovery agent that records all received bytes."""


async def exchange(environment: NodeEnvironment, data: bytes) -> bytes:
    """Send `data` on a new connection and return all bytes received until it is closed."""
    client = await environment.client()
    client.write(data)
    return await asyncio.wait_for(client.reader.read(), WAIT_TIMEOUT_S)


SERVER_CASES: dict[str, tuple[bytes, list[bytes], bytes, bytes]] = {
    "a query and headers that are not forwarded": (
        b"GET /read/items?q=a%20b&n=1 HTTP/1.1\r\nHost: api.internal\r\n"
        + REQUIRED_HEADERS
        + b"X-Caller: shop\r\nX-Again: 1\r\nAccept: */*\r\n\r\n",
        [],
        b"GET /read/items?q=a%20b&n=1 HTTP/1.1\r\n" + SERVER_HEADERS + b"\r\n",
        DONE,
    ),
    "an idempotency key, a body and its content type": (SAVE, [], SAVE_SENT, DONE),
    "a non-idempotent request without a body": (POST + b"\r\n", [], POST_SENT, DONE),
    "a non-idempotent request in chunks": (
        POST + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n3;x=y\r\n yo\r\n0\r\n\r\n",
        [],
        b"POST /pay HTTP/1.1\r\n" + SERVER_HEADERS + b"Content-Length: 5\r\n\r\nhi yo",
        DONE,
    ),
    "a retry after an error": (GET + b"\r\n", [render_response(500)], GET_SENT * 2, DONE),
    "a keyed retry after an error": (SAVE, [render_response(500)], SAVE_SENT * 2, DONE),
    "two keyed retries after rejections": (
        SAVE,
        [render_response(503), render_response(429)],
        SAVE_SENT * 3,
        DONE,
    ),
    "all attempts fail": (GET + b"\r\n", [render_response(500)] * 3, GET_SENT * 3, REFUSED),
    "a status that is not a success": (GET + b"\r\n", [render_response(404)] * 3, GET_SENT * 3, REFUSED),
    "a non-idempotent request fails": (POST + b"\r\n", [render_response(500)], POST_SENT, FAILED),
    "a non-idempotent request is rejected": (POST + b"\r\n", [render_response(503)], POST_SENT, FAILED),
    "a non-idempotent request times out": (POST.replace(b"20", b"1") + b"\r\n", [HANG], POST_SENT, FAILED),
    "a response in chunks": (
        GET + b"\r\n",
        [b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"],
        GET_SENT,
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
    ),
    "a response with a content type and another header": (
        GET + b"\r\n",
        [render_response(200, b"{}", "Content-Type: application/json\r\nX-More: 1\r\n")],
        GET_SENT,
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
    ),
    "two requests in one write": (
        GET + b"\r\n" + GET.replace(b": a", b": b") + b"\r\n",
        [render_response(200, b"1"), render_response(200, b"2")],
        GET_SENT + GET_SENT.replace(b": a", b": b"),
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2",
    ),
}


@pytest.mark.parametrize(
    ("sent", "script", "forwarded", "response"), SERVER_CASES.values(), ids=SERVER_CASES.keys()
)
def test_requests_to_servers_match_the_recorded_bytes(
    sent: bytes, script: list[bytes], forwarded: bytes, response: bytes, tmp_path: Path
) -> None:
    """The node forwards the recorded requests to the server and the recorded response to the client."""

    async def test() -> None:
        server = RecordingServer(*script)
        async with node_environment(tmp_path, server) as environment:
            assert await exchange(environment, sent + CLOSING_REQUEST) == response + CLOSING_RESPONSE
            assert server.masked_bytes() == forwarded

    run(test())


def test_requests_to_discovery_match_the_recorded_bytes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The node gets the complete list first, then watches for changes since the last received version."""
    monkeypatch.setattr(peers, "ScriptedDiscoveryAgent", RecordingDiscoveryAgent)

    async def test() -> None:
        async with node_environment(tmp_path, server := Server()) as environment:
            agent = environment.agent
            assert isinstance(agent, RecordingDiscoveryAgent)
            await until(lambda: agent.watches() == 1)
            agent.publish(server.entry(), index=7)
            await until(lambda: agent.watches() == 2)
            assert agent.masked_bytes() == (
                b"GET /api/targets HTTP/1.1\r\nHost: 127.0.0.1:*\r\n\r\n"
                b"GET /api/targets?index=1&wait=800 HTTP/1.1\r\nHost: 127.0.0.1:*\r\n\r\n"
                b"GET /api/targets?index=7&wait=800 HTTP/1.1\r\nHost: 127.0.0.1:*\r\n\r\n"
            )

    run(test())
