"""What holds for all tests."""

from __future__ import annotations

import pytest

from orchidferry import upstream


@pytest.fixture(autouse=True)
def connections_that_need_no_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Which connection a request gets must not hang on how fast the test runs; the rest has its own tests."""
    monkeypatch.setattr(upstream, "REST_MS", 0.0)
