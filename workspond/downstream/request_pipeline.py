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
    """Parses the bytes of a connection and queues its messages until their turn."""

    __slots__ = ("_messages", "_parser", "_unparsed", "_unparsed_received_at_ms")

    def __init__(self, parser: RequestParser) -> None:
        self._parser = parser
        self._messages: deque[ParsedMessage] = deque()
        self._unparsed = b""
        self._unparsed_received_at_ms = 0.0

    @property
    def is_finished(self) -> bool:
        """Whether nothing more is parsed: the client asked for a close, or sent what can't be parsed."""
        return self._parser.is_finished

    @property
    def has_unparsed_data(self) -> bool:
        """Whether data was read that the queue had no capacity for."""
        return bool(self._unparsed)

    @property
    def has_queued_messages(self) -> bool:
        """Whether a parsed message waits for its turn."""
        return bool(self._messages)

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has begun and has not been received to its end."""
        return self._parser.has_partial_message

    @property
    def awaits_rest_of_message(self) -> bool:
        """Whether the client has yet to send the rest of a message."""
        return self._parser.has_partial_message and not self._unparsed

    @property
    def ends_with_rejection(self) -> bool:
        """Whether an error that ends the connection waits for its turn."""
        return bool(self._messages) and isinstance(self._messages[-1], ConnectionRejection)

    def has_more(self) -> bool:
        """Whether another message has been received, at least in part."""
        return bool(self._messages or self._unparsed or self._parser.has_partial_message)

    def receive(self, data: bytes, connection: socket.socket) -> None:
        """Take data that was read from a connection; `parse` parses it."""
        if not self._unparsed:
            # It may have been unread for long: in the backlog, while the loop was busy, or while reading
            # was paused.
            self._unparsed_received_at_ms = now_ms() - last_data_age_ms(connection)
        self._unparsed += data

    def parse(self) -> None:
        """Parse the data that was read, as far as the queue has capacity."""
        while self._unparsed and len(self._messages) < MAX_QUEUED_MESSAGES and not self._parser.is_finished:
            chunk = self._unparsed[:PARSE_CHUNK_BYTES]
            self._unparsed = self._unparsed[PARSE_CHUNK_BYTES:]
            self._messages.extend(self._parser.feed(chunk, self._unparsed_received_at_ms))
        if self._parser.is_finished:
            self._unparsed = b""

    def next_message(self) -> ParsedMessage:
        """Remove the first message of the queue and return it.

        Raises:
            IndexError: The queue is empty.
        """
        return self._messages.popleft()

    def reject(self, response: Response) -> None:
        """Parse nothing more, and end the queue with an error that ends the connection."""
        self._parser.stop()
        self._messages.append(ConnectionRejection(response))

    def answer_requests_with(self, response: Response) -> None:
        """Replace each queued request by a response; responses and rejections stay in their places."""
        self._messages = deque(
            response if isinstance(message, ClientRequest) else message for message in self._messages
        )

    def clear(self) -> None:
        """Drop what has been received and not started."""
        self._messages.clear()
        self._unparsed = b""
