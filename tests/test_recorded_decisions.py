"""The decisions of the policy: each reply of the simulator adapter matches its recording byte for byte.

A difference from the recordings is a change of behaviour. If it is intended, make new recordings with
`python -m tests.record_decisions tests/recordings`, and explain in the commit what changed and why.
"""

from __future__ import annotations

import io
from itertools import zip_longest
from pathlib import Path

import pytest

from tests.record_decisions import record
from tests.recorded_sessions import SESSIONS, Session
from workspond.simulator_adapter import serve

RECORDINGS = Path(__file__).parent / "recordings"
NAMES = [session.name for session in SESSIONS]
SHOWN_LENGTH = 600  # characters of a line in a failure message


def read_recording(name: str) -> list[str]:
    """Return the lines of a recording, alternately an input and its reply."""
    return (RECORDINGS / f"{name}.jsonl").read_text(encoding="utf-8").splitlines(keepends=True)


def first_difference(expected: list[str], found: list[str]) -> str | None:
    """Describe the first difference between two lists of lines; return None if they are equal."""
    for number, (old, new) in enumerate(zip_longest(expected, found), 1):
        if old == new:
            continue
        if old is None or new is None:
            return f"line {number}: recorded {old!r:.{SHOWN_LENGTH}}, now {new!r:.{SHOWN_LENGTH}}"
        position = next(at for at in range(len(old) + 1) if old[: at + 1] != new[: at + 1])
        shown = slice(max(0, position - SHOWN_LENGTH // 4), position + SHOWN_LENGTH)
        return f"line {number}, character {position}:\nrecorded ..{old[shown]!r}\nnow      ..{new[shown]!r}"
    return None


@pytest.mark.parametrize("name", NAMES)
def test_replies_to_recorded_inputs_match_the_recording(name: str) -> None:
    """The adapter's replies to the recorded inputs are the recorded replies."""
    lines = read_recording(name)
    inputs, replies = lines[::2], lines[1::2]
    sink, errors = io.StringIO(), io.StringIO()
    status = serve(io.StringIO("".join(inputs)), sink, errors)
    difference = first_difference(replies, sink.getvalue().splitlines(keepends=True))
    assert difference is None, f"{name}, reply {difference}"
    assert (status, errors.getvalue()) == (0, "")


@pytest.mark.parametrize("session", SESSIONS, ids=NAMES)
def test_recording_a_session_again_gives_the_same_file(session: Session) -> None:
    """The recorder reproduces each file byte for byte, so that new recordings can be made with it."""
    difference = first_difference(read_recording(session.name), record(session))
    assert difference is None, f"{session.name}, {difference}"


def test_recording_files_are_those_of_the_sessions() -> None:
    """Each file belongs to a session, and all files together stay small."""
    files = list(RECORDINGS.iterdir())
    assert sorted(file.name for file in files) == sorted(f"{name}.jsonl" for name in NAMES)
    assert sum(file.stat().st_size for file in files) < 400_000


def test_first_difference_names_line_and_position_of_the_difference() -> None:
    """The description shows both texts from shortly before the difference on."""
    assert first_difference(["a\n", "b\n"], ["a\n", "b\n"]) is None
    assert first_difference(["a\n", "bc\n"], ["a\n", "bd\n"]) == (
        "line 2, character 1:\nrecorded ..'bc\\n'\nnow      ..'bd\\n'"
    )
    assert first_difference(["a\n"], []) == "line 1: recorded 'a\\n', now None"
