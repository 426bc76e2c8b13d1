"""A client's connection: requests in, exactly one response to each out, in the order of the requests.

Whatever a client sends, it affects only its own connection.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol, cast

from workspond.downstream.close_reason import AbandonReason, CloseReason, rejected_with
from workspond.downstream.connection_states import ConnectionState
from workspond.downstream.request_pipeline import RequestPipeline
from workspond.downstream.socket_state import has_client_closed, is_readable
from workspond.http.request import ClientRequest, InvalidRequestError
from workspond.http.request_parser import ConnectionRejection, RequestParser
from workspond.http.response import Response, render
from workspond.observability.counters import CountedEvent, EventCounters
from workspond.policy.settings import RequestClass


class AcceptedRequest(Protocol):
    """A request that the node has accepted, as its client's connection sees it."""

    def abandon(self, reason: str) -> None:
        """Give the request up: nobody waits for its response any more."""


class ResponseReceiver(Protocol):
    """Whoever waits for the response to a request, as the node sees it."""

    def send_response(self, response: Response) -> None:
        """Take the one response to the request."""

    def has_disconnected(self) -> bool:
        """Whether nobody waits for the response any more."""


class ConnectionOwner(Protocol):
    """What a connection needs of the frontend."""

    classes: dict[str, RequestClass]
    counters: EventCounters

    def accept(self, request: ClientRequest, receiver: ResponseReceiver) -> AcceptedRequest:
        """Have the node accept a request.

        Raises:
            InvalidRequestError: The node can't accept it.
        """

    def internal_path_response(self, path: bytes) -> Response:
        """The response to a request for a path of the node itself."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """Track a new connection."""

    def connection_state_changed(self, connection: ClientConnection, state: ConnectionState) -> None:
        """Track what a connection waits for."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Stop tracking a connection; it may be called twice."""


class ClientConnection(asyncio.Protocol):
    """A client's connection. Responses go out one at a time, in the order of the requests."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.state: ConnectionState | None = None  # None: not open; set by the owner
        self._owner = owner
        self._transport: asyncio.Transport
        self._socket: socket.socket
        self._pipeline = RequestPipeline(RequestParser(owner.classes, owner.internal_path_response))
        self._active_request: AcceptedRequest | None = None
        self._awaits_response = False  # the node has a request, or is just being given one
        self._has_accepted_request = False  # now or earlier
        self._is_draining = False  # closes after the responses that are owed
        self._is_input_ended = False  # the client has ended its sending, or nothing more is taken from it
        self._is_writing_paused = False  # the client does not read
        self._is_reading_paused = False

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to track the connection."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports do not inherit from it
        self._socket = self._transport.get_extra_info("socket")
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Process the requests that are complete by now."""
        if self._is_input_ended or self._pipeline.is_finished:
            return
        self._pipeline.receive(data, self._socket)
        self._process_messages()
        self._update_state()

    def eof_received(self) -> None:
        """Close, once what was written has been sent.

        A client that ends its sending counts as disconnected: its requests are given up.
        """
        self._end_input()
        self._abandon_active_request(AbandonReason.CLIENT_DISCONNECTED)
        self._update_state()

    def pause_writing(self) -> None:
        """Read nothing more from a client that does not read; the timeout of its state starts."""
        self._is_writing_paused = True
        self._control_reading()
        self._update_state()

    def resume_writing(self) -> None:
        """Go on with a client that has read what was sent to it."""
        self._is_writing_paused = False
        if not self._is_input_ended and not self._transport.is_closing():
            self._process_messages()
            self._update_state()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Stop tracking the connection, and give up its request."""
        self._is_input_ended = True
        self._pipeline.clear()
        self._owner.connection_closed(self)
        self._abandon_active_request(AbandonReason.CLIENT_DISCONNECTED)

    # State of the connection

    def _update_state(self) -> None:
        if self.state is not None:
            self._owner.connection_state_changed(self, self._current_state())

    def _current_state(self) -> ConnectionState:
        if self._is_input_ended or self._is_writing_paused or self._transport.is_closing():
            return ConnectionState.FLUSHING
        if self._pipeline.ends_with_rejection():
            return ConnectionState.REJECTING
        # Also while the node has an earlier request: a client that stops midway is owed an error soon.
        if self._has_accepted_request and self._pipeline.has_partial_message and not self._pipeline.unparsed:
            return ConnectionState.READING_REQUEST
        if self._awaits_response or self._pipeline.messages:
            return ConnectionState.AWAITING_RESPONSE
        return ConnectionState.IDLE if self._has_accepted_request else ConnectionState.AWAITING_FIRST_REQUEST

    def has_unread_data(self) -> bool:
        """Whether the client has sent data, or its end, that the event loop has yet to read and will."""
        is_reading = not (self._is_reading_paused or self._is_input_ended or self._transport.is_closing())
        return is_reading and is_readable(self._socket)

    def has_disconnected(self) -> bool:
        """Whether the client has closed the connection or ended its sending, by the socket itself.

        Its requests are given up then. The event loop may know of it too late: timers, and what else was read
        in the same turn of the loop, may run before the end is read; after a turn that took long, or where
        the connection is not read from, long after it was received.
        """
        if self._is_input_ended or self._transport.is_closing():
            return True
        if not has_client_closed(self._socket):
            return False
        self._end_input()
        if self._is_reading_paused:
            self._transport.resume_reading()  # up to that end, which closes it once all is written
        self._update_state()
        return True

    def _end_input(self) -> None:
        """Take nothing more from the client, and drop what has not been started."""
        self._is_draining = True
        self._is_input_ended = True
        self._pipeline.clear()

    # Requests and responses

    def _process_messages(self) -> None:
        """Start what can be started, in order; read on where the queue has capacity for more."""
        pipeline = self._pipeline
        pipeline.parse()
        while pipeline.messages and not self._awaits_response and not self._is_output_blocked():
            message = pipeline.messages.popleft()
            if isinstance(message, ClientRequest):
                self._accept(message)
            elif isinstance(message, ConnectionRejection):
                self._reject(message)
            else:
                self._write(message)
            pipeline.parse()
        self._control_reading()

    def _is_output_blocked(self) -> bool:
        return self._is_writing_paused or self._transport.is_closing()

    def _accept(self, request: ClientRequest) -> None:
        """Have the node accept a request."""
        self._awaits_response = True
        try:
            active_request = self._owner.accept(request, self)
        except InvalidRequestError as error:
            self._awaits_response = False
            self._write(Response(400, str(error).encode()))
            return
        self._has_accepted_request = True
        if self._awaits_response:  # it may have been answered at once
            self._active_request = active_request

    def send_response(self, response: Response) -> None:
        """Write the node's response to the active request, and go on with the next one."""
        self._active_request = None
        self._awaits_response = False
        if not self._transport.is_closing():
            self._write(response)
            self._process_messages()
            self._update_state()

    def _write(self, response: Response) -> None:
        is_last = (self._is_draining or self._pipeline.is_finished) and not self._has_more_input()
        self._transport.write(render(response, close=is_last))
        if is_last:
            self._close_when_written()

    def _has_more_input(self) -> bool:
        """Whether another message has been read, has begun, or waits to be read."""
        if self._pipeline.has_more():
            return True
        return not self._pipeline.is_finished and is_readable(self._socket)

    def _abandon_active_request(self, reason: AbandonReason) -> None:
        """Tell the node that nobody waits for the response to the active request."""
        request = self._active_request
        self._active_request = None
        self._awaits_response = False
        if request is not None:
            request.abandon(reason)

    def _control_reading(self) -> None:
        """Read only from a client that reads its responses, and only once all that was read is parsed."""
        if self._is_input_ended or self._transport.is_closing():
            return
        pause = self._is_writing_paused or bool(self._pipeline.unparsed)
        if pause == self._is_reading_paused:
            return
        self._is_reading_paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    # Closing

    def drain(self) -> None:
        """Close after the responses that are owed, also those to unread requests; at once if none is."""
        self._is_draining = True
        if not self._awaits_response and not self._has_more_input():
            self._close(CloseReason.NODE_STOPPING)

    def handle_timeout(self) -> None:
        """End what the connection waits for: the timeout of its state has passed."""
        if self.state is ConnectionState.FLUSHING:
            self.abort(CloseReason.RESPONSE_NOT_READ)
        elif self.state is ConnectionState.REJECTING:
            self._fail_pending_requests()
        elif self._pipeline.has_partial_message:
            self._pipeline.reject(Response(408, b"the request took too long to come"))
            self._fail_pending_requests()
        elif not self.has_unread_data():  # closed over a request, the connection would be reset
            never_used = self.state is ConnectionState.AWAITING_FIRST_REQUEST
            self._close(CloseReason.NO_REQUEST if never_used else CloseReason.IDLE)

    def _fail_pending_requests(self) -> None:
        """Answer the requests before a rejection with errors now, so that the rejection is not late."""
        response = Response(504, b"given up")
        if self._awaits_response:
            self._abandon_active_request(AbandonReason.REJECTION_DUE)
            self._write(response)
        self._pipeline.answer_requests_with(response)
        self._process_messages()
        self._update_state()

    def _reject(self, rejection: ConnectionRejection) -> None:
        """Write the error that ends the connection; all that preceded it has its response."""
        self._count_close(rejected_with(rejection.response.status))
        self._end_input()
        self._transport.write(render(rejection.response, close=True))
        self._close_when_written()

    def _close_when_written(self) -> None:
        """Close so that the client can read what was written.

        Closed over bytes that are unread, or still to come, the connection would be reset.
        """
        if self._pipeline.has_partial_message or is_readable(self._socket):
            self._is_input_ended = True
            self._transport.pause_reading()
            self._transport.write_eof()
        else:
            self._transport.close()

    def _close(self, reason: CloseReason) -> None:
        """Close a connection on which nothing is owed."""
        self._count_close(reason)
        self._is_draining = True
        self._transport.close()
        self._update_state()

    def abort(self, reason: CloseReason) -> None:
        """Close at once, whatever is owed."""
        self._count_close(reason)
        self._is_input_ended = True
        self._owner.connection_closed(self)  # now: its socket is as good as free
        self._transport.abort()

    def _count_close(self, reason: str) -> None:
        self._owner.counters.increment(CountedEvent.CONNECTION_CLOSED, reason)
