"""Fixtures and hooks for all tests."""

from __future__ import annotations

import pytest

from tests.known_red import KnownRedError, load_known_failures
from workspond.upstream import connection as server_connection


@pytest.fixture(autouse=True)
def no_connection_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remove the delay before a connection is reused; tests of the delay set it themselves.

    With the delay, the connection that a request gets would depend on the speed of the test.
    """
    monkeypatch.setattr(server_connection, "REUSE_DELAY_MS", 0.0)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests listed in KNOWN-RED.txt as expected failures; it is an error if one of them passes."""
    try:
        listed = {failure.test: failure for failure in load_known_failures()}
    except KnownRedError as problem:
        raise pytest.UsageError(str(problem)) from None
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid].cause, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that are expected to fail, so that every run shows them."""
    for failure in load_known_failures():
        terminalreporter.write_line(f"KNOWN-RED: {failure.test}: {failure.cause}")
