"""The log lines that tell which endpoint list a node uses."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest

from tests.peers import Server, node_environment, run, until

APPLIED = "endpoint list applied: "


def test_each_applied_list_is_logged_with_its_kind_version_and_servers(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Without these lines, the log did not tell whether a new process used its cached list."""
    caplog.set_level(logging.INFO, "workspond")

    async def test() -> None:
        first, second = Server(name="first"), Server(name="second")
        async with node_environment(tmp_path, first, second) as environment:
            agent = environment.agent
            await until(lambda: agent.watches() == 1)
            agent.publish(second.entry(status="leaving"))
            await until(lambda: agent.watches() == 2)
            agent.publish()
            await until(lambda: agent.watches() == 3)
            agent.publish(first.entry(), snapshot=True)
            await until(lambda: agent.watches() == 4)

    run(test())
    assert [text.removeprefix(APPLIED) for text in caplog.messages if text.startswith(APPLIED)] == [
        "kind=complete version=1 entries=2 removed=0 in_service=2",
        "kind=incremental version=2 entries=1 removed=0 in_service=1",
        "kind=complete version=4 entries=0 removed=1 in_service=1",
    ]
