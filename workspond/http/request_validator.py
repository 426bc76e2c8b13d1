"""Checks requests of clients once, here, before any other part of the node relies on them.

Ids, keys and targets are forwarded to servers as they were received. So nothing passes that a server could
read in another way than this node did: no header twice, no length beside chunks, no unusual characters.
"""

from __future__ import annotations

import re
from urllib.parse import unquote

from workspond.http.request import ClientRequest, InvalidRequestError
from workspond.policy.settings import Idempotency, RequestClass

# Each may stand in a request once: of two values, a server might use the other one.
SINGLE_VALUE_HEADERS = frozenset(
    (
        b"host",
        b"content-length",
        b"transfer-encoding",
        b"content-type",
        b"idempotency-key",
        b"x-call-id",
        b"x-budget",
        b"x-caller",
        b"x-again",
    )
)
TOKEN_PATTERN = re.compile(rb"[A-Za-z0-9._:~+/=-]{1,128}")  # ids and keys: they are forwarded in headers
SECONDS_PATTERN = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?")  # the protocol's decimals: no signs, no 1_0

Headers = dict[bytes, bytes]  # by name in lower case


def check_framing(headers: Headers, http_version: str) -> None:
    """Check that a head states where its body ends: else another request may be hidden in it.

    Raises:
        InvalidRequestError: The end of the body is ambiguous, or its coding is not supported.
    """
    transfer_encoding = headers.get(b"transfer-encoding")
    if transfer_encoding is None:
        return
    if b"content-length" in headers:
        raise InvalidRequestError("Content-Length and Transfer-Encoding together")
    if transfer_encoding.lower() != b"chunked" or http_version != "1.1":
        raise InvalidRequestError("the only Transfer-Encoding served is chunked, in HTTP/1.1")


def validate_request(
    classes: dict[str, RequestClass],
    *,
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes,
    received_at_ms: float,
) -> ClientRequest:
    """Check a complete request and return it; the first check that fails decides the error.

    Raises:
        InvalidRequestError: The request is not valid; the text says why.
    """
    class_name, tenant = _decode_names(target, headers)
    request_class = classes.get(class_name)
    if request_class is None:
        raise InvalidRequestError("no such class")
    _check_method(method, body, request_class)
    request_id = _read_request_id(headers)
    idempotency_key = _read_idempotency_key(headers, request_class)
    budget_ms = _read_budget_ms(headers)
    return ClientRequest(
        method=method,
        target=target,
        request_id=request_id,
        class_name=request_class.name,
        # No client waits beyond its class's deadline: with a longer budget the request would stay open.
        budget_ms=min(budget_ms, request_class.deadline_ms),
        tenant=tenant,
        is_client_retry=headers.get(b"x-again") == b"1",
        idempotency_key=idempotency_key,
        content_type=headers.get(b"content-type"),
        body=body,
        received_at_ms=received_at_ms,
    )


def _decode_names(target: bytes, headers: Headers) -> tuple[str, str | None]:
    """The name of the class, which is the first segment of the path, and the tenant."""
    try:
        path = target.partition(b"?")[0].decode("ascii")
        tenant = headers.get(b"x-caller", b"").decode("utf-8") or None
    except UnicodeDecodeError:
        raise InvalidRequestError("X-Caller or the path can't be read") from None
    if not path.startswith("/"):
        return "", tenant
    return unquote(path[1:].partition("/")[0]), tenant


def _check_method(method: bytes, body: bytes, request_class: RequestClass) -> None:
    expected_method = b"GET" if request_class.idempotency is Idempotency.IDEMPOTENT else b"POST"
    if method != expected_method:
        raise InvalidRequestError("not the method of this class")
    if method == b"GET" and body:
        raise InvalidRequestError("GET with a body")


def _read_request_id(headers: Headers) -> str:
    request_id = headers.get(b"x-call-id")
    if request_id is None or not TOKEN_PATTERN.fullmatch(request_id):
        raise InvalidRequestError("X-Call-Id is missing or can't be used")
    return request_id.decode()


def _read_idempotency_key(headers: Headers, request_class: RequestClass) -> bytes | None:
    """The key of a request; without it, servers could not recognize the repeats of a keyed request."""
    key = headers.get(b"idempotency-key")
    needs_key = request_class.idempotency is Idempotency.KEYED
    if (key is not None) != needs_key or (key and not TOKEN_PATTERN.fullmatch(key)):
        raise InvalidRequestError("Idempotency-Key does not fit this class")
    return key


def _read_budget_ms(headers: Headers) -> float:
    budget = headers.get(b"x-budget")
    if budget is None or not SECONDS_PATTERN.fullmatch(budget):
        raise InvalidRequestError("X-Budget must be seconds above 0")
    budget_s = float(budget)
    if not budget_s:
        raise InvalidRequestError("X-Budget must be seconds above 0")
    return budget_s * 1000.0
