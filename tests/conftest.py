"""Fixtures and hooks for all tests."""

from __future__ import annotations

import pytest

from tests.known_red import KnownRedError, load_known_failures
from workspond.upstream import connection as server_connection


@pytest.fixture(autouse=True)
def connections_reusable_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a connection be used again without delay; tests of the delay set it themselves.

    Which connection a request gets would depend on how fast the test runs otherwise.
    """
    monkeypatch.setattr(server_connection, "REUSE_DELAY_MS", 0.0)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect exactly the tests that KNOWN-RED.txt lists to fail; one of them that passes is an error."""
    try:
        listed = {failure.test: failure for failure in load_known_failures()}
    except KnownRedError as problem:
        raise pytest.UsageError(str(problem)) from None
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid].cause, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that are expected to fail, so that no run hides them."""
    for failure in load_known_failures():
        terminalreporter.write_line(f"KNOWN-RED: {failure.test}: {failure.cause}")
