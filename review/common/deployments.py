"""Settings like those of the two deployments that the pages show, for a node of the first tier."""

from __future__ import annotations

from typing import Any

Json = dict[str, Any]

RULES: Json = {
    "answer_slack_ms": 5.0,
    "ask_every_ms": 10000.0,
    "overload_factor": 2.5,
    "overload_for_ms": 1500.0,
    "ramp_time_ms": 19000.0,
    "start_capacity": 0.16,
    "stop_sending_within_ms": 1000.0,
}
PERMISSIONS: Json = {
    "connect_timeout_ms": 50.0,
    "keepalive_ms": 60000.0,
    "max_attempts": 5,
    "may_cancel": True,
    "parallel_tries": False,
    "retry_after": True,
    "max_retry_after_ms": 1000.0,
}


def request_class(
    name: str,
    semantics: str,
    *,
    objective_ms: float,
    give_up_ms: float,
    importance: float,
    window_ms: float = 5000.0,
    late_worth: float = 0.0,
) -> Json:
    """Build a class of the settings, as the wire page shows it."""
    return {
        "name": name,
        "objective_ms": objective_ms,
        "give_up_ms": give_up_ms,
        "importance": importance,
        "late_worth": late_worth,
        "semantics": semantics,
        "dedup_scope": "cell" if semantics == "dedup" else "all",
        "window_ms": window_ms,
        "stream": False,
    }


def settings(classes: list[Json], permissions: Json, rules: Json, stages: list[str]) -> Json:
    """Build the settings of the only node of the first tier."""
    return {
        "classes": classes,
        "siblings": 1,
        "my_number": 0,
        "tier": 0,
        "stages": stages,
        "membership_mode": "pushed",
        "permissions": permissions,
        "quantum_ms": 1.0,
        "rules": rules,
    }


ALMATY_ROTA = settings(
    [
        request_class("rota-view", "retryable", objective_ms=86.0, give_up_ms=210.0, importance=1.0),
        request_class(
            "shift-swap", "dedup", objective_ms=86.0, give_up_ms=210.0, importance=10.0, window_ms=1500.0
        ),
        request_class("clock-in", "fragile", objective_ms=86.0, give_up_ms=210.0, importance=3.0),
    ],
    PERMISSIONS,
    RULES,
    ["rota-gateway", "rota-logic", "rota-store"],
)
ALMATY_METHODS = {"rota-view": "GET", "shift-swap": "POST", "clock-in": "POST"}
ALMATY_MIX = ["rota-view"] * 11 + ["shift-swap"] * 5 + ["clock-in"] * 4  # 55, 25 and 20%
ALMATY_WORK_MS = {"rota-view": 8.0, "shift-swap": 8.0, "clock-in": 8.0}  # 32% of 19 to 30 ms
ALMATY_BUDGET_S = 0.210

DAKAR_ANNONCES = settings(
    [
        request_class(
            "view-ad", "retryable", objective_ms=750.0, give_up_ms=2000.0, importance=2.0, late_worth=0.3
        ),
        request_class(
            "search", "retryable", objective_ms=1500.0, give_up_ms=3000.0, importance=2.0, late_worth=0.2
        ),
        request_class(
            "post-ad",
            "dedup",
            objective_ms=2500.0,
            give_up_ms=7500.0,
            importance=3.0,
            window_ms=10000.0,
            late_worth=0.25,
        ),
    ],
    PERMISSIONS
    | {"connect_timeout_ms": 100.0, "keepalive_ms": 30000.0, "max_attempts": 6, "max_retry_after_ms": 3000.0},
    RULES | {"overload_factor": 4.0, "stop_sending_within_ms": 2500.0, "start_capacity": 0.3},
    ["front"],
)
DAKAR_WORK_MS = {"view-ad": 60.0, "search": 130.0, "post-ad": 270.0}  # 58% of 83 to 590 ms
