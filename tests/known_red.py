"""Tests that fail for a fault which is known and not yet mended, as KNOWN-RED.txt lists them.

A listed test still runs. Its failure passes; its success does not, so that a line goes once its fault has
been mended. Each line is `test id: cause, issue N`.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_LISTED = 3


class KnownRedError(Exception):
    """A list that can't be used; the text says in one line why."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of the list."""

    test: str
    cause: str


def read_known_failures(text: str) -> list[KnownFailure]:
    """Read the list; raises `BadKnownRed`. Blank lines and lines that begin with `#` count for nothing."""
    failures = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        test, separator, cause = line.partition(": ")
        if not separator or "issue" not in cause:
            raise KnownRedError(f"KNOWN-RED.txt: not of the form 'test id: cause, issue N': {line:.80}")
        failures.append(KnownFailure(test.strip(), cause.strip()))
    if len(failures) > MOST_LISTED:
        raise KnownRedError(f"KNOWN-RED.txt lists {len(failures)} tests; {MOST_LISTED} at most may fail")
    return failures


def load_known_failures() -> list[KnownFailure]:
    """The repository's list; without the file there is none."""
    return read_known_failures(PATH.read_text(encoding="utf-8")) if PATH.exists() else []
