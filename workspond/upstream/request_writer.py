"""Renders the requests that are forwarded to servers."""

from __future__ import annotations

from workspond.address import Address
from workspond.http.request import ClientRequest


def render_request(message: ClientRequest, address: Address, timeout_ms: float) -> bytes:
    """Render a request as one bytes object, so that a single write can send it.

    Args:
        message: The client's request.
        address: The address of the server, for the Host header.
        timeout_ms: The time left for the response, which is sent to the server in X-Budget.
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
