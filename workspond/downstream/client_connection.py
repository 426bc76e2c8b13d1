"""The protocol of a client connection, which writes one response to each request, in request order.

Invalid input from a client affects only that client's connection.
"""

from __future__ import annotations

import asyncio

from workspond.downstream.buffer_budget import NO_USE, BufferUse
from workspond.downstream.client_socket import ClientSocket, copy_of_read, read_buffer
from workspond.downstream.close_reason import AbandonReason, CloseReason, rejected_with
from workspond.downstream.connection_states import ConnectionState
from workspond.downstream.interfaces import AcceptedRequest, ConnectionOwner
from workspond.downstream.request_pipeline import RequestPipeline
from workspond.http.request import ClientRequest, InvalidRequestError
from workspond.http.request_parser import ConnectionRejection, ParsedMessage, RequestParser
from workspond.http.response import Response, render

MAX_READ_AHEAD_BYTES = 1024 * 1024  # clients send one request at a time, some a few more ahead
# A shorter request that is being served is not counted, as most are and counting takes time.
MIN_COUNTED_BYTES = 1024


class ClientConnection(asyncio.BufferedProtocol):
    """A client connection, on which one request at a time is processed, in the order of arrival."""

    drops_last = False  # see `BufferingConnection`

    def __init__(self, owner: ConnectionOwner[ClientConnection]) -> None:
        self.state: ConnectionState | None = None  # set by the owner; None while the connection is not open
        self._owner = owner
        self._socket: ClientSocket
        self._pipeline = RequestPipeline(RequestParser(owner.classes, owner.internal_path_response))
        self._active_request: AcceptedRequest | None = None
        self._awaits_response = False  # True from the call of the owner's `accept` until the response is sent
        self._has_accepted_request = False  # remains True after the first accepted request
        self._is_draining = False  # if True, the connection closes after its pending responses
        self._is_input_ended = False  # True after an EOF of the client, and if further input is ignored
        self._is_writing_paused = False  # True while the client does not read its responses
        self._served_bytes = 0  # the length of the active request, or 0 if it is short
        self._buffer_use = NO_USE  # as last recorded by the owner
        self._is_turn_scheduled = False  # True while the connection waits for its turn to go on
        self._is_processing = False  # True while a message is processed, which may end in a response at once

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection with its owner."""
        self._socket = ClientSocket(transport)
        self._owner.connection_opened(self)

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return read_buffer(is_memory_short=self._owner.buffers.is_exceeded)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the data that was read and process the requests that it completes."""
        if self._is_input_ended or self._pipeline.is_finished:
            return
        self._pipeline.receive(copy_of_read(nbytes), self._socket.socket)
        if self._pipeline.unparsed.length > MAX_READ_AHEAD_BYTES:
            self._reject_pending(Response(413, b"too much sent ahead"))
            return
        self._process_messages()
        self._update_state()

    def eof_received(self) -> None:
        """Abandon the client's requests, and let the transport close once its write buffer is flushed.

        A client that closes its sending side counts as disconnected.
        """
        self._end_input()
        self._abandon_active_request(AbandonReason.CLIENT_DISCONNECTED)
        self._update_state()

    def pause_writing(self) -> None:
        """Stop reading from a client that does not read its responses, and start the flush timeout."""
        self._is_writing_paused = True
        self._update_reading()
        self._update_state()

    def resume_writing(self) -> None:
        """Continue with queued messages once the client has read what was written."""
        self._is_writing_paused = False
        if not self._is_input_ended and not self._socket.is_closing():
            self._process_messages()
            self._update_state()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Stop tracking the connection and abandon its active request."""
        self._is_input_ended = True
        self._pipeline.close()
        self._owner.connection_closed(self)
        self._abandon_active_request(AbandonReason.CLIENT_DISCONNECTED)

    # State of the connection

    def _update_state(self) -> None:
        if self.state is not None:
            self._owner.connection_state_changed(self, self._current_state())
            self.report_buffer_use()

    def report_buffer_use(self) -> None:
        """Record the memory that the connection's data takes, if that has changed."""
        waiting_bytes = self._socket.unsent_bytes()
        pipeline = self._pipeline
        if pipeline.unparsed.length or pipeline.messages or pipeline.has_partial_message:
            waiting_bytes += pipeline.waiting_bytes()
        if (waiting_bytes, self._served_bytes) != self._buffer_use:
            self._buffer_use = BufferUse(waiting_bytes, self._served_bytes)
            self._owner.buffers.update(self, self._buffer_use)

    def _current_state(self) -> ConnectionState:
        if self._is_input_ended or self._is_writing_paused or self._socket.is_closing():
            return ConnectionState.FLUSHING
        if self._pipeline.ends_with_rejection():
            return ConnectionState.REJECTING
        # This state takes precedence over AWAITING_RESPONSE, so that a client that stops in the middle of a
        # request gets an error soon, even if an earlier request is still processed.
        is_reading_message = self._pipeline.has_partial_message and not self._pipeline.is_waiting_for_queue()
        if self._has_accepted_request and is_reading_message:
            return ConnectionState.READING_REQUEST
        if self._awaits_response or self._pipeline.messages:
            return ConnectionState.AWAITING_RESPONSE
        return ConnectionState.IDLE if self._has_accepted_request else ConnectionState.AWAITING_FIRST_REQUEST

    def has_unread_data(self) -> bool:
        """Return whether data or an EOF has been received that the event loop will still process."""
        if self._is_turn_scheduled:
            return True
        is_reading = not (self._socket.is_reading_paused or self._is_input_ended or self._socket.is_closing())
        return is_reading and self._socket.is_readable()

    def has_disconnected(self) -> bool:
        """Return whether the client has closed the connection or its sending side.

        If it has, its queued requests are dropped; the caller abandons the active request.

        The socket itself is polled, as the event loop may notice the close too late: timers and data of other
        sockets may be handled earlier in the same iteration of the loop. After a long iteration, or while
        reading from this connection is paused, the close may have arrived long before.
        """
        if self._is_input_ended or self._socket.is_closing():
            return True
        if not self._socket.has_peer_closed():
            return False
        self._end_input()
        self._socket.read_to_end()
        self._update_state()
        return True

    def _end_input(self) -> None:
        """Ignore further input and drop the messages that wait in the pipeline."""
        self._is_draining = True
        self._is_input_ended = True
        self._pipeline.clear()

    # Requests and responses

    def _process_messages(self) -> None:
        """Process the next message, unless the connection waits for its turn or for a response.

        Messages behind it have to wait for their turn. Reading is paused or resumed afterwards.
        """
        if self._is_processing:
            return
        if not self._is_turn_scheduled:
            self._process_next_message()
        self._await_turn()

    def _await_turn(self) -> None:
        """Schedule a turn if there is anything more to process, and pause or resume reading."""
        if not self._is_turn_scheduled and (self._pipeline.is_deferred or self._can_process_message()):
            self._is_turn_scheduled = True
            self._owner.turns.schedule(self)
        self._update_reading()

    def _process_next_message(self) -> None:
        pipeline = self._pipeline
        if self._owner.buffers.is_exceeded:
            pipeline.defer()
        pipeline.parse()
        if not self._can_process_message():
            return
        self._is_processing = True
        try:
            self._process(pipeline.take_message())
        finally:
            self._is_processing = False
        pipeline.parse()

    def _process(self, message: ParsedMessage) -> None:
        if isinstance(message, ClientRequest):
            self._accept(message)
        elif isinstance(message, ConnectionRejection):
            self._reject(message)
        else:
            self._write(message)

    def take_turn(self) -> None:
        """Continue with the data and messages that had to wait."""
        self._is_turn_scheduled = False
        if not self._is_input_ended and not self._socket.is_closing():
            self._pipeline.end_deferral()
            self._process_messages()
            self._update_state()

    def _can_process_message(self) -> bool:
        is_output_blocked = self._is_writing_paused or self._socket.is_closing()
        return bool(self._pipeline.messages) and not self._awaits_response and not is_output_blocked

    def _accept(self, request: ClientRequest) -> None:
        """Pass a request to the node, and answer one that the node can't accept with an error."""
        self._awaits_response = True
        try:
            active_request = self._owner.accept(request, self)
        except InvalidRequestError as error:
            self._awaits_response = False
            self._write(Response(400, str(error).encode()))
            return
        self._has_accepted_request = True
        if self._awaits_response:  # False if the response was sent during `accept`
            self._active_request = active_request
            served_bytes = request.memory_bytes()
            self._served_bytes = served_bytes if served_bytes >= MIN_COUNTED_BYTES else 0

    def send_response(self, response: Response) -> None:
        """Write the response to the active request; messages behind it have to wait for their turn."""
        self._active_request = None
        self._awaits_response = False
        self._served_bytes = 0
        if not self._socket.is_closing():
            self._write(response)
            if not self._is_processing:
                self._await_turn()
            self._update_state()

    def _write(self, response: Response) -> None:
        is_last = (self._is_draining or self._pipeline.is_finished) and not self._has_more_input()
        self._socket.write(render(response, close=is_last))
        if is_last:
            self._close_when_written()

    def _has_more_input(self) -> bool:
        """Return whether a further message is queued, partly received or unread in the socket."""
        if self._pipeline.has_more():
            return True
        return not self._pipeline.is_finished and self._socket.is_readable()

    def _abandon_active_request(self, reason: AbandonReason) -> None:
        """Cancel the active request, if there is one."""
        request = self._active_request
        self._active_request = None
        self._awaits_response = False
        self._served_bytes = 0
        if request is not None:
            request.abandon(reason)

    def _update_reading(self) -> None:
        """Pause reading while the client does not read its responses.

        Reading is also paused while received data is unparsed and memory is short. Otherwise it goes on, as a
        disconnect is only noticed once the data before it has been read or fits into the kernel's buffer.
        """
        if self._is_input_ended or self._socket.is_closing():
            return
        may_read_ahead = not self._pipeline.unparsed.length or self._owner.buffers.has_ample_room()
        self._socket.set_reading(paused=self._is_writing_paused or not may_read_ahead)

    # Closing

    def drain(self) -> None:
        """Close after the pending responses, those to unread requests included; at once if there are none."""
        self._is_draining = True
        if not self._awaits_response and not self._has_more_input():
            self._close(CloseReason.NODE_STOPPING)

    def handle_timeout(self) -> None:
        """Answer with errors or close the connection, because the timeout of its state has expired."""
        if self.state is ConnectionState.FLUSHING:
            self.abort(CloseReason.RESPONSE_NOT_READ)
        elif self.state is ConnectionState.REJECTING:
            self._fail_pending_requests()
        elif self._pipeline.has_partial_message:
            self._reject_pending(Response(408, b"the request took too long to come"))
        elif not self.has_unread_data():  # closing a socket with unread data would reset the connection
            never_used = self.state is ConnectionState.AWAITING_FIRST_REQUEST
            self._close(CloseReason.NO_REQUEST if never_used else CloseReason.IDLE)

    def drop_waiting_data(self) -> None:
        """Answer pending requests and the incomplete one with errors, because memory is short.

        A client that does not read its responses is disconnected.
        """
        if self._socket.unsent_bytes() > self._pipeline.waiting_bytes():
            self.abort(CloseReason.MEMORY_SHORT)
        else:
            self._reject_pending(Response(413, b"memory is short"))

    def _reject_pending(self, response: Response) -> None:
        """Answer pending requests with errors, and end the connection with this error."""
        self._pipeline.reject(response)
        self._fail_pending_requests()

    def _fail_pending_requests(self) -> None:
        """Answer the requests before a rejection with errors, so that the rejection can be sent in time."""
        response = Response(504, b"given up")
        if self._awaits_response:
            self._abandon_active_request(AbandonReason.REJECTION_DUE)
            self._write(response)
        self._pipeline.replace_requests_with(response)
        self._process_messages()
        self._update_state()

    def _reject(self, rejection: ConnectionRejection) -> None:
        """Write the error that ends the connection; all earlier requests must have been answered."""
        self._owner.tracer.record_close(self, rejected_with(rejection.response.status))
        self._end_input()
        self._socket.write(render(rejection.response, close=True))
        self._close_when_written()

    def _close_when_written(self) -> None:
        """Close the connection such that the client can still read what was written.

        Closing a socket with unread data, or before the rest of a message arrives, would reset the connection
        and lose the responses. In that case only the node's sending side is closed.
        """
        if self._pipeline.has_partial_message or self._socket.is_readable():
            self._is_input_ended = True
            self._socket.close_sending_side()
        else:
            self._socket.close()

    def _close(self, reason: CloseReason) -> None:
        """Close a connection that has no pending response."""
        self._owner.tracer.record_close(self, reason)
        self._is_draining = True
        self._socket.close()
        self._update_state()

    def abort(self, reason: CloseReason) -> None:
        """Close at once, without the pending responses."""
        self._owner.tracer.record_close(self, reason)
        self._is_input_ended = True
        # The socket must no longer count as in use, and `connection_lost` is only called later.
        self._owner.connection_closed(self)
        self._socket.abort()

    # For the log

    def peer_name(self) -> str:
        """Return the client's `host:port`."""
        return self._socket.peer_name()

    def state_name(self) -> str:
        """Return the name of the connection's state."""
        return self.state.name if self.state is not None else "CLOSED"

    def waiting_bytes(self) -> int:
        """Return the length of the data that waits on the connection."""
        return self._buffer_use.waiting_bytes
