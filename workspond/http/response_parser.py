"""Parses HTTP/1.1 responses of servers and of the discovery agent.

The parser reads one response at a time. It handles body framing, skips interim (1xx) responses and enforces
size limits. `ResponseRules` holds the options that differ between servers and the agent.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

import httptools

from workspond.http.segmented_buffer import SegmentedBuffer

# The headers that state where a body ends. Without them the body ends when the connection is closed.
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class ParseState(Enum):
    """The progress or failure of parsing a response."""

    INCOMPLETE = "incomplete"
    COMPLETE = "complete"
    MALFORMED = "malformed"
    TOO_LARGE = "too large"


@dataclass(frozen=True, slots=True)
class ResponseRules:
    """The limits and options of a response parser; a limit of infinity means no limit.

    Attributes:
        header_names: The names of the headers to keep, in lower case and without framing headers.
        max_head_bytes: The limit on the bytes read before the body begins, interim responses included, and on
            those of an incomplete trailer.
        max_body_bytes: The limit on the body, and on the announced body length.
        max_message_bytes: The limit on the bytes read of a response that is still incomplete.
        allows_repeated_framing: Whether more than one framing header is allowed. Content-Length together with
            Transfer-Encoding and repeated Content-Length headers are malformed in any case.
        ignores_trailing_data: Whether data that follows a complete response in the same read is ignored,
            except that the connection can't be reused. Otherwise the data is parsed as part of the response:
            it may make the response malformed, and the body of a further response is appended to the body.
    """

    header_names: frozenset[bytes] = frozenset()
    max_head_bytes: float = math.inf
    max_body_bytes: float = math.inf
    max_message_bytes: float = math.inf
    allows_repeated_framing: bool = True
    ignores_trailing_data: bool = False


@dataclass(slots=True)
class ParsedResponse:
    """A complete response; for a repeated header, the last value is kept."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class ResponseParser:
    """Parses the responses of one connection, one after the other.

    `start` must be called before the first byte of a response is fed. One object parses all responses of a
    connection, as an object for each response would only be freed by the garbage collector.

    Attributes:
        can_keep_alive: Whether the connection can be reused after the response.
    """

    __slots__ = (
        "_rules",
        "_parser",
        "_unreported_bytes",
        "_has_reported_part",
        "_message_bytes",
        "_status",
        "_headers",
        "_body",
        "_framing_count",
        "_in_body",
        "_is_complete",
        "_ignores_rest",
        "_is_closed",
        "_failure",
        "can_keep_alive",
    )

    def __init__(self, rules: ResponseRules) -> None:
        self._rules = rules
        self._body = SegmentedBuffer()
        self.start()

    def start(self) -> None:
        """Start a new response and discard the state of the previous one."""
        self._parser = httptools.HttpResponseParser(self)
        self._is_closed = False
        self._unreported_bytes = 0  # counts the bytes fed of an incomplete head, or of an incomplete trailer
        self._has_reported_part = False  # True if the last feed completed a header or held a part of the body
        self._message_bytes = 0
        self._status = 0
        self._headers: dict[bytes, bytes] = {}
        self._body.clear()
        self._framing_count = 0
        self._in_body = False
        self._is_complete = False
        self._ignores_rest = False  # True if the response is complete and the data that follows is ignored
        self._failure: ParseState | None = None
        self.can_keep_alive = False

    def feed(self, data: bytes) -> ParseState:
        """Parse a part of the response and return the new state."""
        self._message_bytes += len(data)
        self._has_reported_part = False
        self._parse(data)
        # httptools reports a header or trailer only once it is complete, so only the bytes fed reveal an
        # endless one.
        if self._in_body and self._has_reported_part:
            self._unreported_bytes = 0
        else:
            self._unreported_bytes += len(data)
        if self._failure is not None:
            return self._failure
        if self._is_complete:
            return ParseState.COMPLETE
        if self._unreported_bytes > self._rules.max_head_bytes:
            return ParseState.TOO_LARGE
        if self._message_bytes > self._rules.max_message_bytes:
            return ParseState.TOO_LARGE
        return ParseState.INCOMPLETE

    def feed_eof(self) -> bool:
        """Handle an orderly close of the connection; return whether the close completes the response.

        It does if the body has begun and no framing header states where the body ends.
        """
        if not self._in_body or self._is_complete or self._framing_count:
            return False
        self._is_complete = True
        self.can_keep_alive = False
        return True

    def take_response(self) -> ParsedResponse:
        """Return the response, which must be complete, and drop its body, as the connection may stay idle."""
        # If trailing data is parsed, the status is that of the status line parsed last.
        status = self._status if self._ignores_rest else self._parser.get_status_code()
        return ParsedResponse(status, self._headers, self._body.take())

    def partial_bytes(self) -> int:
        """Return the length of the body so far."""
        return len(self._body)

    def close(self) -> None:
        """Release all memory; nothing may be fed before the next `start`.

        The parser of httptools and this object refer to each other, so that both would otherwise stay until a
        garbage collection.
        """
        if not self._is_closed:
            self._is_closed = True
            self._body.clear()
            del self._parser

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._failure = ParseState.MALFORMED
        except httptools.HttpParserError:
            self.can_keep_alive = False
            if not self._ignores_rest:
                self._failure = ParseState.MALFORMED

    # Callbacks of httptools. An exception raised in a callback makes `feed_data` raise an `HttpParserError`.

    def on_message_begin(self) -> None:
        """Prevent reuse of the connection if a further response begins while trailing data is ignored.

        Such a response belongs to no request.
        """
        if self._ignores_rest:
            self.can_keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, or a trailer of a chunked body."""
        self._has_reported_part = True
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
        """Store the status and check the framing."""
        self._has_reported_part = True
        if self._ignores_rest:
            return
        self._status = self._parser.get_status_code()
        self._in_body = True
        # With several framing headers, it is unknown which one is right.
        if self._framing_count > 1 and not self._rules.allows_repeated_framing:
            self._failure = ParseState.MALFORMED

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, from which the chunk framing is removed."""
        self._has_reported_part = True
        if self._ignores_rest:
            return
        self._body.append(body)
        if len(self._body) > self._rules.max_body_bytes:
            self._failure = ParseState.TOO_LARGE
            self._body.clear()

    def on_message_complete(self) -> None:
        """Handle the end of an interim or final response."""
        if self._ignores_rest:
            return
        if 100 <= self._status < 200:
            self._await_final_response()
            return
        self._is_complete = True
        self._ignores_rest = self._rules.ignores_trailing_data
        self.can_keep_alive = self._parser.should_keep_alive()

    def _await_final_response(self) -> None:
        """Discard an interim response, whose size still counts toward the limits."""
        self._in_body = False
        self._framing_count = 0
        self._headers.clear()
