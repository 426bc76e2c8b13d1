"""Events: the input of the policy.

The node chooses the ids of requests and servers. The policy returns them unchanged in its actions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from workspond.policy.endpoint import Endpoint


class UpdateKind(Enum):
    """What an update of the endpoint list contains."""

    INCREMENTAL = "incremental"  # only the entries that changed
    COMPLETE = "complete"  # all entries; they replace the previous list
    CACHED = "cached"  # all entries as last saved by the node; they may be out of date
    FAILED = "failed"  # no entries, as a subscription or a poll failed


class Outcome(IntEnum):
    """How an attempt ended.

    After `REJECTED`, `CONNECT_FAILED` and `NOT_SENT` it is certain that the attempt never ran. `REJECTED` is
    an exception if `Settings.rejected_may_have_run` is set.
    """

    SUCCESS = 0  # the server sent a complete response
    ERROR = 1  # the server answered that the request failed
    REJECTED = 2  # the server answered that it does not accept the request now
    TIMEOUT = 3  # no response arrived within the timeout of the attempt
    CONNECT_FAILED = 4  # no connection to the server could be opened
    RESET = 5  # the connection was lost before the response was complete
    CANCELLED = 6  # the node cancelled the attempt
    NOT_SENT = 7  # the node blocked the attempt before it was written to a connection


@dataclass(slots=True)
class NodeStarted:
    """The node has started."""


@dataclass(slots=True)
class EndpointUpdate:
    """An update of the endpoint list.

    Attributes:
        kind: What `endpoints` contains.
        version: The version of the endpoint list.
        endpoints: The entries of the update.
    """

    kind: UpdateKind
    version: int = 0
    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass(slots=True)
class RequestReceived:
    """The node has received a request, which must get exactly one final answer.

    Attributes:
        request_id: The id that the node gave the request.
        class_name: The name of the request's `RequestClass`.
        ttl_ms: The time that the client waits for the answer.
        tenant: The name of the tenant that sent the request, if any.
        is_client_retry: Whether the client marked the request as a retry.
    """

    request_id: str
    class_name: str
    ttl_ms: float
    tenant: str | None = None
    is_client_retry: bool = False


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        request_id: The id of the request.
        attempt_number: The index of the attempt among the attempts of the request, from 0.
        server_id: The id of the server.
        outcome: How the attempt ended.
        duration_ms: The time from the start of the attempt to its end.
        request_finished: Whether the request has its final answer, or no longer needs one.
        load_report: The load figures that the server reported in the response, by name; None if it reported
            none. The policy uses `queue`, the number of requests waiting at the server.
    """

    request_id: str
    attempt_number: int
    server_id: int
    outcome: Outcome
    duration_ms: float
    request_finished: bool
    load_report: dict[str, float] | None = None


@dataclass(slots=True)
class StreamStarted:
    """The response to an attempt has begun to stream to the client, so the request cannot be retried."""

    request_id: str
    attempt_number: int
    server_id: int


@dataclass(slots=True)
class RequestAbandoned:
    """The client of a request has disconnected, so the request no longer needs an answer."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """A timer that was set with `SetTimer` has fired."""

    token: int


PolicyEvent = (
    NodeStarted
    | EndpointUpdate
    | RequestReceived
    | AttemptEnded
    | StreamStarted
    | RequestAbandoned
    | TimerFired
)
