"""Actions: the output of the policy, which the node carries out.

Ids are those that the node gave in events.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class SendAttempt:
    """Send the next attempt of a request.

    Attributes:
        request_id: The request.
        server_id: The server to send it to.
        timeout_ms: The attempt ends as `TIMEOUT` after this time.
        new_connection: Whether it needs a new connection. An idle one may have been dropped without a sign,
            and a request that is lost on it may have run.
        send_within_ms: If the attempt has not been written within this time, for example because the
            connection took too long, it must not be written any more and ends as `NOT_SENT`.
    """

    request_id: str
    server_id: int
    timeout_ms: float
    new_connection: bool = False
    send_within_ms: float = math.inf


@dataclass(slots=True)
class FailRequest:
    """End the request with an error, which leaves open whether it ran."""

    request_id: str


@dataclass(slots=True)
class RejectRequest:
    """End the request with a rejection, which tells the client that a retry is harmless.

    Attributes:
        request_id: The request.
        retry_after_ms: The advice when to retry; 0: none.
    """

    request_id: str
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt."""

    request_id: str
    attempt_number: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to a server."""

    server_id: int


@dataclass(slots=True)
class SetTimer:
    """Deliver `TimerFired` with this token after `delay_ms`."""

    token: int
    delay_ms: float


@dataclass(slots=True)
class Subscribe:
    """Subscribe to the endpoint list."""


@dataclass(slots=True)
class WriteLog:
    """Write a line to the log."""

    text: str


PolicyAction = (
    SendAttempt
    | FailRequest
    | RejectRequest
    | CancelAttempt
    | CloseIdleConnections
    | SetTimer
    | Subscribe
    | WriteLog
)
