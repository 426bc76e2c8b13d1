"""A caller's connection: requests in, exactly one answer to each out, in order.

Whatever a caller sends, only its own connection suffers.
"""

from __future__ import annotations

import asyncio
import select
from collections import deque
from typing import Protocol, cast

from nickelbridge import interface as api
from orchidferry.config import now_ms
from orchidferry.reply import Reply, render
from orchidferry.request import Message, Unacceptable
from orchidferry.request_parser import Rejection, RequestParser
from orchidferry.stages import Stage

MOST_PIPELINED = 8  # requests sent ahead on one connection; the protocol says none


class TakenRequest(Protocol):
    """A request that the node has taken, as far as its caller's connection knows it."""

    def caller_gone(self) -> None:
        """Nobody waits for the answer any more."""


class Requester(Protocol):
    """Whoever waits for a request's answer, as far as the node knows it."""

    def answer(self, reply: Reply) -> None:
        """Give it the request's one answer."""

    def gone(self) -> bool:
        """Whether it has left."""


class ConnectionOwner(Protocol):
    """What a connection needs of the frontend."""

    classes: dict[str, api.RequestClass]

    def accept(self, message: Message, requester: Requester) -> TakenRequest:
        """Have the node take a request; raises `Unacceptable`."""

    def own_path(self, path: bytes) -> Reply:
        """Answer for the node itself."""

    def opened(self, connection: CallerConnection) -> None:
        """Count a connection in."""

    def moved(self, connection: CallerConnection, stage: Stage) -> None:
        """A connection waits for something else now."""

    def closed(self, connection: CallerConnection) -> None:
        """Count a connection out."""


class CallerConnection(asyncio.Protocol):
    """A caller's connection. Answers go out in the order of the requests, one at a time."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.stage: Stage | None = None  # None: not open
        self._owner = owner
        self._transport: asyncio.Transport
        self._parser = RequestParser(owner.classes, owner.own_path)
        self._queue: deque[Message | Reply] = deque()  # read and not yet begun
        self._taken: TakenRequest | None = None  # the one that the node has
        self._busy = False  # the node has one, or is just being given it
        self._closing = False  # closes after what is under way
        self._ended = False  # the caller has ended its sending, or has been turned away
        self._write_paused = False  # the caller does not read
        self._asked = False  # a request has been taken

    # The socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection in."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by class
        self._owner.opened(self)

    def data_received(self, data: bytes) -> None:
        """Serve the requests that are whole by now."""
        if self._ended or self._parser.finished:
            return
        for item in self._parser.feed(data, now_ms()):
            if isinstance(item, Rejection):
                self._turn_away(item.reply)
            elif len(self._queue) >= MOST_PIPELINED:
                self._turn_away(Reply(400, b"too many requests sent ahead"))
            else:
                self._queue.append(item)
            if self._ended:
                break
        if self._parser.finished:
            self._closing = True
        self._serve_next()
        self._settle()

    def eof_received(self) -> None:
        """Close, once what was written is out.

        A caller that ends its sending has gone away: nothing more is done for it meanwhile.
        """
        self._closing = self._ended = True
        self._queue.clear()
        self._let_go()
        self._settle()

    def pause_writing(self) -> None:
        """The caller does not read: take nothing more from it, and give it so long."""
        self._write_paused = True
        self._transport.pause_reading()
        self._settle()

    def resume_writing(self) -> None:
        """The caller has read what it was sent: go on."""
        self._write_paused = False
        if not self._ended and not self._transport.is_closing():
            self._transport.resume_reading()
            self._serve_next()
            self._settle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection out, and let its request go."""
        self._ended = True
        self._queue.clear()
        self._owner.closed(self)
        self._let_go()

    def _let_go(self) -> None:
        """Tell the node that nobody waits for the request it has."""
        taken, self._taken, self._busy = self._taken, None, False
        if taken is not None:
            taken.caller_gone()

    def _settle(self) -> None:
        """Note what the connection waits for now."""
        if self.stage is not None:
            self._owner.moved(self, self._current_stage())

    def _current_stage(self) -> Stage:
        if self._ended or self._write_paused or self._transport.is_closing():
            return Stage.LEAVING
        if self._busy or self._queue:
            return Stage.SERVING
        if not self._asked:
            return Stage.NEW
        return Stage.READING if self._parser.partial else Stage.IDLE

    def drain(self) -> None:
        """Close after what is under way, read by the loop or not yet; at once if nothing is."""
        self._closing = True
        under_way = self._busy or self._parser.partial or bool(self._queue)
        if not under_way and not self._polled(select.POLLIN):
            self._transport.close()
            self._settle()

    def _polled(self, events: int) -> bool:
        """Ask the socket itself: the loop hears of it only once a turn."""
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), events)
        return bool(poll.poll(0))

    def time_out(self) -> None:
        """Its stage has lasted too long."""
        if self.stage is Stage.LEAVING:
            self.abort()
        elif self._parser.partial:
            self._turn_away(Reply(408, b"the request took too long to come"))
        elif not self._unread():  # else a request crosses the limit: closed over it, it would be reset
            self._closing = True
            self._transport.close()
            self._settle()

    def abort(self) -> None:
        """End it at once, whatever is on it."""
        self._ended = True
        self._owner.closed(self)  # now: its socket is as good as given back
        self._transport.abort()

    def _turn_away(self, reply: Reply) -> None:
        """End the connection with an error now.

        Whatever else waits on it goes with it: a caller that can't be understood is not made to wait
        for what it asked before, and what it sends next can't be told apart any more.
        """
        self._closing = self._ended = True
        self._queue.clear()
        self._let_go()
        if self._transport.is_closing():
            return
        self._transport.write(render(reply, close=True))
        if self._parser.partial:
            # Closing now would reset it, and the error might never be read.
            self._transport.pause_reading()
            self._transport.write_eof()
        else:
            self._transport.close()
        self._settle()

    # Requests and answers

    def _serve_next(self) -> None:
        while self._queue and not self._busy and not self._write_paused and not self._transport.is_closing():
            item = self._queue.popleft()
            if isinstance(item, Message):
                self._take(item)
            else:
                self._write(item)

    def _take(self, message: Message) -> None:
        self._busy = True
        try:
            taken = self._owner.accept(message, self)
        except Unacceptable as problem:
            self._busy = False
            return self._turn_away(Reply(400, str(problem).encode()))
        self._asked = True
        if self._busy:  # it may have been answered at once
            self._taken = taken

    def _unread(self) -> bool:
        """Whether it has sent something, or its end, that the loop has yet to read and will."""
        reads = not (self._write_paused or self._ended or self._transport.is_closing())
        return reads and self._polled(select.POLLIN)

    def gone(self) -> bool:
        """Whether it has closed, or ended its sending, by the socket itself.

        Timers, and what else came in the same turn of the loop, may run before the end is read; after a turn
        that took long, or where it is not read from, long after it came.
        """
        return self._ended or self._transport.is_closing() or self._polled(select.POLLRDHUP)

    def answer(self, reply: Reply) -> None:
        """The node's answer to the request it has."""
        self._taken, self._busy = None, False
        if not self._transport.is_closing():
            self._write(reply)
            self._serve_next()
            self._settle()

    def _write(self, reply: Reply) -> None:
        close = self._closing and not self._queue and not self._parser.partial
        self._transport.write(render(reply, close))
        if close:
            self._transport.close()
