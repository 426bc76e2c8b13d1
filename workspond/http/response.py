"""Responses to clients and how they are rendered."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

OBJECT_BYTES = 128  # estimates a response without its body


@dataclass(slots=True)
class Response:
    """A response to a client.

    Attributes:
        status: The HTTP status.
        body: The complete body.
        content_type: The value of the Content-Type header; None to omit the header.
        retry_after_s: The value of the Retry-After header in seconds; None to omit the header.
    """

    status: int
    body: bytes = b""
    content_type: bytes | None = None
    retry_after_s: float | None = None

    def memory_bytes(self) -> int:
        """Return how much memory the response takes."""
        return OBJECT_BYTES + len(self.body)


def render(response: Response, *, close: bool) -> bytes:
    """Render a response as one bytes object, so that a single write can send it.

    Args:
        response: The response.
        close: Whether the connection closes after this response.
    """
    lines = [f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}\r\n"]
    if response.content_type is not None:
        lines.append(f"Content-Type: {response.content_type.decode('latin-1')}\r\n")
    if response.retry_after_s is not None:
        lines.append(f"Retry-After: {response.retry_after_s:.3f}\r\n")
    if close:
        lines.append("Connection: close\r\n")
    lines.append(f"Content-Length: {len(response.body)}\r\n\r\n")
    return "".join(lines).encode("latin-1") + response.body
