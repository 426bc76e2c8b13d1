"""Splits the bytes of a client's connection into requests.

What can't be served becomes an error response here, never a rejection for load (429, 503): only the policy
gives those. After the first message that can't be parsed, nothing more of the connection is parsed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from workspond.http.limits import MAX_BODY_BYTES, MAX_HEAD_BYTES
from workspond.http.request import ClientRequest, InvalidRequestError
from workspond.http.request_validator import SINGLE_VALUE_HEADERS, check_framing, validate_request
from workspond.http.response import Response
from workspond.policy.settings import RequestClass

INTERNAL_PATH_PREFIX = b"/-/"  # the node itself answers requests for these paths


@dataclass(frozen=True, slots=True)
class ConnectionRejection:
    """The end of what can be parsed on a connection, with the error for its client."""

    response: Response


# A request to serve, a response to write, or an error after which the connection is closed.
ParsedMessage = ClientRequest | Response | ConnectionRejection


class RequestParser:
    """The parser of one connection: bytes in, complete messages out, in order.

    The methods `on_...` are the callbacks of httptools. An exception in one of them would count as malformed
    HTTP.
    """

    def __init__(
        self,
        classes: dict[str, RequestClass],
        internal_path_response: Callable[[bytes], Response],
    ) -> None:
        """`internal_path_response` gives the response to a request for one of the node's own paths."""
        self._classes = classes
        self._internal_path_response = internal_path_response
        self._parser = httptools.HttpRequestParser(self)
        self._messages: list[ParsedMessage] = []  # completed by the bytes fed last
        self.has_partial_message = False  # a message has begun and is not complete
        self.is_finished = (
            False  # parses nothing more: the client asked for a close, or a message was rejected
        )
        self._has_completed_message = False  # by the bytes fed last
        self._received_at_ms = 0.0  # when these were received
        self._start_message()

    def _start_message(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._head_bytes = 0  # fed so far, if the head is not complete
        self._section_bytes = 0  # of the headers so far; then of the body
        self._is_head_complete = False

    def feed(self, data: bytes, received_at_ms: float) -> list[ParsedMessage]:
        """Parse data that was received at `received_at_ms`.

        Returns:
            The messages that this data completed.
        """
        self._messages = []
        self._received_at_ms = received_at_ms
        if self.is_finished:
            return self._messages
        self._has_completed_message = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades are not supported")
        except httptools.HttpParserError:
            self._reject(400, "malformed HTTP")
        self._check_unfinished_head(len(data))
        return self._messages

    def _check_unfinished_head(self, fed_bytes: int) -> None:
        """Limit the head by what was fed: httptools reports a header only once it is complete."""
        if self._is_head_complete or self._has_completed_message:
            return
        self._head_bytes += fed_bytes
        if self._head_bytes > MAX_HEAD_BYTES:
            self._reject(431, "headers too large")

    def _reject(self, status: int, reason: str) -> None:
        """End the messages with an error; only the first error counts."""
        if not self.is_finished:
            self.is_finished = True
            self._messages.append(ConnectionRejection(Response(status, reason.encode())))

    def on_message_begin(self) -> None:
        """Start a message."""
        self.has_partial_message = True
        self._start_message()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, or a trailer of a chunked body."""
        name = name.lower()
        self._section_bytes += len(name) + len(value)
        if self._section_bytes > MAX_HEAD_BYTES:
            self._reject(431, "headers too large")
        elif name in SINGLE_VALUE_HEADERS and name in self._headers:
            self._reject(400, "a header came twice")
        elif not self.is_finished:
            self._headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        """Check the head: its size, its framing and the length that it announces."""
        self._is_head_complete = True
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
        """Take a part of the body."""
        self._section_bytes += len(body)
        if self._section_bytes > MAX_BODY_BYTES:
            self._reject(413, "body over 64 KiB")
        elif not self.is_finished:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Add the message to those that are returned."""
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

    def _complete_message(self) -> ClientRequest | Response:
        """The request, or the response to one for a path of the node itself."""
        path = self._target.partition(b"?")[0]
        if path.startswith(INTERNAL_PATH_PREFIX):
            return self._internal_path_response(path)
        return validate_request(
            self._classes,
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._body),
            received_at_ms=self._received_at_ms,
        )
