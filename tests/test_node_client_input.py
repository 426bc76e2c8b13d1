"""Tests of client input: invalid requests, ids in use, pipelined and fragmented requests."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.peers import Server, node_environment, render_response, request, run, until

INVALID_REQUESTS = {
    "not HTTP": (b"\x16\x03\x01 nonsense\r\n\r\n", 400),
    "unsupported HTTP version": (b"GET /read HTTP/9\r\n\r\n", 400),
    "no id": (b"GET /read HTTP/1.1\r\nX-Budget: 1\r\n\r\n", 400),
    "no budget": (b"GET /read HTTP/1.1\r\nX-Call-Id: q\r\n\r\n", 400),
    "budget that is a word": (request("q", budget="soon"), 400),
    "budget that is NaN": (request("q", budget="nan"), 400),
    "infinite budget": (request("q", budget="inf"), 400),
    "negative budget": (request("q", budget="-1"), 400),
    "budget with an underscore": (request("q", budget="1_0"), 400),
    "signed budget": (request("q", budget="+1"), 400),
    "zero budget": (request("q", budget="0.0"), 400),
    "two budgets": (request("q", extra="X-Budget: 2\r\n"), 400),
    "two ids": (request("q", extra="X-Call-Id: r\r\n"), 400),
    "non-ASCII id": (request("q\xe9"), 400),
    "id with spaces": (request("q r"), 400),
    "long id": (request("q" * 129), 400),
    "long key": (request("q", "pay", extra="Idempotency-Key: " + "k" * 129 + "\r\n"), 400),
    "key for a class that has none": (request("q", "pay", extra="Idempotency-Key: k\r\n"), 400),
    "method of another class": (b"POST /read HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\n\r\n", 400),
    "GET for a non-idempotent class": (b"GET /pay HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\n\r\n", 400),
    "GET with a body": (request("q", body=b"body"), 400),
    "target without a slash": (b"GET read HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\n\r\n", 400),
    "unsupported transfer coding": (
        b"POST /pay HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "chunked in HTTP/1.0": (b"POST /pay HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    "chunked and length": (
        b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        400,
    ),
    "unknown class": (request("q", "nonsense"), 400),
    "empty class": (request("q", ""), 400),
    "keyed class without a key": (b"POST /save HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\n\r\n", 400),
    "unsupported method": (b"PUT /read HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\n\r\n", 400),
    "unknown internal path": (b"GET /-/nonsense HTTP/1.1\r\n\r\n", 404),
    "length of a body that is too large": (
        b"POST /pay HTTP/1.1\r\nX-Call-Id: q\r\nContent-Length: 65537\r\n\r\n",
        413,
    ),
    "chunked body that is too large": (
        b"POST /pay HTTP/1.1\r\nX-Call-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + b"x" * 65537,
        413,
    ),
    "negative length": (b"POST /pay HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
    "two lengths": (b"POST /pay HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400),
    "length and chunked": (
        b"POST /pay HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "one huge header": (b"GET /read HTTP/1.1\r\nX-Pad: " + b"x" * 100_000, 431),
    "many headers": (b"GET /read HTTP/1.1\r\n" + b"X-Pad: 1\r\n" * 10_000, 431),
    "huge target": (b"GET /" + b"x" * 100_000 + b" HTTP/1.1\r\n\r\n", 431),
}


@pytest.mark.parametrize(("data", "status"), INVALID_REQUESTS.values(), ids=INVALID_REQUESTS.keys())
def test_an_invalid_request_is_rejected_and_other_requests_are_served(
    data: bytes, status: int, tmp_path: Path
) -> None:
    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            valid_client, invalid_client = await environment.client(), await environment.client()
            valid_client.write(request("other"))
            await until(lambda: len(server.received) == 1)
            invalid_client.write(data)
            assert (await invalid_client.read()).status == status
            server.may_respond.set()
            assert (await valid_client.read()).status == 200
            assert [message.request_id for message in server.received] == ["other"]

    run(test())


def test_a_request_with_an_id_in_use_is_rejected_and_the_first_request_is_served(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with node_environment(tmp_path, server) as environment:
            first, second = await environment.client(), await environment.client()
            first.write(request("a"))
            await until(lambda: len(server.received) == 1)
            assert (await second.send_request("a")).status == 400
            second.writer.close()
            server.may_respond.set()
            assert (await first.read()).status == 200

    run(test())


def test_pipelined_requests_are_answered_in_order(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(render_response(200, b"1"), render_response(200, b"2"))
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            client.write(request("a") + request("b"))
            assert [(await client.read()).body for _ in range(2)] == [b"1", b"2"]

    run(test())

    run(test())


def test_a_request_received_byte_by_byte_is_served_and_connection_close_is_honoured(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            client = await environment.client()
            for byte in request("a", "pay", body=b"body"):
                client.write(bytes([byte]))
                await client.writer.drain()
                await asyncio.sleep(0)
            assert (await client.read()).status == 200
            assert server.received[0].body == b"body"
            response = await client.send_request("b", extra="Connection: close\r\n")
            assert (response.status, response.headers["connection"]) == (200, "close")
            assert await client.closed()

    run(test())
