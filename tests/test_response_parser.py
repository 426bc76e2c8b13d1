"""The response parser, with rules such as those for servers (strict) and for the agent (lenient)."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from workspond.http.response_parser import ParseState, ResponseParser, ResponseRules

STRICT = ResponseRules(
    header_names=frozenset((b"x-mark",)),
    max_head_bytes=200,
    max_body_bytes=10,
    allows_repeated_framing=False,
    ignores_trailing_data=True,
)
LENIENT = ResponseRules(max_message_bytes=300)
STRICT_AND_LENIENT = pytest.mark.parametrize("rules", [STRICT, LENIENT], ids=["strict", "lenient"])
HEAD = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 103 Early\r\nX-Mark: early\r\nContent-Type: text/plain\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
REPEATED_TRANSFER_ENCODING = CHUNKED.replace(
    b"Transfer-Encoding: chunked\r\n", b"Transfer-Encoding: chunked\r\n" * 2
)


def response_with_length(body: bytes, headers: bytes = b"", status: int = 200) -> bytes:
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (status, headers, len(body), body)


def feed_parts(rules: ResponseRules, *parts: bytes) -> tuple[ResponseParser, ParseState]:
    """Feed parts to a new parser; return it with the state after the last part."""
    parser = ResponseParser(rules)
    state = ParseState.INCOMPLETE
    for part in parts:
        assert state is ParseState.INCOMPLETE
        state = parser.feed(part)
    return parser, state


def single_bytes(data: bytes) -> list[bytes]:
    return [data[index : index + 1] for index in range(len(data))]


@STRICT_AND_LENIENT
@pytest.mark.parametrize(
    ("data", "status", "body"),
    [
        (response_with_length(b"abcde"), 200, b"abcde"),
        (response_with_length(b""), 200, b""),
        (response_with_length(b"no", status=503), 503, b"no"),
        (CHUNKED, 200, b"abcde"),
        (b"HTTP/1.1 204 None\r\n\r\n", 204, b""),
        (INTERIM + response_with_length(b"abcde"), 200, b"abcde"),
        (INTERIM + INTERIM + CHUNKED, 200, b"abcde"),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED, 200, b"abcde"),
    ],
    ids=[
        "content length",
        "empty body",
        "error status",
        "chunked",
        "no body",
        "after one interim response",
        "after two interim responses",
        "after 100 Continue",
    ],
)
def test_a_response_is_parsed_from_one_read_and_byte_by_byte(
    rules: ResponseRules, data: bytes, status: int, body: bytes
) -> None:
    for parts in ([data], single_bytes(data)):
        parser, state = feed_parts(rules, *parts)
        assert state is ParseState.COMPLETE
        response = parser.take_response()
        assert (response.status, response.body) == (status, body)
        assert parser.can_keep_alive


@STRICT_AND_LENIENT
def test_connection_close_and_http_1_0_prevent_reuse_of_the_connection(rules: ResponseRules) -> None:
    for data in (
        response_with_length(b"a", b"Connection: close\r\n"),
        response_with_length(b"a").replace(b"1.1", b"1.0"),
    ):
        parser, state = feed_parts(rules, data)
        assert state is ParseState.COMPLETE and not parser.can_keep_alive


def test_only_the_requested_headers_are_kept_with_the_last_value_of_a_repeated_one() -> None:
    data = response_with_length(b"a", b"X-Mark: one\r\nX-Other: 1\r\nx-mArK: two\r\n")
    assert feed_parts(STRICT, data)[0].take_response().headers == {b"x-mark": b"two"}
    assert feed_parts(LENIENT, data)[0].take_response().headers == {}


def test_headers_of_interim_responses_are_discarded_and_trailers_kept() -> None:
    assert feed_parts(STRICT, INTERIM + response_with_length(b"a"))[0].take_response().headers == {}
    trailer = CHUNKED[:-2] + b"X-Mark: late\r\n\r\n"
    assert feed_parts(STRICT, INTERIM + trailer)[0].take_response().headers == {b"x-mark": b"late"}


@STRICT_AND_LENIENT
def test_a_response_without_a_length_is_complete_when_the_connection_closes(rules: ResponseRules) -> None:
    for body in (b"", b"abcde"):
        parser, state = feed_parts(rules, HEAD + b"\r\n" + body)
        assert state is ParseState.INCOMPLETE
        assert parser.feed_eof()
        assert parser.take_response().body == body
        assert not parser.can_keep_alive
        assert not parser.feed_eof()  # the response was complete already


@STRICT_AND_LENIENT
def test_the_length_of_an_interim_response_does_not_apply_to_the_final_one(rules: ResponseRules) -> None:
    interim = INTERIM.replace(b"X-Mark: early", b"Content-Length: 0")
    parser, state = feed_parts(rules, interim + HEAD + b"\r\nabcde")
    assert state is ParseState.INCOMPLETE
    assert parser.feed_eof()
    assert parser.take_response().body == b"abcde"


@STRICT_AND_LENIENT
@pytest.mark.parametrize(
    "data",
    [
        b"",
        HEAD,
        INTERIM,
        HEAD + b"Content-Length: 3\r\n\r\nab",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    ],
    ids=["no data", "incomplete head", "interim response", "incomplete body", "no last chunk"],
)
def test_a_close_does_not_complete_a_response_that_is_not_delimited_by_it(
    rules: ResponseRules, data: bytes
) -> None:
    parser, state = feed_parts(rules, data)
    assert state is ParseState.INCOMPLETE
    assert not parser.feed_eof()


@STRICT_AND_LENIENT
@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff not HTTP at all\r\n\r\n",
        HEAD + b"Content-Length: -5\r\n\r\n",
        HEAD + b"Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
    ],
    ids=["not HTTP", "negative length", "two lengths", "upgrade", "bad chunk size"],
)
def test_an_invalid_response_is_malformed(rules: ResponseRules, data: bytes) -> None:
    assert feed_parts(rules, data)[1] is ParseState.MALFORMED


def test_repeated_transfer_encoding_is_malformed_unless_the_rules_allow_it() -> None:
    assert feed_parts(STRICT, REPEATED_TRANSFER_ENCODING)[1] is ParseState.MALFORMED
    parser, state = feed_parts(replace(STRICT, allows_repeated_framing=True), REPEATED_TRANSFER_ENCODING)
    assert state is ParseState.COMPLETE and parser.take_response().body == b"abcde"


@STRICT_AND_LENIENT
def test_a_length_together_with_a_transfer_encoding_is_always_malformed(rules: ResponseRules) -> None:
    length, encoding = b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n"
    for headers in (length + encoding, encoding + length):
        assert feed_parts(rules, CHUNKED.replace(encoding, headers))[1] is ParseState.MALFORMED


def test_a_head_over_its_limit_is_too_large_with_interim_responses_counted() -> None:
    assert feed_parts(STRICT, HEAD + b"X-Pad: " + b"x" * 200)[1] is ParseState.TOO_LARGE
    assert feed_parts(STRICT, *[INTERIM] * 4)[1] is ParseState.TOO_LARGE
    assert feed_parts(STRICT, *[INTERIM] * 3)[1] is ParseState.INCOMPLETE
    assert feed_parts(replace(STRICT, max_head_bytes=math.inf), *[INTERIM] * 9)[1] is ParseState.INCOMPLETE


def test_a_head_over_its_limit_is_accepted_if_one_read_contains_its_end() -> None:
    """The limit applies only to an incomplete head, as a complete one has been read already."""
    padded = b"X-Pad: " + b"x" * 200 + b"\r\n"
    assert feed_parts(STRICT, response_with_length(b"abc", padded))[1] is ParseState.COMPLETE
    assert feed_parts(STRICT, HEAD + padded + b"Content-Length: 3\r\n\r\n")[1] is ParseState.INCOMPLETE


def test_a_trailer_over_the_limit_of_a_head_is_too_large() -> None:
    """Guards against a trailer that is collected without a limit; complete trailers are not kept."""
    before_trailers = CHUNKED[:-2]
    state = feed_parts(STRICT, before_trailers, b"X-Pad: " + b"x" * 100, b"x" * 94)[1]
    assert state is ParseState.TOO_LARGE
    assert feed_parts(STRICT, before_trailers, b"X-Pad: " + b"x" * 100)[1] is ParseState.INCOMPLETE
    assert feed_parts(STRICT, before_trailers, *[b"X-Pad: 1\r\n"] * 50, b"\r\n")[1] is ParseState.COMPLETE


@pytest.mark.parametrize(
    "data",
    [
        response_with_length(b"x" * 11),
        HEAD + b"Content-Length: 3000000000\r\n\r\n",
        HEAD + b"\r\n" + b"x" * 11,
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n5\r\nghijk\r\n0\r\n\r\n",
    ],
    ids=["announced and sent", "announced", "without a length", "chunked"],
)
def test_a_body_over_its_limit_is_too_large(data: bytes) -> None:
    assert feed_parts(STRICT, data)[1] is ParseState.TOO_LARGE
    assert feed_parts(replace(STRICT, max_body_bytes=math.inf), data)[1] is not ParseState.TOO_LARGE


def test_a_body_of_exactly_its_limit_is_complete() -> None:
    parser, state = feed_parts(STRICT, response_with_length(b"x" * 10))
    assert state is ParseState.COMPLETE and parser.take_response().body == b"x" * 10


def test_a_response_over_the_message_limit_is_too_large_unless_complete() -> None:
    data = response_with_length(b"x" * 400)
    assert feed_parts(LENIENT, data[:-1])[1] is ParseState.TOO_LARGE
    assert feed_parts(LENIENT, data[:300])[1] is ParseState.INCOMPLETE
    assert feed_parts(LENIENT, data)[1] is ParseState.COMPLETE


def test_the_size_of_an_earlier_response_does_not_count_toward_the_message_limit() -> None:
    parser = ResponseParser(LENIENT)
    for _ in range(3):
        parser.start()
        assert parser.feed(response_with_length(b"x" * 400)[:200]) is ParseState.INCOMPLETE


def test_a_length_of_5001_digits_is_malformed_only_if_bodies_are_limited() -> None:
    """Python's int() rejects so many digits. Without a limit, only httptools converts the length."""
    data = response_with_length(b"abcde").replace(b"Length: 5", b"Length: " + b"0" * 5000 + b"5")
    assert feed_parts(replace(STRICT, max_head_bytes=math.inf), data)[1] is ParseState.MALFORMED
    assert feed_parts(replace(LENIENT, max_message_bytes=math.inf), data)[1] is ParseState.COMPLETE


@pytest.mark.parametrize(
    "trailing_data",
    [response_with_length(b"two", status=500), b"\x00 noise\r\n", HEAD],
    ids=["response", "not HTTP", "head"],
)
def test_ignored_trailing_data_only_prevents_reuse_of_the_connection(trailing_data: bytes) -> None:
    parser, state = feed_parts(STRICT, response_with_length(b"one") + trailing_data)
    assert state is ParseState.COMPLETE
    response = parser.take_response()
    assert (response.status, response.body) == (200, b"one")
    assert not parser.can_keep_alive


def test_trailing_data_that_is_not_ignored_is_part_of_the_response() -> None:
    assert feed_parts(LENIENT, response_with_length(b"one") + b"\x00 noise\r\n")[1] is ParseState.MALFORMED
    parser, state = feed_parts(
        LENIENT, response_with_length(b"one") + response_with_length(b"two", status=500)
    )
    assert state is ParseState.COMPLETE
    response = parser.take_response()
    assert (response.status, response.body) == (500, b"onetwo")


def test_an_upgrade_after_a_complete_response_is_malformed_even_if_trailing_data_is_ignored() -> None:
    upgrade = b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
    assert feed_parts(STRICT, response_with_length(b"one") + upgrade)[1] is ParseState.MALFORMED


@STRICT_AND_LENIENT
def test_one_parser_parses_successive_responses_of_a_connection(rules: ResponseRules) -> None:
    parser = ResponseParser(rules)
    for body in (b"one", b"", b"three"):
        parser.start()
        assert parser.feed(response_with_length(body)) is ParseState.COMPLETE
        assert parser.take_response().body == body
    parser.start()
    assert parser.feed(b"\x00") is ParseState.MALFORMED
    parser.start()
    assert parser.feed(response_with_length(b"last")) is ParseState.COMPLETE
