"""Tests of the program's start and shutdown: unusable configurations, and SIGTERM."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tests.peers import WAIT_TIMEOUT_S, Server, node_environment, request, run, until
from tests.program import Program, spawn


def test_sigterm_answers_open_requests_and_exits_with_status_0(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        server.may_respond.clear()
        async with node_environment(tmp_path, server, start=False) as environment:
            program = await Program.start(environment)
            idle_client, waiting_client = await environment.client(), await environment.client()
            server.may_respond.set()
            assert (await idle_client.send_request("before")).status == 200
            server.may_respond.clear()
            waiting_client.write(request("held", "pay"))
            await until(lambda: len(server.received) == 2)
            program.process.send_signal(signal.SIGTERM)
            await program.wait_until_refusing()
            server.may_respond.set()
            assert (await waiting_client.read()).status == 200
            assert await idle_client.closed() and await waiting_client.closed()
            assert await asyncio.wait_for(program.process.wait(), WAIT_TIMEOUT_S) == 0

    run(test())


@pytest.mark.parametrize(
    ("text", "words"),
    [
        (None, "NODE_CONFIG"),
        ("", "No such file"),
        ("{", "not JSON"),
        ("[]", "object"),
        ("{}", "'name' is missing"),
        ('{"name":"n","listen":"nowhere"}', "nowhere"),
        ('{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"zz"}', "seed"),
        ('{"name":"n","listen":"127.0.0.1:\u00b2"}', "not an address"),
        ('{"name":"n","listen":"a\\u0000b:80"}', "not an address"),
        ('{"name":"n","listen":"127.0.0.1:1","discovery":"' + "a" * 64 + '.b:80"}', "not an address"),
        (
            '{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":1'
            + "0" * 400
            + "}}",
            "too large",
        ),
    ],
)
def test_an_invalid_configuration_prints_one_line_and_exits_with_status_2(
    text: str | None, words: str, tmp_path: Path
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        if text:
            path.write_text(text)
        process = await spawn(None if text is None else path)
        _, errors = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
        [line] = errors.decode().splitlines()
        assert process.returncode == 2 and words in line

    run(test())


def test_a_listen_address_in_use_prints_one_line_and_exits_with_status_2(tmp_path: Path) -> None:
    async def test() -> None:
        async with node_environment(tmp_path, start=False) as environment:
            environment.write_config(listen=environment.agent.address)
            process = await spawn(environment.path)
            _, errors = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
            [line] = errors.decode().splitlines()
            assert process.returncode == 2 and "in use" in line

    run(test())
