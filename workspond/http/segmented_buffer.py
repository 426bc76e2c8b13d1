"""A buffer for the body of a message, in segments of one size.

The bodies of many connections grow at the same time. If each were one block of memory that is moved when it
grows, the blocks left behind would be too small for any body, and the process would take several times the
memory that is in use. A segment that is released fits any other body.
"""

from __future__ import annotations

SEGMENT_BYTES = 4096


class SegmentedBuffer:
    """Collects parts of a body; short parts take no more memory than long ones."""

    __slots__ = ("_last", "_segments")

    def __init__(self) -> None:
        self._segments: list[bytes] = []  # each of `SEGMENT_BYTES`
        self._last = bytearray()

    def __len__(self) -> int:
        """Return the number of bytes in the buffer."""
        return len(self._segments) * SEGMENT_BYTES + len(self._last)

    def append(self, part: bytes) -> None:
        """Append a part."""
        if len(self._last) + len(part) < SEGMENT_BYTES:
            self._last += part
        else:
            self._append_segments(memoryview(part))

    def _append_segments(self, part: memoryview) -> None:
        """Append a part that fills at least the last segment."""
        start = SEGMENT_BYTES - len(self._last)
        self._segments.append(b"".join((self._last, part[:start])))
        while len(part) - start >= SEGMENT_BYTES:
            self._segments.append(bytes(part[start : start + SEGMENT_BYTES]))
            start += SEGMENT_BYTES
        self._last = bytearray(part[start:])

    def take(self) -> bytes:
        """Return the content as one object and empty the buffer."""
        content = b"".join((*self._segments, self._last))
        self.clear()
        return content

    def clear(self) -> None:
        """Empty the buffer."""
        self._segments.clear()
        self._last.clear()
