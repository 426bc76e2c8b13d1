"""Tests that fail for a fault which is known and not yet mended, as KNOWN-RED.txt lists them.

A listed test still runs. It is expected to fail: its success fails the run, so that its line is removed once
the fault has been mended. Each line is `test id: cause, issue N`.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LISTED = 3


class KnownRedError(Exception):
    """A list of known failures that can't be used; the text says in one line why."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of the list: a test's id, and why it fails."""

    test: str
    cause: str


def read_known_failures(text: str) -> list[KnownFailure]:
    """Read the list; blank lines and lines that begin with `#` are skipped.

    Raises:
        KnownRedError: A line has no cause or no issue, or too many tests are listed.
    """
    failures = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        test, separator, cause = line.partition(": ")
        if not separator or "issue" not in cause:
            raise KnownRedError(f"KNOWN-RED.txt: not of the form 'test id: cause, issue N': {line:.80}")
        failures.append(KnownFailure(test.strip(), cause.strip()))
    if len(failures) > MAX_LISTED:
        raise KnownRedError(f"KNOWN-RED.txt lists {len(failures)} tests; {MAX_LISTED} at most may fail")
    return failures


def load_known_failures() -> list[KnownFailure]:
    """Read the repository's list; it is empty without the file. Raises as `read_known_failures` does."""
    return read_known_failures(PATH.read_text(encoding="utf-8")) if PATH.exists() else []
