"""The list of tests that may fail is short, and each line says why."""

from __future__ import annotations

import pytest

from tests.known_red import MAX_LISTED, KnownFailure, KnownRedError, read_known_failures

LINE = "tests/test_x.py::test_y: it breaks, issue 7"


def test_each_line_names_a_test_and_its_cause() -> None:
    assert read_known_failures(f"# comment\n\n{LINE}\n") == [
        KnownFailure("tests/test_x.py::test_y", "it breaks, issue 7")
    ]


@pytest.mark.parametrize(
    "text",
    ["tests/test_x.py::test_y", "tests/test_x.py::test_y: no reason given", f"{LINE}\n" * (MAX_LISTED + 1)],
)
def test_a_line_without_a_cause_and_a_long_list_are_refused(text: str) -> None:
    with pytest.raises(KnownRedError):
        read_known_failures(text)
