"""Size limits of HTTP messages, which apply to client connections and to server connections."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024  # the protocol sets this limit
MAX_HEAD_BYTES = 16 * 1024  # covers the start line and the headers
