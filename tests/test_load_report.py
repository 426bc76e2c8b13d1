"""Parsing of servers' load reports, and their use by the policy."""

from __future__ import annotations

import pytest

from workspond.policy.actions import SendAttempt
from workspond.policy.balancer import Balancer
from workspond.policy.endpoint import Endpoint
from workspond.policy.events import AttemptEnded, EndpointUpdate, Outcome, RequestReceived, UpdateKind
from workspond.policy.settings import Idempotency, RequestClass, Settings
from workspond.upstream.load_report import parse_load_report


def test_huge_value_in_a_load_report_is_clamped() -> None:
    """The selection raises the queue to the third power. A queue of 1e300 made every selection fail."""
    report = parse_load_report(b"queue=1e300")
    assert report == {"queue": 1e6}
    settings = Settings([RequestClass("read", 1000.0, 3000.0, idempotency=Idempotency.IDEMPOTENT)])
    balancer = Balancer(settings, 1)
    balancer.handle(EndpointUpdate(UpdateKind.COMPLETE, 1, [Endpoint(7)]), 0.0)
    for request_id in "ab":
        [send] = balancer.handle(RequestReceived(request_id, "read", 3000.0), 1.0)
        assert isinstance(send, SendAttempt)
        balancer.handle(AttemptEnded(request_id, 0, 7, Outcome.SUCCESS, 5.0, True, report), 6.0)


def test_negative_value_in_a_load_report_counts_as_0() -> None:
    assert parse_load_report(b"inflight=7,queue=-2, util=0.61") == {
        "inflight": 7.0,
        "queue": 0.0,
        "util": 0.61,
    }


@pytest.mark.parametrize(
    "text", [b"", b"queue", b"queue=1=2", b"queue=x", b"queue=nan", b"queue=inf", b"\xff=1"]
)
def test_malformed_load_report_is_ignored(text: bytes) -> None:
    assert parse_load_report(text) is None
