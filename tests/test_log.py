"""Log output: the node works although standard error is full, closed or not read."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import os
import socket
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.peers import (
    RESET,
    WAIT_TIMEOUT_S,
    NodeEnvironment,
    Server,
    free_port,
    node_environment,
    run,
    until,
)
from tests.test_wire import ROOT
from workspond.observability.log_output import LineHandler, LineWriter


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Provide the reading end and the writing end of a pipe."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def full_pipe(pipe: tuple[int, int]) -> tuple[int, int]:
    """Provide both ends of a pipe that is full and not read."""
    fill_pipe(pipe[1])
    return pipe


def fill_pipe(writer: int) -> None:
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"x" * 4096)
    os.set_blocking(writer, True)


async def start_program(
    environment: NodeEnvironment, stderr: int | None, closed: tuple[int, ...] = ()
) -> None:
    """Start the program with the given standard error, or with some descriptors closed.

    Returns once the program watches the discovery agent.
    """
    listen = f"127.0.0.1:{free_port()}"
    environment.path.write_text(environment.path.read_text().replace("127.0.0.1:0", listen))
    host, _, port = listen.rpartition(":")
    redirections = " ".join(f"{descriptor}>&-" for descriptor in closed)
    process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        f"exec {sys.executable} -m workspond {redirections}",
        cwd=ROOT,
        stderr=stderr,
        env=os.environ | {"NODE_CONFIG": str(environment.path)},
    )
    environment.processes.append(process)
    environment.address = (host, int(port))
    await until(lambda: environment.agent.watches() > 0)


def test_a_node_whose_log_pipe_is_full_serves(full_pipe: tuple[int, int], tmp_path: Path) -> None:
    """A blocking write of the first log line would keep the node from becoming ready."""

    async def test() -> None:
        async with node_environment(tmp_path, Server(), start=False) as environment:
            await start_program(environment, full_pipe[1])
            assert (await environment.send_request("a")).status == 200

    run(test())


def test_a_log_pipe_that_fills_up_later_drops_and_counts_lines_but_delays_no_request(
    pipe: tuple[int, int], tmp_path: Path
) -> None:
    """Once the pipe is read again, the number of dropped lines is logged."""

    async def test() -> None:
        reader, writer = pipe
        async with node_environment(tmp_path, Server(default=RESET), start=False) as environment:
            await start_program(environment, writer)
            pipe_size_bytes = fcntl.fcntl(writer, fcntl.F_GETPIPE_SZ)
            fill_pipe(writer)
            for number in range(5):
                # Each failure is one log line.
                assert (await environment.send_request(f"{number}", "pay")).status == 502
            os.read(reader, pipe_size_bytes)
            assert (await environment.send_request("after", "pay")).status == 502
            os.set_blocking(reader, False)
            text = b""
            async with asyncio.timeout(10.0):
                while b"request=after " not in text:
                    with contextlib.suppress(BlockingIOError):
                        text += os.read(reader, pipe_size_bytes)
                    await asyncio.sleep(0.01)
            assert b"(5 log lines dropped)" in text

    run(test())


def closed_pipe() -> int:
    reader, writer = os.pipe()
    os.close(reader)
    return writer


def full_device() -> int:
    return os.open("/dev/full", os.O_WRONLY)


def full_socket() -> int:
    """Return one end of a socket pair whose buffer is full, as the other end is not read."""
    writer, reader = socket.socketpair()
    writer.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            writer.send(b"x" * 4096)
    writer.setblocking(True)
    reader.detach()
    return writer.detach()


@pytest.mark.parametrize("open_stderr", [closed_pipe, full_device, full_socket])
def test_a_node_that_cannot_write_its_log_serves(open_stderr: Callable[[], int], tmp_path: Path) -> None:
    async def test() -> None:
        stderr = open_stderr()
        async with node_environment(tmp_path, Server(), start=False) as environment:
            await start_program(environment, stderr)
            assert (await environment.send_request("a")).status == 200
        os.close(stderr)

    run(test())


@pytest.mark.parametrize("closed", [(2,), (0, 1, 2)], ids=str)
def test_a_node_started_with_closed_standard_descriptors_does_not_log_into_its_sockets(
    closed: tuple[int, ...], tmp_path: Path
) -> None:
    """Otherwise a socket would get the number of standard error, and log lines would be written to it."""

    async def test() -> None:
        async with node_environment(tmp_path, Server(default=RESET), start=False) as environment:
            await start_program(environment, None, closed)
            client = await environment.client()
            for number in range(3):
                assert (await client.send_request(f"{number}", "pay")).status == 502
            [process] = environment.processes
            targets = [os.readlink(f"/proc/{process.pid}/fd/{number}") for number in closed]
            assert targets == ["/dev/null"] * len(closed)

    run(test())


def test_a_missing_configuration_exits_with_status_2_although_the_log_pipe_is_full(
    full_pipe: tuple[int, int], tmp_path: Path
) -> None:
    async def test() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "workspond",
            cwd=ROOT,
            stderr=full_pipe[1],
            env=os.environ | {"NODE_CONFIG": str(tmp_path / "none")},
        )
        assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S) == 2

    run(test())


def test_a_record_that_cannot_be_formatted_is_logged_without_its_arguments(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    handler = LineHandler(LineWriter(writer))
    handler.emit(logging.LogRecord("x", logging.INFO, "", 0, "%d of them", ("none",), None))
    assert b"%d of them" in os.read(reader, 1000)
