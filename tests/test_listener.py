"""Shortages of descriptors and failures of `accept`: the node recovers once they are over."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import functools
import os
import resource
import signal
import socket
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, cast

import pytest

from tests.client_helpers import is_ok, ready_node, receive
from tests.peers import (
    WAIT_TIMEOUT_S,
    NodeEnvironment,
    ScriptedDiscoveryAgent,
    Server,
    node_environment,
    request,
    run,
    until,
)
from tests.program import Program
from workspond.__main__ import listen
from workspond.config import read_config
from workspond.downstream.listener import Listener
from workspond.node import Node

SHORTAGE_DURATION_S = 0.5
USUAL_DESCRIPTOR_LIMIT = 1024


def open_descriptors(pid: int) -> set[int]:
    return {int(name) for name in os.listdir(f"/proc/{pid}/fd")}


def lowest_free_descriptor(pid: int) -> int:
    """Return the lowest descriptor number that a process does not use.

    With this number as its limit, the process has no free descriptor, but can reuse one that it closes.
    """
    used = open_descriptors(pid)
    return next(number for number in range(len(used) + 1) if number not in used)


def limit_descriptors(pid: int, count: int) -> None:
    _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, hard))


@contextlib.contextmanager
def no_free_descriptor(pid: int) -> Iterator[None]:
    """Leave a process no free descriptor."""
    limit_descriptors(pid, lowest_free_descriptor(pid))
    try:
        yield
    finally:
        limit_descriptors(pid, USUAL_DESCRIPTOR_LIMIT)


async def start_program(environment: NodeEnvironment, descriptors: int | None = None) -> Program:
    """Start the program and wait until it has received an endpoint list."""
    program = await Program.start(environment, descriptors=descriptors)
    await until(lambda: environment.agent.watches() > 0)
    return program


def test_clients_that_connect_while_no_descriptor_is_free_are_served_afterwards(tmp_path: Path) -> None:
    """Their connections must not be reset, as they would be by the event loop's own server."""

    async def test() -> None:
        async with node_environment(tmp_path, Server(), start=False) as environment:
            program = await start_program(environment)
            assert (await environment.send_request("before")).status == 200
            environment.clients.pop().writer.close()
            await asyncio.sleep(0.1)
            clients = []
            with no_free_descriptor(program.process.pid):
                for number in range(5):
                    client = socket.create_connection(environment.address, WAIT_TIMEOUT_S)
                    client.sendall(request(f"{number}"))
                    clients.append(client)
                await asyncio.sleep(SHORTAGE_DURATION_S)
            for client in clients:
                assert is_ok(await receive(client))
                client.close()

    run(test())


class FailingSocket:
    """A listening socket whose next calls of `accept` fail with the given errors."""

    def __init__(self, real_socket: socket.socket, *errors: int) -> None:
        self._real_socket = real_socket
        self.errors = list(errors)

    def accept(self) -> tuple[socket.socket, object]:
        if self.errors:
            raise OSError(self.errors.pop(0), "forced")
        return self._real_socket.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self._real_socket, name)


ACCEPT_ERRNOS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.EPERM,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
)


@pytest.mark.parametrize("error", ACCEPT_ERRNOS, ids=[errno.errorcode[number] for number in ACCEPT_ERRNOS])
def test_clients_are_served_after_accept_has_failed(error: int, tmp_path: Path) -> None:
    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            listener = (await ready_node(environment)).frontend._listener
            assert listener is not None
            failing = FailingSocket(listener._socket, error, error)
            listener._socket = cast(socket.socket, failing)
            assert (await environment.send_request("a")).status == 200
            assert not failing.errors
            assert (await environment.send_request("b")).status == 200

    run(test())


def test_a_new_configuration_is_applied_once_its_file_can_be_opened(tmp_path: Path) -> None:
    """If no descriptor is free, the file must be read later, as the old discovery address may be stale."""

    async def test() -> None:
        new_agent = ScriptedDiscoveryAgent()
        await new_agent.start()
        async with node_environment(tmp_path, Server(), start=False) as environment:
            program = await start_program(environment)
            environment.write_config(discovery=new_agent.address)
            with no_free_descriptor(program.process.pid):
                program.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(SHORTAGE_DURATION_S)
            await until(lambda: bool(new_agent.received))
        await new_agent.stop()

    run(test())


def test_a_system_descriptor_limit_below_the_configured_one_is_respected(tmp_path: Path) -> None:
    """The lower of the two limits applies; otherwise the process runs out of descriptors."""
    limit = 128

    async def test() -> None:
        async with node_environment(tmp_path, Server(), start=False) as environment:
            program = await start_program(environment, descriptors=limit)
            idle = [socket.create_connection(environment.address, WAIT_TIMEOUT_S) for _ in range(limit)]
            assert (await environment.send_request("a")).status == 200
            assert len(open_descriptors(program.process.pid)) < limit - 10
            for client in idle:
                client.close()

    run(test())


@pytest.mark.parametrize(("error", "expected_calls"), [(errno.EMFILE, 4), (errno.EADDRINUSE, 1)])
def test_listening_at_the_start_is_retried_after_a_shortage_but_not_for_an_address_in_use(
    error: int, expected_calls: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node that restarts while descriptors run short must not exit with status 2."""
    monkeypatch.setattr("workspond.__main__.LISTEN_RETRY_INTERVAL_S", 0.01)
    calls = []

    def fail_three_times(make_listener: Callable[..., Listener], *args: Any) -> Listener:
        calls.append(args)
        if len(calls) <= 3:
            raise OSError(error, "forced")
        return make_listener(*args)

    async def test() -> None:
        async with node_environment(tmp_path, Server(), start=False) as environment:
            environment.node = Node(read_config(str(environment.path)), asyncio.get_running_loop())
            failing = functools.partial(fail_three_times, Listener)
            monkeypatch.setattr("workspond.downstream.frontend.Listener", failing)
            if expected_calls > 1:
                environment.address = await listen(environment.node, ("127.0.0.1", 0))
                environment.node.start()
                await ready_node(environment)
                assert (await environment.send_request("a")).status == 200
            else:
                with pytest.raises(OSError, match="forced"):
                    await listen(environment.node, ("127.0.0.1", 0))
            assert len(calls) == expected_calls

    run(test())
