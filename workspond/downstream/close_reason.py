"""Reasons for closing client connections and abandoning requests, as written to counters and the log."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """The reason why the node closed a client connection."""

    NODE_STOPPING = "node is stopping"
    TOO_MANY_CONNECTIONS = "too many connections"
    RESPONSE_NOT_READ = "client did not read its response"
    NO_REQUEST = "no request in time"
    IDLE = "idle timeout"
    MEMORY_SHORT = "memory is short"


class AbandonReason(StrEnum):
    """The reason why a request was abandoned before its response was sent."""

    CLIENT_DISCONNECTED = "client disconnected"
    REJECTION_DUE = "a rejection behind it was due"


def rejected_with(status: int) -> str:
    """Return the reason for closing a connection after a rejection with this HTTP status."""
    return f"rejected with {status}"
