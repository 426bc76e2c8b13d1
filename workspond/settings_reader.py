"""Reading settings: JSON objects checked field by field, and the start-up settings in full.

Shared by the simulator's adapter and the real node, which find the same object in different places.
"""

from __future__ import annotations

from workspond.json_fields import NUMBER, Json, choice, get, objects, optional
from workspond.policy.settings import (
    DeduplicationScope,
    Idempotency,
    InvalidSettingError,
    RequestClass,
    Settings,
    Tenant,
)

REPEATS = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
GROUPS = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
# The wire's keys for those fields of the settings that have another name here.
WIRE_KEYS = {
    "deadline_ms": "give_up_ms",
    "deduplication_window_ms": "window_ms",
    "late_fraction": "late_worth",
    "over_quota_fraction": "over_share_worth",
    "overload_window_ms": "overload_for_ms",
    "poll_interval_ms": "ask_every_ms",
    "priority_weight": "importance",
    "quota_fraction": "fraction",
    "replica_index": "my_number",
    "replicas": "siblings",
    "retry_budget_floor": "extra_floor",
    "retry_budget_ratio": "repeat_ratio",
    "retry_budget_window_ms": "resend_span_ms",
    "tick_ms": "quantum_ms",
}


def read_settings(env: Json) -> Settings:
    """Turn the start-up settings of the wire into the policy's; unknown keys are ignored.

    Raises `MalformedInputError`, or `InvalidSettingError` that names the key of the wire.
    """
    try:
        return _read_settings(env)
    except InvalidSettingError as error:
        raise InvalidSettingError(_wire_name(error.name), error.problem) from None


def _wire_name(name: str) -> str:
    """The name of a setting with the wire's key in place of the policy's field."""
    owner, dot, field = name.rpartition(".")
    return f"{owner}{dot}{WIRE_KEYS.get(field, field)}"


def _read_settings(env: Json) -> Settings:
    classes = [
        RequestClass(
            name=get(c, "name", str),
            objective_ms=get(c, "objective_ms", NUMBER),
            deadline_ms=get(c, "give_up_ms", NUMBER),
            priority_weight=optional(c, "importance", NUMBER, 1.0),
            late_fraction=optional(c, "late_worth", NUMBER, 0.0),
            idempotency=choice(c, "semantics", REPEATS),
            deduplication_scope=choice(c, "dedup_scope", GROUPS)
            if c.get("semantics") == "dedup"
            else DeduplicationScope.ALL,
            deduplication_window_ms=get(c, "window_ms", NUMBER) if c.get("semantics") == "dedup" else 0.0,
        )
        for c in objects(env, "classes")
    ]
    tenants = [
        Tenant(
            get(t, "name", str), optional(t, "fraction", NUMBER, 0.0), optional(t, "quota_per_s", NUMBER, 0.0)
        )
        for t in (objects(env, "tenants") if env.get("tenants") else [])
    ]
    allow, rules = get(env, "permissions", dict), get(env, "rules", dict)
    prices = optional(env, "prices", dict, {})
    worst = optional(optional(env, "score_parts", dict, {}), "worst_class", NUMBER, 0.0)
    return Settings(
        classes=classes,
        tenants=tenants,
        over_quota_fraction=optional(env, "over_share_worth", NUMBER, 1.0),
        worst_class_weight=worst / (1.0 - worst) if 0.0 <= worst < 1.0 else 0.0,
        zone=optional(env, "locality", str, ""),
        replicas=max(1, get(env, "siblings", int)),
        replica_index=optional(env, "my_number", int, 0),
        tier=optional(env, "tier", int, 0),
        tiers=max(1, len(optional(env, "stages", list, []))),
        passes_deadline=optional(optional(env, "family_info", dict, {}), "passes_deadline", bool, False),
        requires_subscription=get(env, "membership_mode", str) == "on_request",
        poll_interval_ms=get(rules, "ask_every_ms", NUMBER),
        max_attempts=get(allow, "max_attempts", int),
        parallel_attempts=optional(allow, "parallel_tries", bool, False),
        can_cancel=optional(allow, "may_cancel", bool, False),
        max_retry_after_ms=(
            optional(allow, "max_retry_after_ms", NUMBER, 0.0)
            if optional(allow, "retry_after", bool, False)
            else 0.0
        ),
        connect_timeout_ms=get(allow, "connect_timeout_ms", NUMBER),
        keepalive_ms=optional(allow, "keepalive_ms", NUMBER, 30_000.0),
        tick_ms=optional(env, "quantum_ms", NUMBER, 0.0),
        answer_slack_ms=optional(rules, "answer_slack_ms", NUMBER, 0.0),
        drain_grace_ms=get(rules, "stop_sending_within_ms", NUMBER),
        start_capacity=get(rules, "start_capacity", NUMBER),
        ramp_time_ms=get(rules, "ramp_time_ms", NUMBER),
        overload_factor=get(rules, "overload_factor", NUMBER),
        overload_window_ms=get(rules, "overload_for_ms", NUMBER),
        retry_budget_ratio=optional(rules, "repeat_ratio", NUMBER, None),
        retry_budget_floor=optional(rules, "extra_floor", NUMBER, 0.0),
        retry_budget_window_ms=optional(rules, "resend_span_ms", NUMBER, 0.0),
        rejected_may_have_run=optional(rules, "full_may_have_run", bool, False),
        cross_zone_price=optional(prices, "cross_zone", NUMBER, 0.0),
        handshake_price=optional(prices, "handshake", NUMBER, 0.0),
    )
