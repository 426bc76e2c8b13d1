"""Compares the node's responses to clients with recorded bytes.

A change of the recorded bytes is a change of the external behaviour.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from pathlib import Path

import pytest

from tests.peers import HANG, Server, node_environment, run, until
from tests.test_recorded_bytes import CLOSING_REQUEST, CLOSING_RESPONSE, DONE, GET, POST, REFUSED, exchange

PHRASE_413 = HTTPStatus(413).phrase.encode()  # Python 3.13 changed the phrase


def bad_request(reason: bytes) -> bytes:
    """Build the response to an invalid request, which closes the connection."""
    return b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%b" % (
        len(reason),
        reason,
    )


DONE_AND_CLOSED = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone"
HEAD_TOO_LARGE = b"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: "
CHUNKED_ONLY = bad_request(b"the only Transfer-Encoding served is chunked, in HTTP/1.1")
NO_ID = bad_request(b"X-Call-Id is missing or can't be used")
NO_BUDGET = bad_request(b"X-Budget must be seconds above 0")
WRONG_METHOD = bad_request(b"not the method of this class")
WRONG_KEY = bad_request(b"Idempotency-Key does not fit this class")
CLIENT_CASES: dict[str, tuple[bytes, bytes]] = {
    "close": (GET + b"Connection: close\r\n\r\n", DONE_AND_CLOSED),
    "HTTP/1.0": (GET.replace(b"/1.1", b"/1.0") + b"\r\n", DONE_AND_CLOSED),
    "ready": (
        b"GET /-/ready HTTP/1.1\r\n\r\n" + CLOSING_REQUEST,
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nready" + CLOSING_RESPONSE,
    ),
    "no such path": (
        b"GET /-/other HTTP/1.1\r\n\r\n" + CLOSING_REQUEST,
        b"HTTP/1.1 404 Not Found\r\nContent-Length: 12\r\n\r\nno such path" + CLOSING_RESPONSE,
    ),
    "an unknown class": (GET.replace(b"/read", b"/nope") + b"\r\n", bad_request(b"no such class")),
    "POST for GET": (GET.replace(b"GET", b"POST") + b"\r\n", WRONG_METHOD),
    "GET for POST": (POST.replace(b"POST", b"GET") + b"\r\n", WRONG_METHOD),
    "GET with a body": (GET + b"Content-Length: 2\r\n\r\nhi", bad_request(b"GET with a body")),
    "no id": (b"GET /read HTTP/1.1\r\nX-Budget: 20\r\n\r\n", NO_ID),
    "an invalid id": (GET.replace(b": a", b": a b") + b"\r\n", NO_ID),
    "no key": (POST.replace(b"/pay", b"/save") + b"\r\n", WRONG_KEY),
    "a key in a class without keys": (GET + b"Idempotency-Key: k\r\n\r\n", WRONG_KEY),
    "no budget": (b"GET /read HTTP/1.1\r\nX-Call-Id: a\r\n\r\n", NO_BUDGET),
    "a budget of 0": (GET.replace(b"20", b"0") + b"\r\n", NO_BUDGET),
    "an invalid budget": (GET.replace(b"20", b"1e3") + b"\r\n", NO_BUDGET),
    "a header twice": (GET + b"X-Budget: 1\r\n\r\n", bad_request(b"a header came twice")),
    "malformed HTTP": (b"noise\r\n\r\n", bad_request(b"malformed HTTP")),
    "an invalid X-Caller": (
        GET + b"X-Caller: \xff\r\n\r\n",
        bad_request(b"X-Caller or the path can't be read"),
    ),
    "two lengths": (
        POST + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        bad_request(b"malformed HTTP"),
    ),
    "an unsupported Transfer-Encoding": (POST + b"Transfer-Encoding: gzip\r\n\r\n", CHUNKED_ONLY),
    "chunks in HTTP/1.0": (
        POST.replace(b"/1.1", b"/1.0") + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        CHUNKED_ONLY,
    ),
    "an upgrade": (
        GET + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
        DONE + bad_request(b"upgrades are not supported"),
    ),
    "a large body": (
        POST + b"Content-Length: 65537\r\n\r\n",
        b"HTTP/1.1 413 "
        + PHRASE_413
        + b"\r\nConnection: close\r\nContent-Length: 16\r\n\r\nbody over 64 KiB",
    ),
    "large headers": (
        GET + b"X-Long: " + b"x" * 17_000 + b"\r\n\r\n",
        HEAD_TOO_LARGE + b"17\r\n\r\nheaders too large",
    ),
    "a long target": (
        GET.replace(b"/read", b"/read?" + b"x" * 17_000) + b"\r\n",
        HEAD_TOO_LARGE + b"15\r\n\r\ntarget too long",
    ),
    "malformed HTTP after a request": (GET + b"\r\nnoise\r\n\r\n", DONE + bad_request(b"malformed HTTP")),
    "an incomplete request after a request": (
        GET + b"\r\nPOST /pay HTT",
        DONE + b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
        b"Content-Length: 33\r\n\r\nthe request took too long to come",
    ),
}


def test_responses_to_clients_match_the_recorded_bytes(tmp_path: Path) -> None:
    """A node with one healthy server sends the recorded bytes on each client connection, up to its close.

    All cases share one node, because a node takes 2 s to stop while it still has connections with rejected
    requests.
    """

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            await until(lambda: environment.agent.watches() == 1)
            responses = {name: await exchange(environment, sent) for name, (sent, _) in CLIENT_CASES.items()}
            assert responses == {name: expected for name, (_, expected) in CLIENT_CASES.items()}

    run(test())


@pytest.mark.parametrize(
    "retry_after", [b"", b"Retry-After: 1.250\r\n"], ids=["no Retry-After", "Retry-After"]
)
def test_responses_without_known_servers_match_the_recorded_bytes(retry_after: bytes, tmp_path: Path) -> None:
    """The node refuses requests, with a Retry-After if the settings allow it, and is not ready."""
    permissions = {"retry_after": bool(retry_after), "max_retry_after_ms": 1250.0}

    async def test() -> None:
        async with node_environment(tmp_path, has_cached_list=False, permissions=permissions) as environment:
            await until(lambda: environment.agent.watches() == 1)
            refused = REFUSED.replace(b"Content-Length", retry_after + b"Content-Length")
            not_ready = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9\r\n\r\nnot ready"
            for sent, expected in ((GET + b"\r\n", refused), (POST + b"\r\n", refused)):
                assert await exchange(environment, sent + CLOSING_REQUEST) == expected + CLOSING_RESPONSE
            assert (
                await exchange(environment, b"GET /-/ready HTTP/1.1\r\n\r\n" + CLOSING_REQUEST)
                == not_ready + CLOSING_RESPONSE
            )

    run(test())


def test_a_duplicate_id_and_malformed_input_during_a_request_get_the_recorded_errors(tmp_path: Path) -> None:
    """An X-Call-Id in use is rejected; malformed input after a request makes the node abandon the request."""

    async def test() -> None:
        async with node_environment(tmp_path, server := Server(default=HANG)) as environment:
            first = asyncio.ensure_future(exchange(environment, GET + b"\r\nnoise\r\n\r\n"))
            await until(lambda: len(server.received) == 1)
            duplicate_id = (
                b"HTTP/1.1 400 Bad Request\r\nContent-Length: 37\r\n\r\na request with this X-Call-Id is open"
            )
            assert (
                await exchange(environment, GET + b"\r\n" + CLOSING_REQUEST)
                == duplicate_id + CLOSING_RESPONSE
            )
            given_up = b"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 8\r\n\r\ngiven up"
            assert await first == given_up + bad_request(b"malformed HTTP")

    run(test())
