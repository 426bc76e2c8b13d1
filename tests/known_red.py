"""Reads KNOWN-RED.txt, the list of tests that fail because of a known fault.

A listed test still runs and is expected to fail. If it passes, the run fails, so that its line is removed
once the fault is fixed. Each line has the form `test id: cause, issue N`.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_LISTED = 3


class KnownRedError(Exception):
    """Raised if KNOWN-RED.txt is invalid; the message gives the reason in one line."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of the list: the id of a test and the cause of its failure."""

    test: str
    cause: str


def parse_known_failures(text: str) -> list[KnownFailure]:
    """Parse the list; blank lines and lines that begin with `#` are skipped.

    Raises:
        KnownRedError: A line has no cause or no issue, or more than `MAX_LISTED` tests are listed.
    """
    failures = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        test, separator, cause = line.partition(": ")
        if not separator or "issue" not in cause:
            raise KnownRedError(f"KNOWN-RED.txt: a line must be 'test id: cause, issue N', is {line!r:.80}")
        failures.append(KnownFailure(test.strip(), cause.strip()))
    if len(failures) > MAX_LISTED:
        raise KnownRedError(f"KNOWN-RED.txt must list at most {MAX_LISTED} tests, lists {len(failures)}")
    return failures


def load_known_failures() -> list[KnownFailure]:
    """Load the repository's list, or an empty list without the file; raises `KnownRedError`."""
    return parse_known_failures(PATH.read_text(encoding="utf-8")) if PATH.exists() else []
