"""Parses the data of a client connection into requests.

A message that can't be served is answered with an error, but never with a rejection because of load (429 or
503), which only the policy decides. After the first message that can't be parsed, the connection is not
parsed any further.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from workspond.http.limits import MAX_BODY_BYTES, MAX_HEAD_BYTES
from workspond.http.request import ClientRequest, InvalidRequestError
from workspond.http.request_validator import USED_HEADERS, check_framing, validate_request
from workspond.http.response import Response
from workspond.http.segmented_buffer import SegmentedBuffer
from workspond.policy.settings import RequestClass

INTERNAL_PATH_PREFIX = b"/-/"  # requests for these paths are answered by the node and not forwarded


@dataclass(frozen=True, slots=True)
class ConnectionRejection:
    """An error response after which the connection is not parsed any further and is closed."""

    response: Response

    def memory_bytes(self) -> int:
        """Return how much memory the rejection takes."""
        return self.response.memory_bytes()


# A request to serve, a response to write, or an error response that ends the connection.
ParsedMessage = ClientRequest | Response | ConnectionRejection


class RequestParser:
    """Parses the data of one connection into complete messages, in the order of arrival.

    The `on_...` methods are callbacks of httptools. An exception raised in a callback would be reported as
    malformed HTTP.

    Attributes:
        has_partial_message: Whether a message has begun and is not complete.
        is_finished: Whether parsing has ended: the client asked for a close, or a message was rejected.
        reported_parts: How many headers, trailers and parts of bodies the last `feed` has reported; its
            duration depends on them.
    """

    def __init__(
        self,
        classes: dict[str, RequestClass],
        internal_path_response: Callable[[bytes], Response],
    ) -> None:
        """Create the parser of a new connection.

        Args:
            classes: The request classes by name.
            internal_path_response: Returns the response to a request for one of the node's own paths.
        """
        self._classes = classes
        self._internal_path_response = internal_path_response
        self._parser = httptools.HttpRequestParser(self)
        self._body = SegmentedBuffer()  # holds the incomplete body, empty between messages
        self._messages: list[ParsedMessage] = []  # holds the messages that the current `feed` completes
        self.has_partial_message = False
        self.is_finished = False
        self.reported_parts = 0
        self._has_completed_message = False  # True if the data of the last `feed` completed a message
        self._received_at_ms = 0.0  # the time at which the data of the last `feed` was received
        self._start_message()

    def _start_message(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._kept_header_bytes = 0
        self._unreported_header_bytes = 0
        self._unreported_bytes = 0  # counts the bytes fed of an incomplete head, or of an incomplete trailer
        self._section_bytes = 0  # counts the parsed bytes of the headers, and then those of the body
        self._is_head_complete = False

    def feed(self, data: bytes, received_at_ms: float) -> list[ParsedMessage]:
        """Parse received data.

        Args:
            data: The received data.
            received_at_ms: The time, by `now_ms`, at which the data was received.

        Returns:
            The messages that this data completes.
        """
        self._received_at_ms = received_at_ms
        if self.is_finished:
            return []
        self._has_completed_message = False
        self.reported_parts = 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades are not supported")
        except httptools.HttpParserError:
            self._reject(400, "malformed HTTP")
        self._check_unreported(len(data))
        self._count_unreported_header(len(data))
        messages = self._messages
        self._messages = []
        return messages

    def is_in_body(self) -> bool:
        """Return whether a message has begun whose head is complete."""
        return self.has_partial_message and self._is_head_complete

    def partial_bytes(self) -> int:
        """Return the length of what is kept of the incomplete message."""
        kept_bytes = len(self._target) + self._kept_header_bytes + len(self._body)
        return kept_bytes + self._unreported_header_bytes

    def discard_body(self) -> None:
        """Drop the body of a message, because it is complete and passed on, or will not be."""
        self._body.clear()

    def discard_message(self) -> None:
        """Drop all that is kept of a message, because it will not be completed."""
        self.discard_body()
        self._target = b""
        self._headers = {}
        self._kept_header_bytes = 0
        self._unreported_header_bytes = 0

    def close(self) -> None:
        """Release all memory; nothing may be fed any more.

        The parser of httptools and this object refer to each other, so that both would otherwise stay until a
        garbage collection.
        """
        self.is_finished = True
        self.discard_message()
        del self._parser

    def _check_unreported(self, fed_bytes: int) -> None:
        """Check the size of an incomplete head or trailer.

        The bytes fed are counted, as httptools reports a header or trailer only once it is complete.
        """
        if self._has_completed_message:
            return
        if self._is_head_complete and self.reported_parts:
            self._unreported_bytes = 0
            return
        self._unreported_bytes += fed_bytes
        if self._unreported_bytes > MAX_HEAD_BYTES:
            is_target_too_long = len(self._target) > MAX_HEAD_BYTES
            self._reject(431, "target too long" if is_target_too_long else "headers too large")

    def _count_unreported_header(self, fed_bytes: int) -> None:
        """Count the bytes of the header or trailer that httptools keeps until it is complete."""
        is_in_body = self._is_head_complete and self.reported_parts
        if not self.has_partial_message or is_in_body:
            self._unreported_header_bytes = 0
        elif self._has_completed_message or self.reported_parts:
            self._unreported_header_bytes = fed_bytes
        else:
            self._unreported_header_bytes += fed_bytes

    def _reject(self, status: int, reason: str) -> None:
        """Queue an error response and stop parsing; does nothing if parsing has ended already."""
        if not self.is_finished:
            self.is_finished = True
            self._messages.append(ConnectionRejection(Response(status, reason.encode())))

    def on_message_begin(self) -> None:
        """Start a new message."""
        self.has_partial_message = True
        self._start_message()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, or a trailer of a chunked body, if the node uses it.

        Others are only counted, as each would take many times its length in memory.
        """
        self.reported_parts += 1
        name = name.lower()
        self._section_bytes += len(name) + len(value)
        if self._section_bytes > MAX_HEAD_BYTES:
            self._reject(431, "headers too large")
        elif name not in USED_HEADERS or self.is_finished:
            return
        elif name in self._headers:
            self._reject(400, "a header came twice")
        else:
            self._headers[name] = value.strip()
            self._kept_header_bytes += len(value)

    def on_headers_complete(self) -> None:
        """Check the length of the target, the framing and the announced body length."""
        self._is_head_complete = True
        self._unreported_bytes = 0
        self._section_bytes = 0
        if len(self._target) > MAX_HEAD_BYTES:
            self._reject(431, "target too long")
        try:
            check_framing(self._headers, self._parser.get_http_version())
        except InvalidRequestError as error:
            self._reject(400, str(error))
        length = self._headers.get(b"content-length", b"0")
        if length.isdigit() and int(length[:12]) > MAX_BODY_BYTES:
            self._reject(413, "body over 64 KiB")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.reported_parts += 1
        self._section_bytes += len(body)
        if self._section_bytes > MAX_BODY_BYTES:
            self._reject(413, "body over 64 KiB")
        elif not self.is_finished:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Add the completed message to the result of `feed`."""
        if self.is_finished:
            return
        self.has_partial_message = False
        self._has_completed_message = True
        try:
            self._messages.append(self._complete_message())
        except InvalidRequestError as error:
            self._reject(400, str(error))
        else:
            self.is_finished = not self._parser.should_keep_alive()
        self.discard_message()

    def _complete_message(self) -> ClientRequest | Response:
        """Return the validated request, or the response to a request for one of the node's own paths."""
        path = self._target.partition(b"?")[0]
        if path.startswith(INTERNAL_PATH_PREFIX):
            return self._internal_path_response(path)
        return validate_request(
            self._classes,
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=self._body.take(),
            received_at_ms=self._received_at_ms,
        )
