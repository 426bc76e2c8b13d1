"""Validates client requests, so that no other module has to check them again.

Request ids, keys and targets are forwarded to servers as they were received. Therefore nothing is accepted
that a server could interpret differently from this node: no repeated headers, no Content-Length together with
chunks, and no unusual characters.
"""

from __future__ import annotations

import re
from urllib.parse import unquote

from workspond.http.request import ClientRequest, InvalidRequestError
from workspond.policy.settings import Idempotency, RequestClass

# The headers that the node or a server uses. They must not be repeated, as a server might use a different
# value than this node.
USED_HEADERS = frozenset(
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
# Matches request ids and idempotency keys that are safe to forward in headers.
TOKEN_PATTERN = re.compile(rb"[A-Za-z0-9._:~+/=-]{1,128}")
# Matches the decimal numbers of the protocol. Python's float() would also accept signs and "1_0".
SECONDS_PATTERN = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,9})?")

UNREADABLE_NAME = "X-Caller or the path can't be read"

Headers = dict[bytes, bytes]  # values by lower-case name


def check_framing(headers: Headers, http_version: str) -> None:
    """Check that the headers state unambiguously where the body ends, which prevents request smuggling.

    Raises:
        InvalidRequestError: The end of the body is ambiguous, or the transfer encoding is not supported.
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
    """Validate a complete request and return it; the first failed check determines the error.

    Raises:
        InvalidRequestError: The request is invalid; the text says why.
    """
    class_name = _read_class_name(target)
    tenant = _read_tenant(headers)
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
        # Clients do not wait beyond the deadline of the class, so a longer budget would only keep the request
        # open.
        budget_ms=min(budget_ms, request_class.deadline_ms),
        tenant=tenant,
        is_client_retry=headers.get(b"x-again") == b"1",
        idempotency_key=idempotency_key,
        content_type=headers.get(b"content-type"),
        body=body,
        received_at_ms=received_at_ms,
    )


def _read_class_name(target: bytes) -> str:
    """Return the class name, which is the first segment of the path; empty if there is none."""
    try:
        path = target.partition(b"?")[0].decode("ascii")
    except UnicodeDecodeError:
        raise InvalidRequestError(UNREADABLE_NAME) from None
    if not path.startswith("/"):
        return ""
    return unquote(path[1:].partition("/")[0])


def _read_tenant(headers: Headers) -> bytes | None:
    """Return the name of the tenant, which is UTF-8."""
    tenant = headers.get(b"x-caller", b"")
    try:
        tenant.decode()
    except UnicodeDecodeError:
        raise InvalidRequestError(UNREADABLE_NAME) from None
    return tenant or None


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
    """Return the key of a request in a keyed class; return None for other classes, which allow no key.

    Servers recognize the retries of a keyed request by its key.
    """
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
