"""Responses without a length: an orderly close of the connection completes them, a reset does not."""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path

import pytest

from tests.peers import CLOSE, WAIT_TIMEOUT_S, Server, node_environment, request, run, until

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"


def test_a_response_without_a_length_is_complete_when_the_connection_closes(tmp_path: Path) -> None:
    """Guards against treating such responses as malformed and not forwarding them."""

    async def test() -> None:
        server = Server(HEAD + b"until the end" + CLOSE, HEAD + CLOSE)
        async with node_environment(tmp_path, server) as environment:
            for request_id, body in (("a", b"until the end"), ("b", b"")):
                response = await environment.send_request(request_id, "pay")
                assert (response.status, response.body) == (200, body)

    run(test())


def test_a_rejection_without_a_length_is_retried(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\n\r\n" + CLOSE)
        async with node_environment(tmp_path, server) as environment:
            assert (await environment.send_request("a", "pay")).status == 200
            assert [message.request_id for message in server.received] == ["a", "a"]

    run(test())


def test_a_response_without_a_length_on_an_open_connection_times_out(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(HEAD + b"without end")
        async with node_environment(tmp_path, server) as environment:
            assert (await environment.send_request("a", "pay", budget="0.5")).status in (502, 504)
            assert (await environment.send_request("b", "pay")).body == b"done"
            assert [message.request_id for message in server.received] == ["a", "b"]

    run(test())


@pytest.mark.parametrize("is_delayed", [False, True], ids=["reset at once", "delayed reset"])
def test_a_reset_after_a_body_without_a_length_fails_the_request(is_delayed: bool, tmp_path: Path) -> None:
    """The reset is read in the same iteration of the event loop as the body, or in a later one."""

    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(WAIT_TIMEOUT_S)
            entry = {"name": "s", "address": f"127.0.0.1:{listener.getsockname()[1]}", "status": "active"}
            async with node_environment(tmp_path, has_cached_list=False) as environment:
                environment.agent.endpoints = [entry]
                client = await environment.client()
                await until(lambda: environment.node is not None and environment.node.is_ready())
                client.write(request("a", "pay"))
                connection, _ = await asyncio.to_thread(listener.accept)
                await asyncio.to_thread(connection.recv, 65536)
                connection.sendall(HEAD + b"seemingly complete")
                if is_delayed:
                    await asyncio.sleep(0.1)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.close()
                assert (await client.read()).status == 502

    run(test())
