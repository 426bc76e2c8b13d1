"""The response to a client, and its form on the connection."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus


@dataclass(slots=True)
class Response:
    """A response to a client."""

    status: int
    body: bytes = b""
    content_type: bytes | None = None
    retry_after_s: float | None = None


def render(response: Response, *, close: bool) -> bytes:
    """A response in one piece, to be written at once; `close`: it is the last of its connection."""
    lines = [f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}\r\n"]
    if response.content_type is not None:
        lines.append(f"Content-Type: {response.content_type.decode('latin-1')}\r\n")
    if response.retry_after_s is not None:
        lines.append(f"Retry-After: {response.retry_after_s:.3f}\r\n")
    if close:
        lines.append("Connection: close\r\n")
    lines.append(f"Content-Length: {len(response.body)}\r\n\r\n")
    return "".join(lines).encode("latin-1") + response.body
