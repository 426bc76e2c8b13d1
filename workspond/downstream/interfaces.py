"""What the connections of clients and the rest of the node use of each other."""

from __future__ import annotations

from typing import Protocol, TypeVar

from workspond.downstream.buffer_budget import BufferBudget, BufferingConnection
from workspond.downstream.connection_states import ConnectionState
from workspond.downstream.turn_scheduler import TurnScheduler
from workspond.http.request import ClientRequest
from workspond.http.response import Response
from workspond.observability.connection_trace import ConnectionTracer
from workspond.policy.settings import RequestClass

Connection_contra = TypeVar("Connection_contra", contravariant=True)


class AcceptedRequest(Protocol):
    """The part of an accepted request that a client connection uses."""

    def abandon(self, reason: str) -> None:
        """Cancel the request, because its client no longer waits for the response."""


class ResponseReceiver(Protocol):
    """The part of a client connection to which the node sends the response to a request."""

    def send_response(self, response: Response) -> None:
        """Send the response to the request; called at most once for each request."""

    def has_disconnected(self) -> bool:
        """Return whether the client no longer waits for the response."""


class ConnectionOwner(Protocol[Connection_contra]):
    """The part of the frontend that a client connection uses."""

    classes: dict[str, RequestClass]
    tracer: ConnectionTracer
    buffers: BufferBudget[BufferingConnection]
    turns: TurnScheduler

    def accept(self, request: ClientRequest, receiver: ResponseReceiver) -> AcceptedRequest:
        """Pass a request to the node.

        Raises:
            InvalidRequestError: The node can't accept the request.
        """

    def internal_path_response(self, path: bytes) -> Response:
        """Return the response to a request for one of the node's own paths."""

    def connection_opened(self, connection: Connection_contra) -> None:
        """Track a new connection."""

    def connection_state_changed(self, connection: Connection_contra, state: ConnectionState) -> None:
        """Record the state that a connection has entered."""

    def connection_closed(self, connection: Connection_contra) -> None:
        """Stop tracking a connection; a second call for the same connection does nothing."""
