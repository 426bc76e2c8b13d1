"""The node's monotonic clock."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Return the time of a monotonic clock in milliseconds; its zero point is undefined."""
    return time.monotonic() * 1000.0
