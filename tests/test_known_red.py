"""Tests of the parser of KNOWN-RED.txt."""

from __future__ import annotations

import pytest

from tests.known_red import MAX_LISTED, KnownFailure, KnownRedError, parse_known_failures

LINE = "tests/test_x.py::test_y: it breaks, issue 7"


def test_a_line_is_parsed_into_a_test_id_and_its_cause() -> None:
    assert parse_known_failures(f"# comment\n\n{LINE}\n") == [
        KnownFailure("tests/test_x.py::test_y", "it breaks, issue 7")
    ]


@pytest.mark.parametrize(
    "text",
    ["tests/test_x.py::test_y", "tests/test_x.py::test_y: no reason given", f"{LINE}\n" * (MAX_LISTED + 1)],
)
def test_a_line_without_a_cause_or_issue_or_a_list_over_the_maximum_raises(text: str) -> None:
    with pytest.raises(KnownRedError):
        parse_known_failures(text)
