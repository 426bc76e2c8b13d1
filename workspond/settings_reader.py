"""Reads the settings of a deployment from JSON.

The simulator sends the settings object when it starts a node; the configuration file of a real node contains
the same object. The keys are fixed by the simulator's wire format; docs/glossary.md lists where they differ
from the names here.
"""

from __future__ import annotations

from typing import Any

from workspond.json_fields import (
    NUMBER,
    Json,
    choice_field,
    object_list_field,
    optional_field,
    required_field,
)
from workspond.policy.settings import (
    DeduplicationScope,
    Idempotency,
    InvalidSettingError,
    RequestClass,
    Settings,
    Tenant,
)

IDEMPOTENCIES = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
DEFAULT_KEEPALIVE_MS = 30_000.0
# The wire key of each field that an error can name, where the key differs from the name of the field.
WIRE_KEYS = {
    "deadline_ms": "give_up_ms",
    "deduplication_window_ms": "window_ms",
    "late_value_fraction": "late_worth",
    "over_quota_value_fraction": "over_share_worth",
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
    """Read the settings; unknown keys are ignored.

    Args:
        env: The object with the settings.

    Raises:
        MalformedInputError: A key is missing or has a value of the wrong type.
        InvalidSettingError: A value is not allowed. The error names the key on the wire.
    """
    try:
        return _read_settings(env)
    except InvalidSettingError as error:
        raise InvalidSettingError(_wire_name(error.name), error.problem) from None


def _wire_name(name: str) -> str:
    """Replace the name of a field by its wire key, and keep the class or tenant in front of it."""
    owner, dot, field = name.rpartition(".")
    return f"{owner}{dot}{WIRE_KEYS.get(field, field)}"


def _read_settings(env: Json) -> Settings:
    # The order of the reads decides which error is reported if there are several.
    classes = [_read_request_class(item) for item in object_list_field(env, "classes")]
    tenants = [_read_tenant(item) for item in object_list_field(env, "tenants")] if env.get("tenants") else []
    permissions = required_field(env, "permissions", dict)
    rules = required_field(env, "rules", dict)
    prices = optional_field(env, "prices", dict, {})
    worst_class_weight = _read_worst_class_weight(env)
    return Settings(
        classes=classes,
        tenants=tenants,
        worst_class_weight=worst_class_weight,
        **_read_deployment(env),
        poll_interval_ms=required_field(rules, "ask_every_ms", NUMBER),
        **_read_permissions(permissions),
        tick_ms=optional_field(env, "quantum_ms", NUMBER, 0.0),
        **_read_rules(rules),
        cross_zone_price=optional_field(prices, "cross_zone", NUMBER, 0.0),
        handshake_price=optional_field(prices, "handshake", NUMBER, 0.0),
    )


def _read_request_class(item: Json) -> RequestClass:
    is_keyed = item.get("semantics") == "dedup"
    return RequestClass(
        name=required_field(item, "name", str),
        objective_ms=required_field(item, "objective_ms", NUMBER),
        deadline_ms=required_field(item, "give_up_ms", NUMBER),
        priority_weight=optional_field(item, "importance", NUMBER, 1.0),
        late_value_fraction=optional_field(item, "late_worth", NUMBER, 0.0),
        idempotency=choice_field(item, "semantics", IDEMPOTENCIES),
        deduplication_scope=(
            choice_field(item, "dedup_scope", DEDUPLICATION_SCOPES) if is_keyed else DeduplicationScope.ALL
        ),
        deduplication_window_ms=required_field(item, "window_ms", NUMBER) if is_keyed else 0.0,
    )


def _read_tenant(item: Json) -> Tenant:
    return Tenant(
        name=required_field(item, "name", str),
        quota_fraction=optional_field(item, "fraction", NUMBER, 0.0),
        quota_per_s=optional_field(item, "quota_per_s", NUMBER, 0.0),
    )


def _read_worst_class_weight(env: Json) -> float:
    """Convert the worst class's fraction of the score to a weight relative to that of all requests.

    The weight is 0 for a fraction below 0 or not below 1.
    """
    score_parts = optional_field(env, "score_parts", dict, {})
    fraction: float = optional_field(score_parts, "worst_class", NUMBER, 0.0)
    return fraction / (1.0 - fraction) if 0.0 <= fraction < 1.0 else 0.0


def _read_deployment(env: Json) -> dict[str, Any]:
    """Read the fields of `Settings` that describe the replica and its place in the deployment."""
    return {
        "over_quota_value_fraction": optional_field(env, "over_share_worth", NUMBER, 1.0),
        "zone": optional_field(env, "locality", str, ""),
        "replicas": max(1, required_field(env, "siblings", int)),
        "replica_index": optional_field(env, "my_number", int, 0),
        "tier": optional_field(env, "tier", int, 0),
        "tiers": max(1, len(optional_field(env, "stages", list, []))),
        "passes_deadline": optional_field(
            optional_field(env, "family_info", dict, {}), "passes_deadline", bool, False
        ),
        "requires_subscription": required_field(env, "membership_mode", str) == "on_request",
    }


def _read_permissions(permissions: Json) -> dict[str, Any]:
    """Read the fields of `Settings` that limit what a replica may do."""
    return {
        "max_attempts": required_field(permissions, "max_attempts", int),
        "parallel_attempts": optional_field(permissions, "parallel_tries", bool, False),
        "can_cancel": optional_field(permissions, "may_cancel", bool, False),
        "max_retry_after_ms": _read_max_retry_after_ms(permissions),
        "connect_timeout_ms": required_field(permissions, "connect_timeout_ms", NUMBER),
        "keepalive_ms": optional_field(permissions, "keepalive_ms", NUMBER, DEFAULT_KEEPALIVE_MS),
    }


def _read_max_retry_after_ms(permissions: Json) -> float:
    if not optional_field(permissions, "retry_after", bool, False):
        return 0.0
    max_retry_after_ms: float = optional_field(permissions, "max_retry_after_ms", NUMBER, 0.0)
    return max_retry_after_ms


def _read_rules(rules: Json) -> dict[str, Any]:
    """Read the fields of `Settings` that come from the operating rules."""
    return {
        "answer_slack_ms": optional_field(rules, "answer_slack_ms", NUMBER, 0.0),
        "drain_grace_ms": required_field(rules, "stop_sending_within_ms", NUMBER),
        "start_capacity": required_field(rules, "start_capacity", NUMBER),
        "ramp_time_ms": required_field(rules, "ramp_time_ms", NUMBER),
        "overload_factor": required_field(rules, "overload_factor", NUMBER),
        "overload_window_ms": required_field(rules, "overload_for_ms", NUMBER),
        "retry_budget_ratio": optional_field(rules, "repeat_ratio", NUMBER, None),
        "retry_budget_floor": optional_field(rules, "extra_floor", NUMBER, 0.0),
        "retry_budget_window_ms": optional_field(rules, "resend_span_ms", NUMBER, 0.0),
        "rejected_may_have_run": optional_field(rules, "full_may_have_run", bool, False),
    }
