"""Size limits of messages, the same on every connection."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024  # set by the protocol
MAX_HEAD_BYTES = 16 * 1024  # of a start line with its headers
