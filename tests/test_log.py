"""The log: whatever becomes of it, the node goes on."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.peers import Server, World, free_port, run, until, world
from tests.test_wire import ROOT


@pytest.fixture
def full_pipe() -> Iterator[tuple[int, int]]:
    """Both ends of a pipe that nobody reads and that holds no byte more."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"x" * 4096)
    os.set_blocking(writer, True)
    yield reader, writer
    os.close(reader)
    os.close(writer)


async def start_with(scene: World, stderr: int) -> None:
    """Start the program with this as its standard error; wait until it is ready."""
    listen = f"127.0.0.1:{free_port()}"
    scene.path.write_text(scene.path.read_text().replace("127.0.0.1:0", listen))
    host, _, port = listen.rpartition(":")
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "orchidferry", cwd=ROOT, stderr=stderr,
        env=os.environ | {"NODE_CONFIG": str(scene.path)},
    )  # fmt: skip
    scene.processes.append(process)
    scene.address = (host, int(port))
    await until(lambda: scene.registry.watches() > 0)


def test_a_node_whose_log_is_not_read_serves(full_pipe: tuple[int, int], tmp_path: Path) -> None:
    """It blocked in its first line, and was never ready."""

    async def test() -> None:
        async with world(tmp_path, Server(), start=False) as scene:
            await start_with(scene, full_pipe[1])
            assert (await scene.ask("a")).status == 200

    run(test())
