"""What the decision code does, as recorded sessions of the simulator's wire: every reply, byte for byte.

A change of these files is a change of behaviour. Where one is meant, record anew by
`python -m tests.record_decisions tests/recordings` and say in the commit what changed and why.
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
SHOWN = 600  # characters of a line that a message shows


def read_recording(name: str) -> list[str]:
    """The lines of a recording: input and reply in turn."""
    return (RECORDINGS / f"{name}.jsonl").read_text(encoding="utf-8").splitlines(keepends=True)


def first_difference(expected: list[str], found: list[str]) -> str | None:
    """Where two lists of lines first differ, told with the differing part of both; None: nowhere."""
    for number, (old, new) in enumerate(zip_longest(expected, found), 1):
        if old == new:
            continue
        if old is None or new is None:
            return f"line {number}: recorded {old!r:.{SHOWN}}, now {new!r:.{SHOWN}}"
        same = next(at for at in range(len(old) + 1) if old[: at + 1] != new[: at + 1])
        shown = slice(max(0, same - SHOWN // 4), same + SHOWN)
        return f"line {number}, character {same}:\nrecorded ..{old[shown]!r}\nnow      ..{new[shown]!r}"
    return None


@pytest.mark.parametrize("name", NAMES)
def test_replies_are_as_recorded(name: str) -> None:
    """The adapter answers each recorded batch with the recorded reply."""
    lines = read_recording(name)
    inputs, replies = lines[::2], lines[1::2]
    sink, errors = io.StringIO(), io.StringIO()
    status = serve(io.StringIO("".join(inputs)), sink, errors)
    difference = first_difference(replies, sink.getvalue().splitlines(keepends=True))
    assert difference is None, f"{name}, reply {difference}"
    assert (status, errors.getvalue()) == (0, "")


@pytest.mark.parametrize("session", SESSIONS, ids=NAMES)
def test_a_recording_can_be_made_again(session: Session) -> None:
    """The recorder makes each file anew, byte for byte, so that others like it can be made."""
    difference = first_difference(read_recording(session.name), record(session))
    assert difference is None, f"{session.name}, {difference}"


def test_every_recording_is_replayed() -> None:
    """No file lies there unread, and all of them together stay small."""
    files = list(RECORDINGS.iterdir())
    assert sorted(file.name for file in files) == sorted(f"{name}.jsonl" for name in NAMES)
    assert sum(file.stat().st_size for file in files) < 400_000


def test_a_difference_is_told_where_it_is() -> None:
    """The message names the line and shows both texts from shortly before the difference on."""
    assert first_difference(["a\n", "b\n"], ["a\n", "b\n"]) is None
    assert first_difference(["a\n", "bc\n"], ["a\n", "bd\n"]) == (
        "line 2, character 1:\nrecorded ..'bc\\n'\nnow      ..'bd\\n'"
    )
    assert first_difference(["a\n"], []) == "line 1: recorded 'a\\n', now None"
