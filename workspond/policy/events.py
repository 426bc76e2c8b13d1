"""What happens to a node, as typed events: the input of the decisions.

Times are in milliseconds. Ids are the node's own and come back unchanged in actions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from workspond.policy.endpoint import Endpoint


class UpdateKind(Enum):
    """What a piece of news from discovery is."""

    INCREMENTAL = "incremental"  # only the entries that changed
    COMPLETE = "complete"  # replaces the old list
    CACHED = "cached"  # the list as the node last had it, perhaps old
    FAILED = "failed"  # a subscription or call failed or broke; no entries


class Outcome(IntEnum):
    """How an attempt ended.

    `REJECTED`, `CONNECT_FAILED` and `NOT_SENT` prove that it never ran, but for `REJECTED` where the settings
    say so (`rejected_may_have_run`).
    """

    SUCCESS = 0
    ERROR = 1
    REJECTED = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


@dataclass(slots=True)
class NodeStarted:
    """The node is up."""


@dataclass(slots=True)
class EndpointUpdate:
    """News from discovery."""

    kind: UpdateKind
    version: int = 0
    endpoints: list[Endpoint] = field(default_factory=list)


@dataclass(slots=True)
class RequestReceived:
    """The node has accepted a request and owes it one final answer."""

    request_id: str
    class_name: str
    ttl_ms: float
    tenant: str | None = None
    is_client_retry: bool = False


@dataclass(slots=True)
class AttemptEnded:
    """An attempt is over. `settled`: nothing more is owed for the request."""

    request_id: str
    attempt_number: int
    server_id: int
    outcome: Outcome
    duration_ms: float
    request_finished: bool
    load_report: dict[str, float] | None = None


@dataclass(slots=True)
class StreamStarted:
    """The answer to an attempt has begun to flow; the request is bound to it."""

    request_id: str
    attempt_number: int
    server_id: int


@dataclass(slots=True)
class RequestAbandoned:
    """Nobody waits for this request any more."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """A timer has come due."""

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
