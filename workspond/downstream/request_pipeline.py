"""The requests that one connection has received and not yet started, in order.

A client may send requests ahead (pipelining). Only a few are parsed before their turn: the rest stays
unparsed here, and the connection reads no more meanwhile, so a flood of requests takes little memory.
"""

from __future__ import annotations

import socket
from collections import deque

from workspond.clock import now_ms
from workspond.downstream.socket_state import last_data_age_ms
from workspond.http.request import ClientRequest
from workspond.http.request_parser import ConnectionRejection, ParsedMessage, RequestParser
from workspond.http.response import Response

MAX_QUEUED_MESSAGES = 8  # parsed before their turn; the rest stays unparsed, or unread
PARSE_CHUNK_BYTES = 4096  # parsed at a time, so that the queue exceeds its limit by few messages


class RequestPipeline:
    """Parses the bytes of a connection and queues its messages until their turn.

    The attributes are plain, as they are read several times for each request. The connection reads them, and
    takes messages from the queue; only the pipeline sets them.

    Attributes:
        messages: The queue of parsed messages.
        unparsed: Data that was read, and that the queue had no capacity for.
        has_partial_message: A message has begun and is not complete.
        is_finished: Nothing more is parsed: the client asked for a close, or a message was rejected.
    """

    __slots__ = (
        "_parser",
        "_unparsed_received_at_ms",
        "has_partial_message",
        "is_finished",
        "messages",
        "unparsed",
    )

    def __init__(self, parser: RequestParser) -> None:
        self._parser = parser
        self._unparsed_received_at_ms = 0.0
        self.messages: deque[ParsedMessage] = deque()
        self.unparsed = b""
        self.has_partial_message = False
        self.is_finished = False

    def receive(self, data: bytes, connection: socket.socket) -> None:
        """Take data that was read from a connection; `parse` parses it."""
        if not self.unparsed:
            # It may have been unread for long: in the backlog, while the loop was busy, or while reading
            # was paused.
            self._unparsed_received_at_ms = now_ms() - last_data_age_ms(connection)
        self.unparsed += data

    def parse(self) -> None:
        """Parse the data that was read, as far as the queue has capacity."""
        while self.unparsed and len(self.messages) < MAX_QUEUED_MESSAGES and not self.is_finished:
            chunk = self.unparsed[:PARSE_CHUNK_BYTES]
            self.unparsed = self.unparsed[PARSE_CHUNK_BYTES:]
            self.messages.extend(self._parser.feed(chunk, self._unparsed_received_at_ms))
            self.has_partial_message = self._parser.has_partial_message
            self.is_finished = self._parser.is_finished
        if self.is_finished:
            self.unparsed = b""

    def has_more(self) -> bool:
        """Whether another message has been received, at least in part."""
        return bool(self.messages or self.unparsed or self.has_partial_message)

    def ends_with_rejection(self) -> bool:
        """Whether an error that ends the connection waits for its turn."""
        return bool(self.messages) and isinstance(self.messages[-1], ConnectionRejection)

    def reject(self, response: Response) -> None:
        """Parse nothing more, and end the queue with an error that ends the connection."""
        self.is_finished = True
        self.messages.append(ConnectionRejection(response))

    def answer_requests_with(self, response: Response) -> None:
        """Replace each queued request by a response; responses and rejections stay in their places."""
        self.messages = deque(
            response if isinstance(message, ClientRequest) else message for message in self.messages
        )

    def clear(self) -> None:
        """Drop what has been received and not started."""
        self.messages.clear()
        self.unparsed = b""
