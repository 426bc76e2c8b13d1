"""Shortages while callers connect: they wait in the backlog until there is room again."""

from __future__ import annotations

import asyncio
import errno
import functools
import json
import os
import resource
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest

from tests.peers import LIMIT_S, Registry, Server, request, run, until, world
from tests.program import Program
from workspond.__main__ import listen
from workspond.config import read_config
from workspond.downstream.listener import Listener
from workspond.node import Node

SHORTAGE_S = 0.5


def lowest_free_descriptor(pid: int) -> int:
    """With this as its limit a process has none left, and any that it closes can be had again."""
    used = {int(name) for name in os.listdir(f"/proc/{pid}/fd")}
    return next(number for number in range(len(used) + 1) if number not in used)


def limit_descriptors(pid: int, count: int) -> None:
    _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, hard))


def test_callers_that_connect_while_no_descriptor_is_free_are_served_afterwards(tmp_path: Path) -> None:
    """Each was reset: the event loop's library closes what waits to get out of the jam."""

    async def test() -> None:
        async with world(tmp_path, Server(), start=False) as scene:
            program = await Program.start(scene)
            pid = program.process.pid
            await until(lambda: scene.registry.watches() > 0)
            assert (await scene.ask("before")).status == 200
            scene.callers.pop().writer.close()
            await asyncio.sleep(0.1)
            limit_descriptors(pid, lowest_free_descriptor(pid))
            callers = []
            for n in range(5):
                caller = socket.create_connection(scene.address, LIMIT_S)
                caller.sendall(request(f"{n}"))
                callers.append(caller)
            await asyncio.sleep(SHORTAGE_S)
            limit_descriptors(pid, 1024)
            for caller in callers:
                reply = await asyncio.to_thread(caller.recv, 1000)
                assert reply.startswith(b"HTTP/1.1 200")
                caller.close()

    run(test())


class FailingSocket:
    """A listening socket whose next calls of `accept` fail with these errors."""

    def __init__(self, real: socket.socket, *errors: int) -> None:
        self._real, self.errors = real, list(errors)

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
        async with world(tmp_path, Server()) as scene:
            assert scene.node is not None
            await until(lambda: scene.node is not None and scene.node.is_ready())
            listener = scene.node.frontend._listener
            assert listener is not None
            failing = FailingSocket(listener._socket, error, error)
            listener._socket = cast(socket.socket, failing)
            assert (await scene.ask("a")).status == 200
            assert not failing.errors
            assert (await scene.ask("b")).status == 200

    run(test())


def test_a_new_configuration_is_taken_once_its_file_can_be_opened(tmp_path: Path) -> None:
    """Read in a shortage of descriptors it could not be opened, and the old address stayed for good."""

    async def test() -> None:
        moved = Registry()
        await moved.start()
        async with world(tmp_path, Server(), start=False) as scene:
            program = await Program.start(scene)
            pid = program.process.pid
            await until(lambda: scene.registry.watches() > 0)
            scene.path.write_text(json.dumps(scene.config | {"discovery": moved.address}))
            limit_descriptors(pid, lowest_free_descriptor(pid))
            program.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(SHORTAGE_S)
            limit_descriptors(pid, 1024)
            await until(lambda: bool(moved.seen))
        await moved.stop()

    run(test())


def test_a_system_limit_below_the_configured_one_holds(tmp_path: Path) -> None:
    """The configured one alone was counted by, and the table ran full."""
    limit = 128

    async def test() -> None:
        async with world(tmp_path, Server(), start=False) as scene:
            program = await Program.start(scene, descriptors=limit)
            await until(lambda: scene.registry.watches() > 0)
            idle = [socket.create_connection(scene.address, LIMIT_S) for _ in range(limit)]
            assert (await scene.ask("a")).status == 200
            assert len(os.listdir(f"/proc/{program.process.pid}/fd")) < limit - 10
            for caller in idle:
                caller.close()

    run(test())


@pytest.mark.parametrize(("error", "tries"), [(errno.EMFILE, 4), (errno.EADDRINUSE, 1)])
def test_a_shortage_at_the_start_is_waited_out_and_an_address_in_use_is_not(
    error: int, tries: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Found by the soak: a node that restarted while descriptors ran short ended with status 2."""
    monkeypatch.setattr("workspond.__main__.LISTEN_RETRY_INTERVAL_S", 0.01)
    calls = []

    def fail(real: Callable[..., Listener], *args: Any) -> Listener:
        calls.append(args)
        if len(calls) <= 3:
            raise OSError(error, "forced")
        return real(*args)

    async def test() -> None:
        async with world(tmp_path, Server(), start=False) as scene:
            scene.node = Node(read_config(str(scene.path)), asyncio.get_running_loop())
            monkeypatch.setattr("workspond.downstream.frontend.Listener", functools.partial(fail, Listener))
            if tries > 1:
                scene.address = await listen(scene.node, ("127.0.0.1", 0))
                scene.node.start()
                await until(lambda: scene.node is not None and scene.node.is_ready())
                assert (await scene.ask("a")).status == 200
            else:
                with pytest.raises(OSError, match="forced"):
                    await listen(scene.node, ("127.0.0.1", 0))
            assert len(calls) == tries

    run(test())
