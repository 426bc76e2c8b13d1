"""What a deployment sets for its nodes, and the checks that refuse what cannot be meant.

Times are in milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Set
from dataclasses import dataclass, field, fields
from enum import Enum

NON_NEGATIVE_SUFFIXES = ("_ms", "_price")
NON_NEGATIVE_NAMES = frozenset(("retry_budget_floor", "worst_class_weight"))
MINIMUM_COUNTS = {"replicas": 1, "tiers": 1, "max_attempts": 1, "replica_index": 0, "tier": 0}


class InvalidSettingError(ValueError):
    """A setting that cannot be meant."""

    def __init__(self, name: str, problem: str) -> None:
        """`name` is that of the field, with its owner where that is a class or a tenant."""
        super().__init__(f"{name}: {problem}")
        self.name = name
        self.problem = problem


class Idempotency(Enum):
    """May a request of a class run more than once?"""

    IDEMPOTENT = "idempotent"  # any number of times
    KEYED = "keyed"  # servers of one group drop the repeats that arrive within a window
    NON_IDEMPOTENT = "non_idempotent"  # never


class DeduplicationScope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    objective_ms: float  # an answer within this earns the whole worth
    deadline_ms: float  # how long a client waits in all, over all its tries
    priority_weight: float = 1.0
    late_fraction: float = 0.0  # share of the worth for an answer between aim and deadline
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0


@dataclass(slots=True)
class Tenant:
    """One of those who share the service."""

    name: str
    quota_fraction: float = 0.0
    quota_per_s: float = 0.0  # over all nodes; what goes beyond is worth little


@dataclass(slots=True)
class Settings:
    """What a node knows when it starts."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_quota_fraction: float = 1.0
    worst_class_weight: float = 0.0  # what the worst-served class counts for, over what all worth does
    zone: str = ""
    replicas: int = 1  # balancer copies that send to the same tier
    replica_index: int = 0  # this copy's own among them, from 0
    tier: int = 0  # the tier this copy sends to, 0 being the clients' first
    tiers: int = 1
    passes_deadline: bool = True  # a caller's remaining time comes along with its call
    requires_subscription: bool = False  # news of the server list must be asked for
    poll_interval_ms: float = 10_000.0
    max_attempts: int = 1
    parallel_attempts: bool = False
    can_cancel: bool = False
    max_retry_after_ms: float = 0.0  # 0: clients take no such advice
    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 30_000.0  # servers close a connection that has idled for so long
    tick_ms: float = 0.0  # events are delivered at most this often
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    start_capacity: float = 1.0
    ramp_time_ms: float = 0.0
    overload_factor: float = 1.0
    overload_window_ms: float = 1_000.0
    retry_budget_ratio: float | None = (
        None  # attempts beyond the first, by request taken; None: no such budget
    )
    retry_budget_floor: float = 0.0  # so many more are free,
    retry_budget_window_ms: float = 0.0  # in any window of this length
    rejected_may_have_run: bool = False  # `Outcome.REJECTED` is no proof that the attempt never ran
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0  # of new connections, by first try; as the share of the service's worth

    def __post_init__(self) -> None:
        """Refuse settings that cannot be meant; raises `InvalidSettingError`."""
        self._check_classes()
        for name, value in self._non_negative_values().items():
            if not 0.0 <= value < math.inf:
                raise InvalidSettingError(name, f"{value} is negative or not finite")
        for request_class in self.classes:
            if not request_class.objective_ms:
                name = f"classes[{request_class.name}].objective_ms"
                raise InvalidSettingError(name, "must be above 0")
        for name, value in self._fractions().items():
            if not 0.0 <= value <= 1.0:
                raise InvalidSettingError(name, f"{value} is not within 0 to 1")
        for name, minimum in MINIMUM_COUNTS.items():
            if getattr(self, name) < minimum:
                raise InvalidSettingError(name, f"{getattr(self, name)} is less than {minimum}")

    def _check_classes(self) -> None:
        if not self.classes:
            raise InvalidSettingError("classes", "at least one is needed")
        if len({request_class.name for request_class in self.classes}) < len(self.classes):
            raise InvalidSettingError("classes", "two have the same name")

    def _non_negative_values(self) -> dict[str, float]:
        """All figures that must be finite and not negative, by the name that an error gives them."""
        values = _figures(self, NON_NEGATIVE_SUFFIXES, NON_NEGATIVE_NAMES)
        for request_class in self.classes:
            figures = _figures(request_class, NON_NEGATIVE_SUFFIXES, {"priority_weight"})
            values |= {f"classes[{request_class.name}].{name}": value for name, value in figures.items()}
        for tenant in self.tenants:
            values[f"tenants[{tenant.name}].quota_per_s"] = tenant.quota_per_s
        return values

    def _fractions(self) -> dict[str, float]:
        """All figures that must be within 0 to 1, by the name that an error gives them."""
        values = {"start_capacity": self.start_capacity, "over_quota_fraction": self.over_quota_fraction}
        for request_class in self.classes:
            values[f"classes[{request_class.name}].late_fraction"] = request_class.late_fraction
        for tenant in self.tenants:
            values[f"tenants[{tenant.name}].quota_fraction"] = tenant.quota_fraction
        if self.retry_budget_ratio is not None:
            values["retry_budget_ratio"] = self.retry_budget_ratio
        return values


def _figures(owner: Settings | RequestClass, suffixes: tuple[str, ...], names: Set[str]) -> dict[str, float]:
    """The fields of a dataclass whose name has one of the suffixes, or is one of the names."""
    return {
        field.name: getattr(owner, field.name)
        for field in fields(owner)
        if field.name.endswith(suffixes) or field.name in names
    }
