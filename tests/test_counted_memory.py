"""The memory that a connection's queue counts is at least the memory that it takes."""

from __future__ import annotations

import socket
import tracemalloc
from collections.abc import Iterator

import pytest

from tests.peers import request
from workspond.downstream.request_pipeline import RequestPipeline
from workspond.http.request_parser import RequestParser
from workspond.http.response import Response
from workspond.policy.settings import RequestClass

CLASSES = {"pay": RequestClass("pay", 500.0, 20_000.0)}
CONNECTION_COUNT = 50
READ_BYTES = 16 * 1024
# What a connection's parser takes whatever it has read, such as an empty deque that was used.
CONNECTION_BYTES = 2048
LONG_NAME = "\N{GRINNING FACE}" + "t" * 14_000
HEAD = b"POST /pay HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 9\r\n"
INPUTS = {
    "long names": request("q", "pay", body=b"x", extra=f"X-Caller: {LONG_NAME}\r\n") * 3,
    "long target": b"POST /pay?" + b"x" * 14_000,
    "long header": HEAD + b"X-Caller: " + b"t" * 14_000 + b"\r\n",
    "long content type": HEAD + b"Content-Type: " + b"t" * 14_000 + b"\r\nContent-Length: 0\r\n\r\n",
    "body": HEAD + b"Content-Length: 60000\r\n\r\n" + b"x" * 59_999,
    "short chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nab\r\n" * 2000,
    "short requests": request("q", "pay") * 150,
    "own paths": b"GET /-/x HTTP/1.1\r\n\r\n" * 800,
}


@pytest.fixture
def connection() -> Iterator[socket.socket]:
    """Provide a connected socket."""
    ends = socket.socketpair()
    yield ends[0]
    for end in ends:
        end.close()


def new_pipeline() -> RequestPipeline:
    return RequestPipeline(RequestParser(CLASSES, lambda _path: Response(404, b"no such path")))


def feed(pipeline: RequestPipeline, data: bytes, connection: socket.socket) -> None:
    """Feed data in reads as a connection does, until the pipeline is full."""
    for start in range(0, len(data), READ_BYTES):
        if not pipeline.is_full():
            # A copy of its own for each connection, as from the kernel.
            pipeline.receive(bytes(bytearray(data[start : start + READ_BYTES])), connection)
        pipeline.end_deferral()
        pipeline.parse()


@pytest.mark.parametrize("data", INPUTS.values(), ids=INPUTS.keys())
def test_counted_memory_covers_the_memory_taken(data: bytes, connection: socket.socket) -> None:
    """Guards against a node that is killed for memory that its budget does not see."""
    pipelines = [new_pipeline() for _ in range(CONNECTION_COUNT)]
    tracemalloc.start()
    try:
        for pipeline in pipelines:
            feed(pipeline, data, connection)
        taken_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    counted_bytes = sum(pipeline.waiting_bytes() for pipeline in pipelines)
    assert taken_bytes <= 1.15 * counted_bytes + CONNECTION_COUNT * CONNECTION_BYTES


def test_a_rejection_drops_an_incomplete_message_at_once(connection: socket.socket) -> None:
    """Guards against a node that drops far more than it has to, as rejections wait for their turn."""
    pipeline = new_pipeline()
    feed(pipeline, INPUTS["body"], connection)
    rejection = Response(413, b"memory is short")
    pipeline.reject(rejection)
    assert pipeline.waiting_bytes() == rejection.memory_bytes()
