"""Events: the input of the policy.

Ids are chosen by the node and come back unchanged in actions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from workspond.policy.endpoint import Endpoint


class UpdateKind(Enum):
    """What an update of the endpoint list contains."""

    INCREMENTAL = "incremental"  # the entries that changed
    COMPLETE = "complete"  # all entries; replaces the previous list
    CACHED = "cached"  # all entries as the node last saved them; they may be out of date
    FAILED = "failed"  # no entries: a subscription or a poll failed


class Outcome(IntEnum):
    """How an attempt ended.

    `REJECTED`, `CONNECT_FAILED` and `NOT_SENT` prove that it never ran; `REJECTED` does not where
    `Settings.rejected_may_have_run` is set.
    """

    SUCCESS = 0  # a complete response
    ERROR = 1  # the server answered that it failed
    REJECTED = 2  # the server answered that it does not take the request now
    TIMEOUT = 3  # no response within the timeout of the attempt
    CONNECT_FAILED = 4  # no connection to the server
    RESET = 5  # the connection was lost before the response was complete
    CANCELLED = 6  # the node cancelled it
    NOT_SENT = 7  # it was blocked before it was written


@dataclass(slots=True)
class NodeStarted:
    """The node has started."""


@dataclass(slots=True)
class EndpointUpdate:
    """An update of the endpoint list.

    Attributes:
        kind: What `endpoints` contains.
        version: The version of the list.
        endpoints: The entries.
    """

    kind: UpdateKind
    version: int = 0
    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass(slots=True)
class RequestReceived:
    """The node has received a request, which gets one final answer.

    Attributes:
        request_id: The node's id of the request.
        class_name: The name of its `RequestClass`.
        ttl_ms: For how long the client waits for the answer.
        tenant: The name of the tenant that it belongs to, if any.
        is_client_retry: Whether the client says that it is a retry.
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
        request_id: The request.
        attempt_number: The attempt among those of the request, from 0.
        server_id: The server.
        outcome: How it ended.
        duration_ms: The time from send to end.
        request_finished: Whether the request has its final answer, or needs none any more.
        load_report: What the server reported of its load in the response, by name. The policy uses `queue`,
            the number of requests that wait there.
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
    """The request needs no answer any more, as its client has disconnected."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """A timer of `SetTimer` has fired."""

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
