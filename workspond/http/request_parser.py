"""Splits the bytes of a caller's connection into requests.

What can't be served becomes an error reply here, never a refusal (429, 503): those are the module's to
give. After the first message that can't be understood nothing more of the connection is read.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from workspond.http.limits import MAX_BODY_BYTES, MAX_HEAD_BYTES
from workspond.http.request import SINGLE, ClientRequest, InvalidRequestError, check_framing, read_message
from workspond.http.response import Response
from workspond.policy.settings import RequestClass

OWN_PATHS = b"/-/"  # the node answers for these itself


@dataclass(frozen=True, slots=True)
class ConnectionRejection:
    """The end of what can be read on a connection, and the error that its caller is told."""

    response: Response


Item = (
    ClientRequest | Response | ConnectionRejection
)  # to be served, to be answered at once, to be told and closed


class RequestParser:
    """One connection's parser: bytes in, whole messages out, in order."""

    def __init__(self, classes: dict[str, RequestClass], own_path: Callable[[bytes], Response]) -> None:
        self._classes, self._own_path = classes, own_path
        self._parser = httptools.HttpRequestParser(self)
        self._items: list[Item] = []
        self.partial = False  # a message has begun and has not come whole
        self.finished = False  # nothing more is read: the caller asked for a close, or can't be understood
        self._completed = False  # a message, by the bytes fed last
        self._received_at_ms = 0.0  # when these came
        self._start_message()

    def _start_message(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._head_size = self._part_size = 0
        self._headers_done = False

    def feed(self, data: bytes, received_at_ms: float) -> list[Item]:
        """Take what came in at `came_ms`; the messages that are whole by now."""
        self._items, self._received_at_ms = [], received_at_ms
        if self.finished:
            return self._items
        self._completed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(400, "upgrades are not supported")
        except httptools.HttpParserError:
            self.reject(400, "malformed HTTP")
        # The parser hands out a header once it is whole: one without end shows only in what was fed.
        if not self._headers_done and not self._completed:
            self._head_size += len(data)
            if self._head_size > MAX_HEAD_BYTES:
                self.reject(431, "headers too large")
        return self._items

    def reject(self, status: int, why: str) -> None:
        """Note what is wrong; the first thing counts."""
        if not self.finished:
            self.finished = True
            self._items.append(ConnectionRejection(Response(status, why.encode())))

    def stop(self) -> None:
        """Read nothing more."""
        self.finished = True

    # The parser's calls. An exception in one of them would count as malformed HTTP.

    def on_message_begin(self) -> None:
        self.partial = True
        self._start_message()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        self._part_size += len(name) + len(value)
        if self._part_size > MAX_HEAD_BYTES:
            self.reject(431, "headers too large")
        elif name in SINGLE and name in self._headers:
            self.reject(400, "a header came twice")
        elif not self.finished:
            self._headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        self._headers_done, self._part_size = True, 0
        if len(self._target) > MAX_HEAD_BYTES:
            self.reject(431, "target too long")
        try:
            check_framing(self._headers, self._parser.get_http_version())
        except InvalidRequestError as problem:
            self.reject(400, str(problem))
        length = self._headers.get(b"content-length", b"0")
        if length.isdigit() and int(length[:12]) > MAX_BODY_BYTES:
            self.reject(413, "body over 64 KiB")

    def on_body(self, body: bytes) -> None:
        self._part_size += len(body)
        if self._part_size > MAX_BODY_BYTES:
            self.reject(413, "body over 64 KiB")
        elif not self.finished:
            self._body.append(body)

    def on_message_complete(self) -> None:
        if self.finished:
            return None
        self.partial, self._completed = False, True
        try:
            self._items.append(self._message())
        except InvalidRequestError as problem:
            return self.reject(400, str(problem))
        self.finished = not self._parser.should_keep_alive()

    def _message(self) -> ClientRequest | Response:
        path = self._target.partition(b"?")[0]
        if path.startswith(OWN_PATHS):
            return self._own_path(path)
        method, body = self._parser.get_method(), b"".join(self._body)
        return read_message(self._classes, method, self._target, self._headers, body, self._received_at_ms)
