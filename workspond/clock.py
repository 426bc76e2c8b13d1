"""The node's clock."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Return the current moment in milliseconds, on a monotonic clock that starts anywhere."""
    return time.monotonic() * 1000.0
