"""Tests of which server responses allow a retry, for each row of the protocol's table of outcomes."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.peers import CLOSE, HANG, RESET, Server, node_environment, render_response, run, until

NOT_HTTP = b"\x00\xff not HTTP at all\r\n\r\n"
MAY_HAVE_RUN = {
    "500": render_response(500),
    "404": render_response(404),
    "503 without X-Rejected": render_response(503),
    "504 with X-Rejected: 0": render_response(504, headers="X-Rejected: 0\r\n"),
    "500 with X-Rejected: 1": render_response(500, headers="X-Rejected: 1\r\n"),
    "reset": RESET,
    "close": CLOSE,
    "not HTTP": NOT_HTTP,
    "half a head": b"HTTP/1.1 200 OK\r\nContent-Le" + CLOSE,
    "half a body": b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfive!" + CLOSE,
    "no length, reset": b"HTTP/1.1 200 OK\r\n\r\nuntil the end" + RESET,
    "no length, reset before any of the body": b"HTTP/1.1 200 OK\r\n\r\n" + RESET,
    "no length, too long": b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (64 * 1024 + 1) + CLOSE,
    "no length, status 500": b"HTTP/1.1 500 Oh\r\n\r\nuntil the end" + CLOSE,
    "unknown transfer coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nxyz" + CLOSE,
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
    "same length twice": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    "length and chunked": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\n\r\n",
    "endless interim responses": b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n" * 1000,
    "negative length": b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nabcde",
    "huge length": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
    "long body": render_response(200, b"x" * (64 * 1024 + 1)),
    "long chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"8000\r\n"
    + b"x" * 0x8000
    + b"\r\n8000\r\n"
    + b"x" * 0x8000
    + b"\r\n1\r\nx\r\n0\r\n\r\n",
    "long head": b"HTTP/1.1 200 OK\r\nX-Pad: " + b"x" * 100_000,
    "upgrade": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
}
NEVER_RAN = {
    "503 with X-Rejected: 1": render_response(503, headers="X-Rejected: 1\r\n"),
    "504 with X-Rejected: 1": render_response(504, headers="X-Rejected: 1\r\n"),
}


@pytest.mark.parametrize("response", MAY_HAVE_RUN.values(), ids=MAY_HAVE_RUN.keys())
def test_a_non_idempotent_request_that_may_have_run_fails_and_is_not_retried(
    response: bytes, tmp_path: Path
) -> None:
    async def test() -> None:
        server = Server(response)
        async with node_environment(tmp_path, server) as environment:
            assert (await environment.send_request("a", "pay")).status == 502
            # No data of the first response reaches the next request.
            assert (await environment.send_request("b", "pay")).body == b"done"
            assert [message.request_id for message in server.received] == ["a", "b"]

    run(test())


@pytest.mark.parametrize("rejection", NEVER_RAN.values(), ids=NEVER_RAN.keys())
def test_a_non_idempotent_request_that_was_rejected_is_retried(rejection: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(rejection)
        async with node_environment(tmp_path, server) as environment:
            assert (await environment.send_request("a", "pay")).body == b"done"
            assert [message.request_id for message in server.received] == ["a", "a"]

    run(test())


def test_a_non_idempotent_request_is_retried_after_a_refused_connection(tmp_path: Path) -> None:
    async def test() -> None:
        down, up = Server(name="down"), Server(name="up")
        async with node_environment(tmp_path, down, up) as environment:
            await down.stop()
            for n in range(6):  # round robin also selects the server that is down
                assert (await environment.send_request(f"{n}", "pay")).body == b"done"
            assert sorted(message.request_id for message in up.received) == [f"{n}" for n in range(6)]

    run(test())


def test_a_missing_response_times_out_and_closes_the_connection(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(HANG)
        async with node_environment(tmp_path, server) as environment:
            assert (await environment.send_request("a", "pay", budget="0.3")).status == 502
            await until(lambda: server.closed_connections == 1)
            assert len(server.received) == 1

    run(test())


def test_responses_followed_by_extra_data_are_used_and_their_connections_closed(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(
            render_response(200, b"one") + render_response(200, b"two"),
            render_response(200, b"three") + NOT_HTTP,
        )
        async with node_environment(tmp_path, server) as environment:
            assert [(await environment.send_request(request_id)).body for request_id in "abc"] == [
                b"one",
                b"three",
                b"done",
            ]
            assert [message.connection for message in server.received] == [1, 2, 3]

    run(test())


def test_interim_and_chunked_responses_are_read_and_bodies_are_passed_on_unchanged(tmp_path: Path) -> None:
    async def test() -> None:
        body = bytes(range(256)) * 256
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        server = Server(b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n" + render_response(200, body), chunked)
        async with node_environment(tmp_path, server) as environment:
            assert (await environment.send_request("a")).body == body
            assert (await environment.send_request("b")).body == b"abcde"
            assert [message.connection for message in server.received] == [1, 1]

    run(test())


def test_target_id_key_and_body_of_a_request_are_forwarded_unchanged(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            await environment.send_request(
                "a", "save", body=b"x" * 65536, query="?obj=7f&z=%2F", extra="X-Other: 1\r\n"
            )
            [message] = server.received
            assert message.start_line == "POST /save?obj=7f&z=%2F HTTP/1.1"
            assert (message.request_id, message.headers["idempotency-key"]) == ("a", "key-a")
            assert message.body == b"x" * 65536
            assert 0.0 < float(message.headers["x-budget"]) < 20.0

    run(test())


def test_non_idempotent_requests_use_new_connections_that_replace_idle_ones(tmp_path: Path) -> None:
    """An idle connection may be dead without notice; a request lost on it may have run and would fail."""

    async def test() -> None:
        server = Server()
        async with node_environment(tmp_path, server) as environment:
            for request_id, class_name in (
                ("a", "read"),
                ("b", "pay"),
                ("c", "pay"),
                ("d", "read"),
                ("e", "save"),
            ):
                assert (await environment.send_request(request_id, class_name)).status == 200
            assert [message.connection for message in server.received] == [1, 2, 3, 3, 3]
            assert environment.node is not None and environment.node._upstream.connection_count() == 1
            await until(lambda: server.closed_connections == 2)

    run(test())
