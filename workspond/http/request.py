"""Client requests, and the error for an invalid request."""

from __future__ import annotations

from dataclasses import dataclass

OBJECT_BYTES = 512  # estimates a request without what can be long


@dataclass(slots=True)
class ClientRequest:
    """A validated client request.

    The method, the target, the request id, the key, the content type and the body are forwarded to servers
    as they were received.

    Attributes:
        method: The HTTP method.
        target: The request target, which is the path with the query.
        request_id: The value of the X-Call-Id header.
        class_name: The name of the request class.
        budget_ms: The time within which the client must be answered, counted from `received_at_ms`. It is the
            value of the X-Budget header, but at most the deadline of the class.
        tenant: The value of the X-Caller header in UTF-8, or None without the header. It is not decoded, as a
            text may take four times the memory.
        is_client_retry: Whether the client has sent this request before, according to its X-Again header.
        idempotency_key: The value of the Idempotency-Key header, or None without the header.
        content_type: The value of the Content-Type header, or None without the header.
        body: The complete body.
        received_at_ms: The time, by `now_ms`, at which the last byte of the request was received.
    """

    method: bytes
    target: bytes
    request_id: str
    class_name: str
    budget_ms: float
    tenant: bytes | None
    is_client_retry: bool
    idempotency_key: bytes | None
    content_type: bytes | None
    body: bytes
    received_at_ms: float

    def release(self) -> None:
        """Drop what may be long, because the request will not be sent to a server any more."""
        self.target = b""
        self.tenant = None
        self.content_type = None
        self.body = b""

    def memory_bytes(self) -> int:
        """Return how much memory the request takes."""
        return (
            OBJECT_BYTES
            + len(self.target)
            + len(self.body)
            + len(self.content_type or b"")
            + len(self.tenant or b"")
        )


class InvalidRequestError(Exception):
    """Raised for a request that can't be accepted; the text is the body of the error response."""
