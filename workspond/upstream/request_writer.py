"""The form in which a client's request goes on to a server."""

from __future__ import annotations

from workspond.address import Address
from workspond.http.request import ClientRequest


def render_request(message: ClientRequest, address: Address, timeout_ms: float) -> bytes:
    """Render a request in one piece, to be written at once.

    Args:
        message: What the client sent.
        address: The server's address.
        timeout_ms: How long the answer is waited for from now, which the server is told.
    """
    host, port = address
    parts = [
        message.method,
        b" ",
        message.target,
        b" HTTP/1.1\r\nHost: ",
        f"{host}:{port}\r\nX-Call-Id: {message.request_id}\r\n".encode(),
        f"X-Budget: {timeout_ms / 1000.0:.3f}\r\n".encode(),
    ]
    if message.idempotency_key is not None:
        parts += [b"Idempotency-Key: ", message.idempotency_key, b"\r\n"]
    if message.content_type is not None:
        parts += [b"Content-Type: ", message.content_type, b"\r\n"]
    if message.body or message.method != b"GET":
        parts.append(f"Content-Length: {len(message.body)}\r\n".encode())
    return b"".join((*parts, b"\r\n", message.body))
