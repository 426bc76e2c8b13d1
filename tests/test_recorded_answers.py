"""The node's exact bytes to callers, as they are today: a change here is a change of what callers see."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from pathlib import Path

import pytest

from tests.peers import HANG, Server, node_environment, run, until
from tests.test_recorded_bytes import DONE, END, ENDED, GET, POST, REFUSED, exchange

PHRASE_413 = HTTPStatus(413).phrase.encode()  # Python 3.13 has another one


def rejected(why: bytes) -> bytes:
    """The answer to what can't be understood, which ends the connection."""
    return b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%b" % (len(why), why)


SINGLE = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone"
HEAD_TOO_LARGE = b"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: "
CHUNKED_ONLY = rejected(b"the only Transfer-Encoding served is chunked, in HTTP/1.1")
NO_ID = rejected(b"X-Call-Id is missing or can't be used")
NO_BUDGET = rejected(b"X-Budget must be seconds above 0")
WRONG_METHOD = rejected(b"not the method of this class")
WRONG_KEY = rejected(b"Idempotency-Key does not fit this class")
TO_CALLERS: dict[str, tuple[bytes, bytes]] = {
    "close": (GET + b"Connection: close\r\n\r\n", SINGLE),
    "HTTP/1.0": (GET.replace(b"/1.1", b"/1.0") + b"\r\n", SINGLE),
    "ready": (
        b"GET /-/ready HTTP/1.1\r\n\r\n" + END,
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nready" + ENDED,
    ),
    "no such path": (
        b"GET /-/other HTTP/1.1\r\n\r\n" + END,
        b"HTTP/1.1 404 Not Found\r\nContent-Length: 12\r\n\r\nno such path" + ENDED,
    ),
    "no class": (GET.replace(b"/read", b"/nope") + b"\r\n", rejected(b"no such class")),
    "POST for GET": (GET.replace(b"GET", b"POST") + b"\r\n", WRONG_METHOD),
    "GET for POST": (POST.replace(b"POST", b"GET") + b"\r\n", WRONG_METHOD),
    "GET with a body": (GET + b"Content-Length: 2\r\n\r\nhi", rejected(b"GET with a body")),
    "no id": (b"GET /read HTTP/1.1\r\nX-Budget: 20\r\n\r\n", NO_ID),
    "a bad id": (GET.replace(b": a", b": a b") + b"\r\n", NO_ID),
    "no key": (POST.replace(b"/pay", b"/save") + b"\r\n", WRONG_KEY),
    "a key too many": (GET + b"Idempotency-Key: k\r\n\r\n", WRONG_KEY),
    "no budget": (b"GET /read HTTP/1.1\r\nX-Call-Id: a\r\n\r\n", NO_BUDGET),
    "a budget of 0": (GET.replace(b"20", b"0") + b"\r\n", NO_BUDGET),
    "an odd budget": (GET.replace(b"20", b"1e3") + b"\r\n", NO_BUDGET),
    "a header twice": (GET + b"X-Budget: 1\r\n\r\n", rejected(b"a header came twice")),
    "noise": (b"noise\r\n\r\n", rejected(b"malformed HTTP")),
    "an odd caller": (GET + b"X-Caller: \xff\r\n\r\n", rejected(b"X-Caller or the path can't be read")),
    "two lengths": (
        POST + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        rejected(b"malformed HTTP"),
    ),
    "another coding": (POST + b"Transfer-Encoding: gzip\r\n\r\n", CHUNKED_ONLY),
    "chunks in HTTP/1.0": (
        POST.replace(b"/1.1", b"/1.0") + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        CHUNKED_ONLY,
    ),
    "an upgrade": (
        GET + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
        DONE + rejected(b"upgrades are not supported"),
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
    "noise behind a request": (GET + b"\r\nnoise\r\n\r\n", DONE + rejected(b"malformed HTTP")),
    "half a request behind one": (
        GET + b"\r\nPOST /pay HTT",
        DONE + b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
        b"Content-Length: 33\r\n\r\nthe request took too long to come",
    ),
}


def test_what_a_caller_gets(tmp_path: Path) -> None:
    """All answers on a caller's connection, up to its close, from a node with one sound server.

    One node for all: it ends only once it has let go of the callers that it has turned away, after 2 s.
    """

    async def test() -> None:
        async with node_environment(tmp_path, Server()) as environment:
            await until(lambda: environment.agent.watches() == 1)
            found = {name: await exchange(environment, sent) for name, (sent, _) in TO_CALLERS.items()}
            assert found == {name: got for name, (_, got) in TO_CALLERS.items()}

    run(test())


@pytest.mark.parametrize("advice", [b"", b"Retry-After: 1.250\r\n"], ids=["no advice", "advice"])
def test_what_a_caller_gets_while_no_server_is_known(advice: bytes, tmp_path: Path) -> None:
    """A refusal, with the advice that the settings allow, and that the node is not ready."""
    allowed = {"retry_after": bool(advice), "max_retry_after_ms": 1250.0}

    async def test() -> None:
        async with node_environment(tmp_path, known=False, permissions=allowed) as environment:
            await until(lambda: environment.agent.watches() == 1)
            refused = REFUSED.replace(b"Content-Length", advice + b"Content-Length")
            not_ready = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9\r\n\r\nnot ready"
            for sent, got in ((GET + b"\r\n", refused), (POST + b"\r\n", refused)):
                assert await exchange(environment, sent + END) == got + ENDED
            assert await exchange(environment, b"GET /-/ready HTTP/1.1\r\n\r\n" + END) == not_ready + ENDED

    run(test())


def test_what_callers_get_while_a_request_is_out(tmp_path: Path) -> None:
    """An id that is open is not taken again; an error behind a request gives that up in the end."""

    async def test() -> None:
        async with node_environment(tmp_path, server := Server(default=HANG)) as environment:
            first = asyncio.ensure_future(exchange(environment, GET + b"\r\nnoise\r\n\r\n"))
            await until(lambda: len(server.received) == 1)
            taken = (
                b"HTTP/1.1 400 Bad Request\r\nContent-Length: 37\r\n\r\na request with this X-Call-Id is open"
            )
            assert await exchange(environment, GET + b"\r\n" + END) == taken + ENDED
            given_up = b"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 8\r\n\r\ngiven up"
            assert await first == given_up + rejected(b"malformed HTTP")

    run(test())
