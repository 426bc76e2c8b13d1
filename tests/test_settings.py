"""Impossible settings are rejected, and the error names them."""

from __future__ import annotations

from typing import Any

import pytest

from tests.helpers import IDEMPOTENT, Replica, answers, endpoints, settings
from workspond.policy.actions import SendAttempt
from workspond.policy.endpoint import Endpoint
from workspond.policy.events import Outcome, TimerFired
from workspond.policy.settings import RequestClass, Tenant


@pytest.mark.parametrize(
    ("changes", "name"),
    [
        ({"classes": []}, "classes"),
        ({"classes": [IDEMPOTENT, IDEMPOTENT]}, "classes"),
        ({"classes": [RequestClass("a", 0.0, 100.0)]}, "objective_ms"),
        ({"classes": [RequestClass("a", 10.0, 100.0, late_value_fraction=1.5)]}, "late_value_fraction"),
        ({"tick_ms": -1.0}, "tick_ms"),
        ({"ramp_time_ms": float("nan")}, "ramp_time_ms"),
        ({"start_capacity": 1.1}, "start_capacity"),
        ({"retry_budget_ratio": -0.1}, "retry_budget_ratio"),
        ({"replicas": 0}, "replicas"),
        ({"tenants": [Tenant("t", 0.5, -1.0)]}, "quota_per_s"),
    ],
)
def test_impossible_settings_are_refused(changes: dict[str, Any], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**changes)


def test_an_empty_fleet_one_server_zero_weights_and_a_still_clock() -> None:
    empty = Replica(servers=0)
    assert not [a for a in empty.receive("a") if isinstance(a, SendAttempt)]
    for servers in ([Endpoint(1)], endpoints(range(3), weight=0.0)):
        replica = Replica(servers=0)
        replica.replace_endpoints(servers)
        for n in range(30):
            replica.receive(f"{n}")
            if f"{n}" in replica.sent_to:
                replica.end_attempt(f"{n}", [Outcome.SUCCESS, Outcome.ERROR, Outcome.TIMEOUT][n % 3], 0.0)
        assert replica.sent_to or not any(s.weight for s in servers)
        assert not answers(replica.handle(TimerFired(0)))
