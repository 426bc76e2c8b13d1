"""The response parser by itself, with the rules for servers and with those for the discovery agent."""

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
BOTH = pytest.mark.parametrize("rules", [STRICT, LENIENT], ids=["strict", "lenient"])
HEAD = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 103 Early\r\nX-Mark: early\r\nContent-Type: text/plain\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
TWO_CODINGS = CHUNKED.replace(b"Transfer-Encoding: chunked\r\n", b"Transfer-Encoding: chunked\r\n" * 2)


def sized(body: bytes, headers: bytes = b"", status: int = 200) -> bytes:
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (status, headers, len(body), body)


def fed(rules: ResponseRules, *parts: bytes) -> tuple[ResponseParser, ParseState]:
    """A parser that was fed these parts, and the state after the last."""
    parser = ResponseParser(rules)
    state = ParseState.INCOMPLETE
    for part in parts:
        assert state is ParseState.INCOMPLETE
        state = parser.feed(part)
    return parser, state


def one_by_one(data: bytes) -> list[bytes]:
    return [data[index : index + 1] for index in range(len(data))]


@BOTH
@pytest.mark.parametrize(
    ("data", "status", "body"),
    [
        (sized(b"abcde"), 200, b"abcde"),
        (sized(b""), 200, b""),
        (sized(b"no", status=503), 503, b"no"),
        (CHUNKED, 200, b"abcde"),
        (b"HTTP/1.1 204 None\r\n\r\n", 204, b""),
        (INTERIM + sized(b"abcde"), 200, b"abcde"),
        (INTERIM + INTERIM + CHUNKED, 200, b"abcde"),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + CHUNKED, 200, b"abcde"),
    ],
    ids=[
        "length",
        "empty",
        "an error",
        "chunks",
        "no body",
        "after one interim",
        "after two interim",
        "after continue",
    ],
)
def test_a_response_is_read_at_once_and_byte_by_byte(
    rules: ResponseRules, data: bytes, status: int, body: bytes
) -> None:
    for parts in ([data], one_by_one(data)):
        parser, state = fed(rules, *parts)
        assert state is ParseState.COMPLETE
        response = parser.response()
        assert (response.status, response.body) == (status, body)
        assert parser.can_keep_alive


@BOTH
def test_a_connection_that_is_to_close_is_not_kept(rules: ResponseRules) -> None:
    for data in (sized(b"a", b"Connection: close\r\n"), sized(b"a").replace(b"1.1", b"1.0")):
        parser, state = fed(rules, data)
        assert state is ParseState.COMPLETE and not parser.can_keep_alive


def test_only_the_headers_asked_for_are_kept_and_of_two_the_last() -> None:
    data = sized(b"a", b"X-Mark: one\r\nX-Other: 1\r\nx-mArK: two\r\n")
    assert fed(STRICT, data)[0].response().headers == {b"x-mark": b"two"}
    assert fed(LENIENT, data)[0].response().headers == {}


def test_headers_of_interim_responses_are_forgotten_and_trailers_count() -> None:
    assert fed(STRICT, INTERIM + sized(b"a"))[0].response().headers == {}
    trailer = CHUNKED[:-2] + b"X-Mark: late\r\n\r\n"
    assert fed(STRICT, INTERIM + trailer)[0].response().headers == {b"x-mark": b"late"}


@BOTH
def test_a_response_with_no_length_ends_with_its_connection(rules: ResponseRules) -> None:
    for body in (b"", b"abcde"):
        parser, state = fed(rules, HEAD + b"\r\n" + body)
        assert state is ParseState.INCOMPLETE
        assert parser.feed_eof()
        assert parser.response().body == body
        assert not parser.can_keep_alive
        assert not parser.feed_eof()  # it was complete already


@BOTH
def test_a_length_of_an_interim_response_is_not_that_of_the_final_one(rules: ResponseRules) -> None:
    interim = INTERIM.replace(b"X-Mark: early", b"Content-Length: 0")
    parser, state = fed(rules, interim + HEAD + b"\r\nabcde")
    assert state is ParseState.INCOMPLETE
    assert parser.feed_eof()
    assert parser.response().body == b"abcde"


@BOTH
@pytest.mark.parametrize(
    "data",
    [
        b"",
        HEAD,
        INTERIM,
        HEAD + b"Content-Length: 3\r\n\r\nab",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    ],
    ids=["nothing", "half a head", "an interim response", "half a body", "no last chunk"],
)
def test_the_end_of_the_connection_completes_nothing_else(rules: ResponseRules, data: bytes) -> None:
    parser, state = fed(rules, data)
    assert state is ParseState.INCOMPLETE
    assert not parser.feed_eof()


@BOTH
@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff not HTTP at all\r\n\r\n",
        HEAD + b"Content-Length: -5\r\n\r\n",
        HEAD + b"Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
    ],
    ids=["noise", "a negative length", "two lengths", "an upgrade", "a bad chunk"],
)
def test_what_is_no_response_is_malformed(rules: ResponseRules, data: bytes) -> None:
    assert fed(rules, data)[1] is ParseState.MALFORMED


def test_two_framing_headers_are_malformed_unless_the_rules_allow_them() -> None:
    assert fed(STRICT, TWO_CODINGS)[1] is ParseState.MALFORMED
    parser, state = fed(replace(STRICT, allows_repeated_framing=True), TWO_CODINGS)
    assert state is ParseState.COMPLETE and parser.response().body == b"abcde"


@BOTH
def test_a_length_beside_a_coding_is_always_malformed(rules: ResponseRules) -> None:
    length, coding = b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n"
    for headers in (length + coding, coding + length):
        assert fed(rules, CHUNKED.replace(coding, headers))[1] is ParseState.MALFORMED


def test_a_head_over_its_limit_is_too_large_and_interim_responses_count_in_it() -> None:
    assert fed(STRICT, HEAD + b"X-Pad: " + b"x" * 200)[1] is ParseState.TOO_LARGE
    assert fed(STRICT, *[INTERIM] * 4)[1] is ParseState.TOO_LARGE
    assert fed(STRICT, *[INTERIM] * 3)[1] is ParseState.INCOMPLETE
    assert fed(replace(STRICT, max_head_bytes=math.inf), *[INTERIM] * 9)[1] is ParseState.INCOMPLETE


def test_a_head_over_its_limit_counts_if_it_comes_in_one_read_with_its_end() -> None:
    """The limit bounds what is waited for: what is complete has been read already."""
    padded = b"X-Pad: " + b"x" * 200 + b"\r\n"
    assert fed(STRICT, sized(b"abc", padded))[1] is ParseState.COMPLETE
    assert fed(STRICT, HEAD + padded + b"Content-Length: 3\r\n\r\n")[1] is ParseState.INCOMPLETE


@pytest.mark.parametrize(
    "data",
    [
        sized(b"x" * 11),
        HEAD + b"Content-Length: 3000000000\r\n\r\n",
        HEAD + b"\r\n" + b"x" * 11,
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n5\r\nghijk\r\n0\r\n\r\n",
    ],
    ids=["announced and sent", "announced", "with no length", "in chunks"],
)
def test_a_body_over_its_limit_is_too_large(data: bytes) -> None:
    assert fed(STRICT, data)[1] is ParseState.TOO_LARGE
    assert fed(replace(STRICT, max_body_bytes=math.inf), data)[1] is not ParseState.TOO_LARGE


def test_a_body_of_just_its_limit_is_read() -> None:
    parser, state = fed(STRICT, sized(b"x" * 10))
    assert state is ParseState.COMPLETE and parser.response().body == b"x" * 10


def test_a_message_over_its_limit_is_too_large_unless_it_is_complete() -> None:
    data = sized(b"x" * 400)
    assert fed(LENIENT, data[:-1])[1] is ParseState.TOO_LARGE
    assert fed(LENIENT, data[:300])[1] is ParseState.INCOMPLETE
    assert fed(LENIENT, data)[1] is ParseState.COMPLETE


def test_the_size_of_an_earlier_response_does_not_count() -> None:
    parser = ResponseParser(LENIENT)
    for _ in range(3):
        parser.start()
        assert parser.feed(sized(b"x" * 400)[:200]) is ParseState.INCOMPLETE


def test_a_length_that_cannot_be_converted_is_malformed_where_bodies_are_limited() -> None:
    """Python converts no number of so many digits; where no limit asks for it, the parser reads it."""
    data = sized(b"abcde").replace(b"Length: 5", b"Length: " + b"0" * 5000 + b"5")
    assert fed(replace(STRICT, max_head_bytes=math.inf), data)[1] is ParseState.MALFORMED
    assert fed(replace(LENIENT, max_message_bytes=math.inf), data)[1] is ParseState.COMPLETE


@pytest.mark.parametrize(
    "surplus", [sized(b"two", status=500), b"\x00 noise\r\n", HEAD], ids=["response", "noise", "head"]
)
def test_surplus_that_is_ignored_leaves_the_response_and_ends_the_connections_use(surplus: bytes) -> None:
    parser, state = fed(STRICT, sized(b"one") + surplus)
    assert state is ParseState.COMPLETE
    assert (parser.response().status, parser.response().body) == (200, b"one")
    assert not parser.can_keep_alive


def test_surplus_that_is_not_ignored_is_part_of_the_response() -> None:
    assert fed(LENIENT, sized(b"one") + b"\x00 noise\r\n")[1] is ParseState.MALFORMED
    parser, state = fed(LENIENT, sized(b"one") + sized(b"two", status=500))
    assert state is ParseState.COMPLETE
    assert (parser.response().status, parser.response().body) == (500, b"onetwo")


def test_an_upgrade_after_a_complete_response_is_malformed_even_where_surplus_is_ignored() -> None:
    upgrade = b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
    assert fed(STRICT, sized(b"one") + upgrade)[1] is ParseState.MALFORMED


@BOTH
def test_one_parser_reads_the_responses_of_a_connection_one_after_the_other(rules: ResponseRules) -> None:
    parser = ResponseParser(rules)
    for body in (b"one", b"", b"three"):
        parser.start()
        assert parser.feed(sized(body)) is ParseState.COMPLETE
        assert parser.response().body == body
    parser.start()
    assert parser.feed(b"\x00") is ParseState.MALFORMED
    parser.start()
    assert parser.feed(sized(b"last")) is ParseState.COMPLETE
