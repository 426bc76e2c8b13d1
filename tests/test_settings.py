"""Validation of the settings, and fleets without servers, with one server and with weights of 0."""

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
def test_invalid_settings_are_rejected_with_the_name_of_the_field(changes: dict[str, Any], name: str) -> None:
    with pytest.raises(ValueError, match=name):
        settings(**changes)


def test_empty_fleet_single_server_and_zero_weights_cause_no_error() -> None:
    # The clock never advances, so all durations are 0 as well.
    empty = Replica(servers=0)
    assert not [a for a in empty.receive("a") if isinstance(a, SendAttempt)]
    for servers in ([Endpoint(1)], endpoints(range(3), weight=0.0)):
        replica = Replica(servers=0)
        replica.replace_endpoints(servers)
        for number in range(30):
            replica.receive(f"{number}")
            if f"{number}" in replica.sent_to:
                outcome = [Outcome.SUCCESS, Outcome.ERROR, Outcome.TIMEOUT][number % 3]
                replica.end_attempt(f"{number}", outcome, 0.0)
        assert replica.sent_to or not any(s.weight for s in servers)
        assert not answers(replica.handle(TimerFired(0)))
