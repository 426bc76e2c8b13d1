"""Data that a connection has received and not parsed yet, with the times at which it was received."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class ReceivedPart(NamedTuple):
    """What one read has returned.

    Attributes:
        data: The data.
        received_at_ms: The time, by `now_ms`, at which it was received.
    """

    data: bytes
    received_at_ms: float


class ReceivedData:
    """A queue of bytes.

    Attributes:
        length: The number of bytes in the queue.
    """

    __slots__ = ("_first_offset", "_parts", "length")

    def __init__(self) -> None:
        self.length = 0
        self._parts: deque[ReceivedPart] = deque()
        self._first_offset = 0  # where the rest of the first part begins

    def append(self, data: bytes, received_at_ms: float) -> None:
        """Append the data of one read, which must not be empty."""
        self._parts.append(ReceivedPart(data, received_at_ms))
        self.length += len(data)

    def take(self, max_bytes: int) -> ReceivedPart:
        """Remove up to `max_bytes` that were received by one read; there must be some."""
        data, received_at_ms = self._parts[0]
        end = self._first_offset + max_bytes
        chunk = data[self._first_offset : end]
        if end < len(data):
            self._first_offset = end
        else:
            self._parts.popleft()
            self._first_offset = 0
        self.length -= len(chunk)
        return ReceivedPart(chunk, received_at_ms)

    def memory_bytes(self) -> int:
        """Return how much memory the data takes; a part stays until all of it is taken."""
        return self.length + self._first_offset

    def clear(self) -> None:
        """Drop all data."""
        self._parts.clear()
        self._first_offset = 0
        self.length = 0
