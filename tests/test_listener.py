"""Shortages while clients connect or a file is to be opened: the node waits until they are over."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import functools
import json
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

SHORTAGE_S = 0.5
USUAL_LIMIT = 1024  # descriptors


def open_descriptors(pid: int) -> set[int]:
    return {int(name) for name in os.listdir(f"/proc/{pid}/fd")}


def lowest_free_descriptor(pid: int) -> int:
    """With this as its limit a process has none free, and can open again what it closes."""
    used = open_descriptors(pid)
    return next(number for number in range(len(used) + 1) if number not in used)


def limit_descriptors(pid: int, count: int) -> None:
    _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, hard))


@contextlib.contextmanager
def no_free_descriptor(pid: int) -> Iterator[None]:
    """A process that can open nothing more."""
    limit_descriptors(pid, lowest_free_descriptor(pid))
    try:
        yield
    finally:
        limit_descriptors(pid, USUAL_LIMIT)


async def start_program(environment: NodeEnvironment, descriptors: int | None = None) -> Program:
    """Start the program, and wait until it has an endpoint list."""
    program = await Program.start(environment, descriptors=descriptors)
    await until(lambda: environment.agent.watches() > 0)
    return program


def test_callers_that_connect_while_no_descriptor_is_free_are_served_afterwards(tmp_path: Path) -> None:
    """They must not be reset, as the event loop's own way to accept would do."""

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
                await asyncio.sleep(SHORTAGE_S)
            for client in clients:
                assert is_ok(await receive(client))
                client.close()

    run(test())


class FailingSocket:
    """A listening socket whose next calls of `accept` fail with these errors."""

    def __init__(self, real: socket.socket, *errors: int) -> None:
        self._real = real
        self.errors = list(errors)

    def accept(self) -> tuple[socket.socket, object]:
        if self.errors:
            raise OSError(self.errors.pop(0), "forced")
        return self._real.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self._real, name)


ERRORS = (
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


@pytest.mark.parametrize("error", ERRORS, ids=[errno.errorcode[number] for number in ERRORS])
def test_a_failure_to_accept_keeps_nobody_from_being_served(error: int, tmp_path: Path) -> None:
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


def test_a_new_configuration_is_taken_once_its_file_can_be_opened(tmp_path: Path) -> None:
    """A file that can't be opened for want of descriptors must be read later: the old address is stale."""

    async def test() -> None:
        moved = ScriptedDiscoveryAgent()
        await moved.start()
        async with node_environment(tmp_path, Server(), start=False) as environment:
            program = await start_program(environment)
            environment.path.write_text(json.dumps(environment.config | {"discovery": moved.address}))
            with no_free_descriptor(program.process.pid):
                program.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(SHORTAGE_S)
            await until(lambda: bool(moved.received))
        await moved.stop()

    run(test())


def test_a_system_limit_below_the_configured_one_holds(tmp_path: Path) -> None:
    """The lower of the two counts: else the table of descriptors becomes full."""
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


@pytest.mark.parametrize(("error", "tries"), [(errno.EMFILE, 4), (errno.EADDRINUSE, 1)])
def test_a_shortage_at_the_start_is_waited_out_and_an_address_in_use_is_not(
    error: int, tries: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node that restarts while descriptors run short must not end with status 2."""
    monkeypatch.setattr("workspond.__main__.LISTEN_RETRY_INTERVAL_S", 0.01)
    calls = []

    def fail_three_times(real: Callable[..., Listener], *args: Any) -> Listener:
        calls.append(args)
        if len(calls) <= 3:
            raise OSError(error, "forced")
        return real(*args)

    async def test() -> None:
        async with node_environment(tmp_path, Server(), start=False) as environment:
            environment.node = Node(read_config(str(environment.path)), asyncio.get_running_loop())
            failing = functools.partial(fail_three_times, Listener)
            monkeypatch.setattr("workspond.downstream.frontend.Listener", failing)
            if tries > 1:
                environment.address = await listen(environment.node, ("127.0.0.1", 0))
                environment.node.start()
                await ready_node(environment)
                assert (await environment.send_request("a")).status == 200
            else:
                with pytest.raises(OSError, match="forced"):
                    await listen(environment.node, ("127.0.0.1", 0))
            assert len(calls) == tries

    run(test())
