"""The settings of a deployment, and their validation.

docs/glossary.md lists the keys of the settings on the wire.
"""

from __future__ import annotations

import math
from collections.abc import Set
from dataclasses import dataclass, field, fields
from enum import Enum

# A field must be finite and not negative if its name has one of these suffixes or is one of these names.
NON_NEGATIVE_SUFFIXES = ("_ms", "_price")
NON_NEGATIVE_NAMES = frozenset(("retry_budget_floor", "worst_class_weight"))
# Minimum values of the integer fields, by field name.
MINIMUM_COUNTS = {"replicas": 1, "tiers": 1, "max_attempts": 1, "replica_index": 0, "tier": 0}


class InvalidSettingError(ValueError):
    """A setting has an invalid value.

    Attributes:
        name: The name of the field; for a field of a class or tenant, `classes[NAME].field` or
            `tenants[NAME].field`.
        problem: The expected value and the actual one.
    """

    def __init__(self, name: str, problem: str) -> None:
        """Create an error about the field `name`; see the attributes for both arguments."""
        super().__init__(f"{name}: {problem}")
        self.name = name
        self.problem = problem


class Idempotency(Enum):
    """Whether a request of a class may run more than once."""

    IDEMPOTENT = "idempotent"  # a request may run any number of times
    # A request has an idempotency key. The servers of one deduplication group use the key to drop repeats
    # within a time window.
    KEYED = "keyed"
    NON_IDEMPOTENT = "non_idempotent"  # a request must not run more than once


class DeduplicationScope(Enum):
    """Which servers form a deduplication group, whose members together drop repeats of a keyed request."""

    ALL = "all"  # all servers form one group
    ZONE = "zone"  # the servers of each zone form a group
    CELL = "cell"  # the servers of each cell form a group


@dataclass(slots=True)
class RequestClass:
    """A class of requests with the same objective, deadline, priority and idempotency.

    Attributes:
        name: The name by which requests refer to the class.
        objective_ms: The latency objective. An answer within this time has its full value.
        deadline_ms: The time that a client waits for the answer, over all attempts.
        priority_weight: The value of an answer, relative to the answers of other classes.
        late_value_fraction: The value of an answer between the objective and the deadline, as a fraction of
            its full value.
        idempotency: Whether requests of the class may run more than once.
        deduplication_scope: For `KEYED`: which servers form a deduplication group.
        deduplication_window_ms: For `KEYED`: the time after the first attempt in which repeats are dropped.
    """

    name: str
    objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_value_fraction: float = 0.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0


@dataclass(slots=True)
class Tenant:
    """A customer that shares the service with others.

    Attributes:
        name: The name by which requests refer to the tenant.
        quota_fraction: The fraction of the service that the tenant is entitled to.
        quota_per_s: The tenant's quota in requests per second, over all replicas; 0 means no quota. The value
            of requests over quota is multiplied by `Settings.over_quota_value_fraction`.
    """

    name: str
    quota_fraction: float = 0.0
    quota_per_s: float = 0.0


@dataclass(slots=True)
class Settings:
    """The settings of one replica, fixed when it starts.

    Attributes:
        classes: All request classes; at least one.
        tenants: The tenants of the service, with or without a quota.
        over_quota_value_fraction: The value of a request over its tenant's quota, as a fraction of its value
            within the quota.
        worst_class_weight: The weight, in the operators' score, of the class with the worst service, relative
            to the weight of all requests.
        zone: The zone of this replica.
        replicas: The number of replicas that send to the same tier.
        replica_index: The index of this replica among them, from 0.
        tier: The tier of servers that this replica sends to. Tier 0 serves the clients' requests, and the
            servers of each tier call the next one.
        tiers: The number of tiers.
        passes_deadline: Whether a server that calls the next tier passes on the remaining time of its own
            request. If not, such calls have the full deadline of their class.
        requires_subscription: Whether the replica has to subscribe to updates of the endpoint list.
        poll_interval_ms: The interval at which a replica without a subscription has to poll the endpoint
            list. The replica is expected to know all changes that are older than this.
        max_attempts: The maximum number of attempts for a request, including the first.
        parallel_attempts: Whether one request may have two attempts in flight. The node never uses this.
        can_cancel: Whether an attempt in flight may be cancelled.
        max_retry_after_ms: The longest Retry-After that clients follow; 0 if they ignore it.
        connect_timeout_ms: The timeout for a new connection.
        keepalive_ms: The idle time after which servers close a connection.
        tick_ms: The minimum interval between deliveries of events. A timer may fire late by this much.
        answer_slack_ms: The time after the deadline in which a final answer still counts as in time.
        drain_grace_ms: The time after a server is listed as draining or removed in which attempts may still
            be sent to it. The policy stops sending as soon as it receives the update.
        start_capacity: The fraction of its full capacity that a server has when it starts.
        ramp_time_ms: The time in which a server warms up to its full capacity.
        overload_factor: A server that is warming up fails if it is sent more than this multiple of its
            current capacity during `overload_window_ms`.
        overload_window_ms: The time for which a server that is warming up tolerates an overload.
        retry_budget_ratio: The number of retries allowed per request received, over all classes; None if
            there is no retry budget.
        retry_budget_floor: The number of retries allowed in any window in addition to those that
            `retry_budget_ratio` allows.
        retry_budget_window_ms: The length of the windows in which requests and retries are counted.
        rejected_may_have_run: Whether an attempt may have run although its server rejected it.
        cross_zone_price: The price of an attempt to another zone, relative to the number of first attempts,
            as a fraction of the value of the service.
        handshake_price: The price of a new connection, relative to the number of first attempts, as a
            fraction of the value of the service.

    Raises:
        InvalidSettingError: A value is invalid.
    """

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_quota_value_fraction: float = 1.0
    worst_class_weight: float = 0.0
    zone: str = ""
    replicas: int = 1
    replica_index: int = 0
    tier: int = 0
    tiers: int = 1
    passes_deadline: bool = True
    requires_subscription: bool = False
    poll_interval_ms: float = 10_000.0
    max_attempts: int = 1
    parallel_attempts: bool = False
    can_cancel: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 30_000.0
    tick_ms: float = 0.0
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    start_capacity: float = 1.0
    ramp_time_ms: float = 0.0
    overload_factor: float = 1.0
    overload_window_ms: float = 1_000.0
    retry_budget_ratio: float | None = None
    retry_budget_floor: float = 0.0
    retry_budget_window_ms: float = 0.0
    rejected_may_have_run: bool = False
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0

    def __post_init__(self) -> None:
        """Validate the settings."""
        self._check_classes()
        self._check_non_negative()
        self._check_objectives()
        self._check_fractions()
        self._check_counts()

    def _check_classes(self) -> None:
        if not self.classes:
            raise InvalidSettingError("classes", "must have at least one entry, has none")
        names = [request_class.name for request_class in self.classes]
        if len(set(names)) < len(names):
            raise InvalidSettingError("classes", f"names must be distinct, are {', '.join(names)}")

    def _check_non_negative(self) -> None:
        for name, value in self._non_negative_values().items():
            if not 0.0 <= value < math.inf:
                raise InvalidSettingError(name, f"must be finite and at least 0, is {value}")

    def _check_objectives(self) -> None:
        for request_class in self.classes:
            if not request_class.objective_ms:
                name = f"classes[{request_class.name}].objective_ms"
                raise InvalidSettingError(name, f"must be above 0, is {request_class.objective_ms}")

    def _check_fractions(self) -> None:
        for name, value in self._fractions().items():
            if not 0.0 <= value <= 1.0:
                raise InvalidSettingError(name, f"must be between 0 and 1, is {value}")

    def _check_counts(self) -> None:
        for name, minimum in MINIMUM_COUNTS.items():
            if getattr(self, name) < minimum:
                raise InvalidSettingError(name, f"must be at least {minimum}, is {getattr(self, name)}")

    def _non_negative_values(self) -> dict[str, float]:
        """Return the values that must be finite and not negative, by their name in error messages."""
        values = _field_values(self, NON_NEGATIVE_SUFFIXES, NON_NEGATIVE_NAMES)
        for request_class in self.classes:
            values_of_class = _field_values(request_class, NON_NEGATIVE_SUFFIXES, {"priority_weight"})
            values |= {
                f"classes[{request_class.name}].{name}": value for name, value in values_of_class.items()
            }
        for tenant in self.tenants:
            values[f"tenants[{tenant.name}].quota_per_s"] = tenant.quota_per_s
        return values

    def _fractions(self) -> dict[str, float]:
        """Return the values that must be between 0 and 1, by their name in error messages."""
        values = {
            "start_capacity": self.start_capacity,
            "over_quota_value_fraction": self.over_quota_value_fraction,
        }
        for request_class in self.classes:
            values[f"classes[{request_class.name}].late_value_fraction"] = request_class.late_value_fraction
        for tenant in self.tenants:
            values[f"tenants[{tenant.name}].quota_fraction"] = tenant.quota_fraction
        if self.retry_budget_ratio is not None:
            values["retry_budget_ratio"] = self.retry_budget_ratio
        return values


def _field_values(
    owner: Settings | RequestClass, suffixes: tuple[str, ...], names: Set[str]
) -> dict[str, float]:
    """Return the values of the fields whose name has one of the suffixes or is one of the names."""
    return {
        field.name: getattr(owner, field.name)
        for field in fields(owner)
        if field.name.endswith(suffixes) or field.name in names
    }
