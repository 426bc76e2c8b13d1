"""Sizes that hold for messages on every connection."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024  # bytes, by the protocol
MAX_HEAD_BYTES = 16 * 1024  # bytes of a start line with its headers
