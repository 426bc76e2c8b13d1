"""Why the node closes a client's connection or gives up its request, as counters and the log name it."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """Why the node closed a connection."""

    NODE_STOPPING = "node is stopping"
    TOO_MANY_CONNECTIONS = "too many connections"
    RESPONSE_NOT_READ = "client did not read its response"
    NO_REQUEST = "no request in time"
    IDLE = "idle timeout"


class AbandonReason(StrEnum):
    """Why a request is given up before it has its response."""

    CLIENT_DISCONNECTED = "client disconnected"
    REJECTION_DUE = "a rejection behind it was due"


def rejected_with(status: int) -> str:
    """The reason for closing a connection on which a message was rejected."""
    return f"rejected with {status}"
