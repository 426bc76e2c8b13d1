"""Parsing of HTTP/1.1 responses, as servers and the discovery agent send them.

The parser reads one response at a time. It follows the framing of the body, skips interim (1xx) responses and
keeps to size limits; what differs between the peers is in `ResponseRules`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

import httptools

# Headers that tell where a body ends. Without one the response ends with its connection.
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class ParseState(Enum):
    """How far a response has been read."""

    INCOMPLETE = "incomplete"
    COMPLETE = "complete"
    MALFORMED = "malformed"
    TOO_LARGE = "too large"


@dataclass(frozen=True, slots=True)
class ResponseRules:
    """What a response may be; a limit of infinity means that there is none.

    Attributes:
        header_names: The headers to keep, in lower case; no framing headers.
        max_head_bytes: The limit of what is read before the body begins, interim responses included.
        max_body_bytes: The limit of the body. It holds for the announced length too.
        max_message_bytes: The limit of the whole response, as long as it is incomplete.
        allows_two_framings: Whether more than one header may tell where the body ends. Content-Length beside
            Transfer-Encoding, and two Content-Lengths, are malformed in any case.
        ignores_surplus: Whether what follows a complete response in the same read is ignored, and only makes
            its connection unusable for another request. Otherwise it is parsed as part of the response: it
            may make it malformed, and the body of a further response is added to the body.
    """

    header_names: frozenset[bytes] = frozenset()
    max_head_bytes: float = math.inf
    max_body_bytes: float = math.inf
    max_message_bytes: float = math.inf
    allows_two_framings: bool = True
    ignores_surplus: bool = False


@dataclass(slots=True)
class ParsedResponse:
    """A complete response; of a header that came more than once the last value is kept."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class ResponseParser:
    """Reads the responses of one connection, one after the other.

    `start` begins a response and has to be called before its first byte is fed. The same object serves all
    responses of a connection, as an object for each would only be freed by the garbage collector.
    """

    __slots__ = (
        "_rules",
        "_parser",
        "_head_bytes",
        "_body_bytes",
        "_message_bytes",
        "_status",
        "_headers",
        "_body_parts",
        "_framing_count",
        "_in_body",
        "_is_complete",
        "_ignores_rest",
        "_failure",
        "can_keep_alive",
    )

    def __init__(self, rules: ResponseRules) -> None:
        self._rules = rules
        self.start()

    def start(self) -> None:
        """Begin a response; whatever was fed before is forgotten."""
        self._parser = httptools.HttpResponseParser(self)
        self._head_bytes = 0
        self._body_bytes = 0
        self._message_bytes = 0
        self._status = 0
        self._headers: dict[bytes, bytes] = {}
        self._body_parts: list[bytes] = []
        self._framing_count = 0
        self._in_body = False
        self._is_complete = False
        self._ignores_rest = False  # the response is complete, and what follows does not count
        self._failure: ParseState | None = None
        self.can_keep_alive = False

    def feed(self, data: bytes) -> ParseState:
        """Parse what has been read; returns the state of the response after it."""
        self._message_bytes += len(data)
        if not self._in_body:
            self._head_bytes += len(data)
        self._parse(data)
        if self._failure is not None:
            return self._failure
        if self._is_complete:
            return ParseState.COMPLETE
        # The parser reports a header once it is complete: an endless one shows only in the bytes fed.
        if not self._in_body and self._head_bytes > self._rules.max_head_bytes:
            return ParseState.TOO_LARGE
        if self._message_bytes > self._rules.max_message_bytes:
            return ParseState.TOO_LARGE
        return ParseState.INCOMPLETE

    def feed_eof(self) -> bool:
        """Note the orderly end of the connection; returns whether just this completes the response.

        It does if the body has begun and no header tells where it ends.
        """
        if not self._in_body or self._is_complete or self._framing_count:
            return False
        self._is_complete = True
        self.can_keep_alive = False
        return True

    def response(self) -> ParsedResponse:
        """The response, once it is complete."""
        # Where surplus data counts, the status is that of the status line read last.
        status = self._status if self._ignores_rest else self._parser.get_status_code()
        return ParsedResponse(status, self._headers, b"".join(self._body_parts))

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._failure = ParseState.MALFORMED
        except httptools.HttpParserError:
            self.can_keep_alive = False
            if not self._ignores_rest:
                self._failure = ParseState.MALFORMED

    # Callbacks of httptools. An exception in one of them ends `feed_data` with an `HttpParserError`.

    def on_message_begin(self) -> None:
        """A response begins."""
        if self._ignores_rest:  # a second response, which belongs to no request
            self.can_keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer after a chunked body, is complete."""
        if self._ignores_rest:
            return
        name = name.lower()
        if name in self._rules.header_names:
            self._headers[name] = value
        elif name in FRAMING_HEADERS:
            self._framing_count += 1
            if name == b"content-length" and self._rules.max_body_bytes < math.inf:
                self._check_announced_length(int(value))

    def _check_announced_length(self, length_bytes: int) -> None:
        if length_bytes > self._rules.max_body_bytes:
            self._failure = ParseState.TOO_LARGE

    def on_headers_complete(self) -> None:
        """The head is complete."""
        if self._ignores_rest:
            return
        self._status = self._parser.get_status_code()
        self._in_body = True
        # Of two framings one is wrong, and nothing tells which.
        if self._framing_count > 1 and not self._rules.allows_two_framings:
            self._failure = ParseState.MALFORMED

    def on_body(self, body: bytes) -> None:
        """A part of the body, without its chunk framing."""
        if self._ignores_rest:
            return
        self._body_bytes += len(body)
        self._body_parts.append(body)
        if self._body_bytes > self._rules.max_body_bytes:
            self._failure = ParseState.TOO_LARGE
            self._body_parts.clear()

    def on_message_complete(self) -> None:
        """A response, interim or final, is complete."""
        if self._ignores_rest:
            return
        if 100 <= self._status < 200:
            self._await_final_response()
            return
        self._is_complete = True
        self._ignores_rest = self._rules.ignores_surplus
        self.can_keep_alive = self._parser.should_keep_alive()

    def _await_final_response(self) -> None:
        """Forget an interim response; its size counts toward the limits all the same."""
        self._in_body = False
        self._framing_count = 0
        self._headers.clear()
