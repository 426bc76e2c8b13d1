"""A request of a client, and the error for one that is not valid."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ClientRequest:
    """A valid request as it was received, with what must be forwarded unchanged."""

    method: bytes
    target: bytes
    request_id: str
    class_name: str
    budget_ms: float
    tenant: str | None
    is_client_retry: bool
    idempotency_key: bytes | None
    content_type: bytes | None
    body: bytes
    received_at_ms: float  # when its last byte was received, by `now_ms`: its budget runs from there


class InvalidRequestError(Exception):
    """A request that can't be accepted; the text tells the client why."""
