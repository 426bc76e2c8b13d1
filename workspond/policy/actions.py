"""Actions: the output of the policy, which the node carries out.

Actions refer to requests and servers by the ids that the node used in events.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


@dataclass(slots=True)
class SendAttempt:
    """Send the next attempt of a request.

    Attributes:
        request_id: The id of the request.
        server_id: The id of the server to send it to.
        timeout_ms: The time after which the attempt ends with the outcome `TIMEOUT`.
        new_connection: Whether the attempt needs a new connection. An idle connection may have been dropped
            without notice, and a request that is lost on it may have run.
        send_within_ms: The time within which the attempt must be written to its connection. If that is not
            possible, for example because connecting took too long, the attempt ends as `NOT_SENT`.
    """

    request_id: str
    server_id: int
    timeout_ms: float
    new_connection: bool = False
    send_within_ms: float = math.inf


class EndReason(Enum):
    """The reason why the policy ends a request without a server's answer."""

    LOAD_SHED = "load shed"
    NO_TIME_TO_QUEUE = "no time left to wait in the queue"
    QUEUE_TIMEOUT = "time in the queue over"
    RETRY_DENIED = "retry denied by the controller"
    NO_USEFUL_ATTEMPT = "no further attempt allowed or in time"


@dataclass(slots=True)
class FailRequest:
    """End the request with an error, which does not tell the client whether the request ran.

    Attributes:
        request_id: The id of the request.
        reason: The reason for the log.
    """

    request_id: str
    reason: EndReason = field(default=EndReason.NO_USEFUL_ATTEMPT, compare=False)


@dataclass(slots=True)
class RejectRequest:
    """End the request with a rejection, which tells the client that it may safely retry.

    Attributes:
        request_id: The id of the request.
        retry_after_ms: The time that the client is advised to wait before a retry; 0 for no advice.
        reason: The reason for the log.
    """

    request_id: str
    retry_after_ms: float = 0.0
    reason: EndReason = field(default=EndReason.NO_USEFUL_ATTEMPT, compare=False)


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight."""

    request_id: str
    attempt_number: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to a server."""

    server_id: int


@dataclass(slots=True)
class SetTimer:
    """Deliver a `TimerFired` event with this token after `delay_ms`."""

    token: int
    delay_ms: float


@dataclass(slots=True)
class Subscribe:
    """Subscribe to updates of the endpoint list."""


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
