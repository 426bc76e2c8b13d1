"""A caller's connection: requests in, exactly one answer to each out, in order.

Whatever a caller sends, only its own connection suffers.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from typing import Protocol, cast

from workspond.clock import now_ms
from workspond.downstream.connection_states import ConnectionState
from workspond.downstream.socket_state import unread_since_ms
from workspond.http.request import ClientRequest, InvalidRequestError
from workspond.http.request_parser import ConnectionRejection, Item, RequestParser
from workspond.http.response import Response, render
from workspond.observability.counters import CountedEvent, EventCounters
from workspond.policy.settings import RequestClass

MOST_QUEUED = 8  # messages read ahead of their turn; the rest waits unread, or read and not parsed
PARSE_BYTES = 4096  # taken from what has been read at a time, so that few messages go beyond that


class AcceptedRequest(Protocol):
    """A request that the node has taken, as far as its caller's connection knows it."""

    def abandon(self, why: str) -> None:
        """Nobody waits for the answer any more."""


class ResponseReceiver(Protocol):
    """Whoever waits for a request's answer, as far as the node knows it."""

    def send_response(self, reply: Response) -> None:
        """Give it the request's one answer."""

    def has_disconnected(self) -> bool:
        """Whether it has left."""


class ConnectionOwner(Protocol):
    """What a connection needs of the frontend."""

    classes: dict[str, RequestClass]
    counters: EventCounters

    def accept(self, message: ClientRequest, requester: ResponseReceiver) -> AcceptedRequest:
        """Have the node take a request; raises `Unacceptable`."""

    def own_path(self, path: bytes) -> Response:
        """Answer for the node itself."""

    def opened(self, connection: ClientConnection) -> None:
        """Count a connection in."""

    def moved(self, connection: ClientConnection, stage: ConnectionState) -> None:
        """A connection waits for something else now."""

    def closed(self, connection: ClientConnection) -> None:
        """Count a connection out."""


class ClientConnection(asyncio.Protocol):
    """A caller's connection. Answers go out in the order of the requests, one at a time."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.stage: ConnectionState | None = None  # None: not open
        self._owner = owner
        self._transport: asyncio.Transport
        self._socket: socket.socket
        self._parser = RequestParser(owner.classes, owner.own_path)
        self._queue: deque[Item] = deque()  # read and not yet begun
        self._unparsed = b""  # read, while the queue was full
        self._unparsed_came_ms = 0.0  # when that came
        self._taken: AcceptedRequest | None = None  # the one that the node has
        self._busy = False  # the node has one, or is just being given it
        self._closing = False  # closes after what is under way
        self._ended = False  # the caller has ended its sending, or has been turned away
        self._write_paused = False  # the caller does not read
        self._read_paused = False
        self._asked = False  # a request has been taken

    # The socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection in."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by class
        self._socket = self._transport.get_extra_info("socket")
        self._owner.opened(self)

    def data_received(self, data: bytes) -> None:
        """Serve the requests that are whole by now."""
        if self._ended or self._parser.finished:
            return
        if not self._unparsed:
            # It may have lain unread: in the backlog, while the loop was busy, or while reading was paused.
            self._unparsed_came_ms = now_ms() - unread_since_ms(self._socket)
        self._unparsed += data
        self._serve_next()
        self._settle()

    def eof_received(self) -> None:
        """Close, once what was written is out.

        A caller that ends its sending has gone away: nothing more is done for it meanwhile.
        """
        self._closing = self._ended = True
        self._drop_queued()
        self._let_go()
        self._settle()

    def pause_writing(self) -> None:
        """The caller does not read: take nothing more from it, and give it so long."""
        self._write_paused = True
        self._control_reading()
        self._settle()

    def resume_writing(self) -> None:
        """The caller has read what it was sent: go on."""
        self._write_paused = False
        if not self._ended and not self._transport.is_closing():
            self._serve_next()
            self._settle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection out, and let its request go."""
        self._ended = True
        self._drop_queued()
        self._owner.closed(self)
        self._let_go()

    def _drop_queued(self) -> None:
        """Forget what has been read and not begun."""
        self._queue.clear()
        self._unparsed = b""

    def _let_go(self, why: str = "left by its caller") -> None:
        """Tell the node that nobody waits for the request it has."""
        taken, self._taken, self._busy = self._taken, None, False
        if taken is not None:
            taken.abandon(why)

    def _settle(self) -> None:
        """Note what the connection waits for now."""
        if self.stage is not None:
            self._owner.moved(self, self._current_stage())

    def _current_stage(self) -> ConnectionState:
        if self._ended or self._write_paused or self._transport.is_closing():
            return ConnectionState.LEAVING
        if self._queue and isinstance(self._queue[-1], ConnectionRejection):
            return ConnectionState.REJECTING
        if self._asked and self._parser.partial and not self._unparsed:
            return (
                ConnectionState.READING
            )  # also behind a request in work: whoever stops midway is owed an error soon
        if self._busy or self._queue:
            return ConnectionState.SERVING
        if not self._asked:
            return ConnectionState.NEW
        return ConnectionState.IDLE

    def drain(self) -> None:
        """Close after what is under way, read by the loop or not yet; at once if nothing is."""
        self._closing = True
        if not self._busy and not self._owes_more():
            self._close("the node ends")

    def _polled(self, events: int) -> bool:
        """Ask the socket itself: the loop hears of it only once a turn."""
        poll = select.poll()
        poll.register(self._socket.fileno(), events)
        return bool(poll.poll(0))

    def time_out(self) -> None:
        """Its stage has lasted too long."""
        if self.stage is ConnectionState.LEAVING:
            self.abort("it did not read what it was sent")
        elif self.stage is ConnectionState.REJECTING:
            self._fail_owed()
        elif self._parser.partial:
            self._parser.stop()
            self._queue.append(ConnectionRejection(Response(408, b"the request took too long to come")))
            self._fail_owed()
        elif (
            not self.has_unread_data()
        ):  # else a request crosses the limit: closed over it, it would be reset
            self._close(f"it waited too long for {self.stage.value if self.stage else 'nothing'}")

    def _close(self, why: str) -> None:
        """Close it, with nothing on it."""
        self._owner.counters.increment(CountedEvent.CONNECTION_CLOSED, why)
        self._closing = True
        self._transport.close()
        self._settle()

    def abort(self, why: str) -> None:
        """End it at once, whatever is on it."""
        self._owner.counters.increment(CountedEvent.CONNECTION_CLOSED, why)
        self._ended = True
        self._owner.closed(self)  # now: its socket is as good as given back
        self._transport.abort()

    def _fail_owed(self) -> None:
        """Answer what is owed before a rejection now, so that the rejection is not late."""
        if self._busy:
            self._let_go("given up for the error behind it")
            self._write(Response(504, b"given up"))
        owed, self._queue = self._queue, deque()
        for item in owed:
            self._queue.append(Response(504, b"given up") if isinstance(item, ClientRequest) else item)
        self._serve_next()
        self._settle()

    def _reject(self, rejection: ConnectionRejection) -> None:
        """Tell the error that ends the connection; all that came before it has its answer."""
        self._owner.counters.increment(
            CountedEvent.CONNECTION_CLOSED, f"rejected with {rejection.response.status}"
        )
        self._closing = self._ended = True
        self._drop_queued()
        self._transport.write(render(rejection.response, close=True))
        self._close_in_order()

    # Requests and answers

    def _serve_next(self) -> None:
        """Answer what can be answered now, in order; read on where there is room for more."""
        self._parse()
        while self._queue and not self._busy and not self._write_paused and not self._transport.is_closing():
            item = self._queue.popleft()
            if isinstance(item, ClientRequest):
                self._take(item)
            elif isinstance(item, ConnectionRejection):
                self._reject(item)
            else:
                self._write(item)
            self._parse()
        self._control_reading()

    def _parse(self) -> None:
        """Parse what has been read, as far as the queue has room."""
        while self._unparsed and len(self._queue) < MOST_QUEUED and not self._parser.finished:
            piece, self._unparsed = self._unparsed[:PARSE_BYTES], self._unparsed[PARSE_BYTES:]
            self._queue.extend(self._parser.feed(piece, self._unparsed_came_ms))
        if self._parser.finished:
            self._closing, self._unparsed = True, b""

    def _control_reading(self) -> None:
        """Read from the caller only where it reads its answers, and what was read has been parsed."""
        if self._ended or self._transport.is_closing():
            return
        pause = self._write_paused or bool(self._unparsed)
        if pause != self._read_paused:
            self._read_paused = pause
            (self._transport.pause_reading if pause else self._transport.resume_reading)()

    def _take(self, message: ClientRequest) -> None:
        self._busy = True
        try:
            taken = self._owner.accept(message, self)
        except InvalidRequestError as problem:
            self._busy = False
            return self._write(Response(400, str(problem).encode()))
        self._asked = True
        if self._busy:  # it may have been answered at once
            self._taken = taken

    def has_unread_data(self) -> bool:
        """Whether it has sent something, or its end, that the loop has yet to read and will."""
        reads = not (self._read_paused or self._ended or self._transport.is_closing())
        return reads and self._polled(select.POLLIN)

    def has_disconnected(self) -> bool:
        """Whether it has closed, or ended its sending, by the socket itself; no more is done for it then.

        Timers, and what else came in the same turn of the loop, may run before the end is read; after a turn
        that took long, or where it is not read from, long after it came.
        """
        if self._ended or self._transport.is_closing():
            return True
        if not self._polled(select.POLLRDHUP):
            return False
        self._closing = self._ended = True
        self._drop_queued()
        if self._read_paused:
            self._transport.resume_reading()  # up to that end, which closes it once all is written
        self._settle()
        return True

    def send_response(self, reply: Response) -> None:
        """The node's answer to the request it has."""
        self._taken, self._busy = None, False
        if not self._transport.is_closing():
            self._write(reply)
            self._serve_next()
            self._settle()

    def _write(self, reply: Response) -> None:
        close = self._closing and not self._owes_more()
        self._transport.write(render(reply, close))
        if close:
            self._close_in_order()

    def _owes_more(self) -> bool:
        """Whether another message has been read, has begun, or waits to be read."""
        if self._queue or self._unparsed or self._parser.partial:
            return True
        return not self._parser.finished and self._polled(select.POLLIN)

    def _close_in_order(self) -> None:
        """Close so that what was written can be read.

        Closed over bytes that are unread, or still to come, the connection would be reset.
        """
        if self._parser.partial or self._polled(select.POLLIN):
            self._ended = True
            self._transport.pause_reading()
            self._transport.write_eof()
        else:
            self._transport.close()
