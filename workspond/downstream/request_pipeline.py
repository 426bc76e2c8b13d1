"""The queue of a client connection for requests that were received and wait to be processed.

A client may send requests without waiting for earlier responses (pipelining). Only a few are parsed in
advance. Reading from the connection is paused while unparsed data is left, which bounds the memory that a
flood of requests takes.
"""

from __future__ import annotations

import socket
from collections import deque

from workspond.clock import now_ms
from workspond.downstream.received_data import ReceivedData
from workspond.http.request import ClientRequest
from workspond.http.request_parser import ConnectionRejection, ParsedMessage, RequestParser
from workspond.http.response import Response
from workspond.socket_state import last_data_age_ms

MAX_QUEUED_MESSAGES = 8
MAX_QUEUED_BYTES = 16 * 1024  # those of the data that is parsed last may go beyond it
# The next data is only parsed in the next iteration of the event loop once so many parts were reported.
MAX_PARTS_PER_ITERATION = 512
# Data is parsed in chunks, as all messages that a chunk completes are queued, even those over the limit.
# Heads take far more time than bodies.
HEAD_CHUNK_BYTES = 512
BODY_CHUNK_BYTES = 4096


class RequestPipeline:
    """Parses the data that a connection receives and queues the messages.

    Only the pipeline sets the attributes, which the connection reads. They are not properties, for speed, as
    they are read several times for each request.

    Attributes:
        messages: The queue of parsed messages.
        unparsed: Received data that is not parsed yet, because the queue is full or parsing is deferred.
        is_deferred: Whether parsing goes on in the next iteration of the event loop, after `end_deferral`.
        has_partial_message: Whether a message has begun and is not complete.
        is_finished: Whether parsing has ended: the client asked for a close, or a message was rejected.
    """

    __slots__ = (
        "_parsed_parts",
        "_parser",
        "_queued_bytes",
        "has_partial_message",
        "is_deferred",
        "is_finished",
        "messages",
        "unparsed",
    )

    def __init__(self, parser: RequestParser) -> None:
        self._parser = parser
        self._queued_bytes = 0
        self._parsed_parts = 0  # since the last read, or since parsing was deferred
        self.is_deferred = False
        self.messages: deque[ParsedMessage] = deque()
        self.unparsed = ReceivedData()
        self.has_partial_message = False
        self.is_finished = False

    def receive(self, data: bytes, connection: socket.socket) -> None:
        """Store data that was read from a connection, for `parse`."""
        if not self.unparsed.length:
            self._parsed_parts = 0
        # The data may have waited in the kernel for long: while the connection was in the backlog, the event
        # loop was busy, or reading was paused.
        self.unparsed.append(data, now_ms() - last_data_age_ms(connection))

    def parse(self) -> None:
        """Parse stored data until the queue is full or parsing has to be deferred.

        Data in many small parts takes far more time than its length suggests, and other connections must not
        wait for it.
        """
        while self.unparsed.length and not (self.is_full() or self.is_finished or self.is_deferred):
            chunk_bytes = BODY_CHUNK_BYTES if self._parser.is_in_body() else HEAD_CHUNK_BYTES
            chunk, received_at_ms = self.unparsed.take(chunk_bytes)
            for message in self._parser.feed(chunk, received_at_ms):
                self._queue(message)
            self.has_partial_message = self._parser.has_partial_message
            self.is_finished = self._parser.is_finished
            self._parsed_parts += self._parser.reported_parts
            self.is_deferred = self.unparsed.length > 0 and self._parsed_parts >= MAX_PARTS_PER_ITERATION
        if self.is_finished:
            self.unparsed.clear()

    def _queue(self, message: ParsedMessage) -> None:
        self.messages.append(message)
        self._queued_bytes += message.memory_bytes()

    def take_message(self) -> ParsedMessage:
        """Remove the first message from the queue, which must not be empty, and return it."""
        message = self.messages.popleft()
        self._queued_bytes -= message.memory_bytes()
        return message

    def defer(self) -> None:
        """Parse nothing more in this iteration of the event loop."""
        self.is_deferred = self.unparsed.length > 0

    def end_deferral(self) -> None:
        """Allow parsing in this iteration of the event loop."""
        self._parsed_parts = 0
        self.is_deferred = False

    def is_waiting_for_queue(self) -> bool:
        """Return whether received data is not parsed because the queue is full."""
        return self.unparsed.length > 0 and not self.is_deferred

    def is_full(self) -> bool:
        """Return whether no more messages are parsed until one is taken from the queue."""
        return len(self.messages) >= MAX_QUEUED_MESSAGES or self._queued_bytes >= MAX_QUEUED_BYTES

    def waiting_bytes(self) -> int:
        """Return the length of all data that the pipeline keeps."""
        return self.unparsed.memory_bytes() + self._queued_bytes + self._parser.partial_bytes()

    def has_more(self) -> bool:
        """Return whether another message has been received, at least in part."""
        return bool(self.messages or self.unparsed.length or self.has_partial_message)

    def ends_with_rejection(self) -> bool:
        """Return whether the last queued message is an error that ends the connection."""
        return bool(self.messages) and isinstance(self.messages[-1], ConnectionRejection)

    def reject(self, response: Response) -> None:
        """Stop parsing, drop the incomplete message, and queue an error that ends the connection."""
        self.is_finished = True
        self.unparsed.clear()
        self._parser.discard_message()
        self._queue(ConnectionRejection(response))

    def replace_requests_with(self, response: Response) -> None:
        """Replace each queued request by a response; queued responses and rejections stay."""
        messages = self.messages
        self.messages = deque()
        self._queued_bytes = 0
        for message in messages:
            self._queue(response if isinstance(message, ClientRequest) else message)

    def clear(self) -> None:
        """Drop all data."""
        self._parser.discard_message()
        self.messages.clear()
        self._queued_bytes = 0
        self.unparsed.clear()

    def close(self) -> None:
        """Drop all data, and the parser with it; nothing may be received any more."""
        self.clear()
        self._parser.close()
