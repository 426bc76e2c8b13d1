"""The buffer for bodies gives back what was put in, and its memory can be used again."""

from __future__ import annotations

import subprocess
import sys

import pytest

from tests.test_wire import ROOT
from workspond.http.segmented_buffer import SEGMENT_BYTES, SegmentedBuffer

# The bodies of many connections grow by turns; while they take too much together, the longest are dropped.
GROWTH = """
from workspond.http.request_parser import RequestParser
from workspond.http.response import Response
from workspond.observability.resource_usage import resident_bytes
HEAD = b"POST /pay HTTP/1.1\\r\\nContent-Length: 64000\\r\\n\\r\\n"
COUNT, LIMIT_BYTES, READ_BYTES, READS = 500, 12_000_000, 16_000, 3
before_bytes = resident_bytes()
for _ in range(2):
    parsers = [RequestParser({}, Response) for _ in range(COUNT)]
    for parser in parsers:
        parser.feed(HEAD, 0.0)
    for _ in range(READS):
        for index, parser in enumerate(parsers):
            if parser.is_finished:
                continue
            parser.feed(bytes(READ_BYTES), 0.0)
            while sum(each.partial_bytes() for each in parsers) > LIMIT_BYTES:
                longest = max(parsers, key=RequestParser.partial_bytes)
                longest.is_finished = True
                longest.discard_body()
                longest.discard_message()
    for parser in parsers:
        parser.close()
print((resident_bytes() - before_bytes) / LIMIT_BYTES)
"""
MAX_MEMORY_RATIO = 1.5


@pytest.mark.parametrize("part_bytes", [1, SEGMENT_BYTES - 1, SEGMENT_BYTES, 3 * SEGMENT_BYTES + 5])
def test_the_parts_are_joined_in_order(part_bytes: int) -> None:
    buffer = SegmentedBuffer()
    parts = [bytes([number]) * part_bytes for number in range(5)]
    for part in parts:
        buffer.append(part)
    assert len(buffer) == 5 * part_bytes
    assert buffer.take() == b"".join(parts)
    assert len(buffer) == 0 and buffer.take() == b""


def test_the_memory_of_bodies_that_grow_by_turns_is_used_again() -> None:
    """Guards against bodies that take several times their length as they are moved while they grow."""
    result = subprocess.run(
        [sys.executable, "-c", GROWTH], check=True, capture_output=True, text=True, cwd=ROOT
    )
    assert float(result.stdout) < MAX_MEMORY_RATIO
