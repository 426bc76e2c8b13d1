"""The log line that reports the memory, connections and requests of the process."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest

from tests.client_helpers import ready_node
from tests.peers import HANG, Server, node_environment, request, run, until
from workspond.observability.resource_usage import log_usage


def test_the_usage_line_has_the_requests_and_connections_of_the_moment(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO, "workspond")

    async def test() -> None:
        async with node_environment(tmp_path, Server(default=HANG)) as environment:
            node = await ready_node(environment)
            client = await environment.client()
            client.write(request("a", "pay"))
            await until(lambda: node.resource_usage().attempts == 1)
            log_usage(node.resource_usage())

    run(test())
    [line] = [text for text in caplog.messages if text.startswith("usage: ")]
    assert "client_connections=1 server_connections=1 requests=1 attempts=1" in line
    resident_bytes = int(line.partition("resident_bytes=")[2].split()[0])
    assert resident_bytes > 1_000_000
