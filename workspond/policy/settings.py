"""The settings of a deployment, and the checks that reject impossible ones.

The keys that the settings have on the wire are listed in docs/glossary.md.
"""

from __future__ import annotations

import math
from collections.abc import Set
from dataclasses import dataclass, field, fields
from enum import Enum

# Fields that must be finite and not negative: those whose name ends so, and these.
NON_NEGATIVE_SUFFIXES = ("_ms", "_price")
NON_NEGATIVE_NAMES = frozenset(("retry_budget_floor", "worst_class_weight"))
MINIMUM_COUNTS = {"replicas": 1, "tiers": 1, "max_attempts": 1, "replica_index": 0, "tier": 0}


class InvalidSettingError(ValueError):
    """A setting has a value that is impossible.

    Attributes:
        name: The field, preceded by its class or tenant where it belongs to one.
        problem: What is wrong with its value.
    """

    def __init__(self, name: str, problem: str) -> None:
        """Name the field, preceded by its class or tenant where it belongs to one, and the problem."""
        super().__init__(f"{name}: {problem}")
        self.name = name
        self.problem = problem


class Idempotency(Enum):
    """Whether a request of a class may run more than once."""

    IDEMPOTENT = "idempotent"  # any number of times
    KEYED = "keyed"  # it carries a key, by which the servers of one group drop repeats within a time window
    NON_IDEMPOTENT = "non_idempotent"  # never


class DeduplicationScope(Enum):
    """Which servers form a group that drops the repeats of a keyed request."""

    ALL = "all"  # all servers are one group
    ZONE = "zone"  # the servers of one zone
    CELL = "cell"  # the servers of one cell


@dataclass(slots=True)
class RequestClass:
    """A class of requests.

    Attributes:
        name: Its name, by which requests refer to it.
        objective_ms: The latency objective: an answer within this time has its full value.
        deadline_ms: How long a client waits for the answer, over all attempts.
        priority_weight: The value of an answer, relative to that of other classes.
        late_value_fraction: The fraction of its value that an answer has after the objective and before the
            deadline.
        idempotency: Whether its requests may run more than once.
        deduplication_scope: For `KEYED`: which servers drop repeats.
        deduplication_window_ms: For `KEYED`: for how long after the first attempt they do.
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
        name: Its name, by which requests refer to it.
        quota_fraction: The fraction of the service that it is entitled to.
        quota_per_s: Its quota in requests per second, over all replicas; 0: no quota. Requests beyond it have
            the fraction `Settings.over_quota_value_fraction` of their value.
    """

    name: str
    quota_fraction: float = 0.0
    quota_per_s: float = 0.0


@dataclass(slots=True)
class Settings:
    """What a replica knows when it starts.

    Attributes:
        classes: All classes of requests; at least one.
        tenants: The tenants that have a quota.
        over_quota_value_fraction: The fraction of its value that a request beyond its tenant's quota has.
        worst_class_weight: The weight of the class that is served worst in the operators' score, relative to
            the weight of all requests.
        zone: The zone of this replica.
        replicas: Number of replicas that send to the same tier.
        replica_index: Index of this replica among them, from 0.
        tier: The tier that this replica sends to; 0 is the clients' tier.
        tiers: Number of tiers.
        passes_deadline: Whether a server that calls the next tier passes on the time that remains for its own
            request. If not, such calls have the full deadline of their class.
        requires_subscription: Whether updates of the endpoint list have to be subscribed to.
        poll_interval_ms: The interval at which a replica without a subscription has to poll the endpoint
            list. It counts as informed of changes that are older than this.
        max_attempts: Maximum number of attempts for a request, the first included.
        parallel_attempts: Whether one request may have two attempts in flight. The node never uses this.
        can_cancel: Whether an attempt in flight may be cancelled.
        max_retry_after_ms: The longest Retry-After that clients follow; 0: they follow none.
        connect_timeout_ms: Timeout for a new connection.
        keepalive_ms: Servers close a connection that has been idle for this time.
        tick_ms: Events are delivered at most this often, so a timer may fire later by as much.
        answer_slack_ms: For this time after the deadline a final answer still counts as given in time.
        drain_grace_ms: For this time after a server was listed as draining or removed, attempts may still be
            sent to it. The policy sends none from the moment that it knows.
        start_capacity: The fraction of its full capacity with which a server starts.
        ramp_time_ms: The time in which a server warms up to its full capacity.
        overload_factor: A server that is warming up fails if, over `overload_window_ms`, it is sent more than
            this multiple of its present capacity.
        overload_window_ms: The time for which a server that is warming up bears an overload.
        retry_budget_ratio: Retries allowed for each request received, over all classes; None: there is no
            retry budget.
        retry_budget_floor: Retries allowed beyond that in any window.
        retry_budget_window_ms: Length of the windows that requests and retries are counted in.
        rejected_may_have_run: Whether an attempt may have run although its server rejected it.
        cross_zone_price: Price of an attempt to another zone, by first attempt, as a fraction of the value of
            the service.
        handshake_price: Price of a new connection, by first attempt, as a fraction of the value of the
            service.

    Raises:
        InvalidSettingError: A value is impossible.
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
        """Reject impossible settings."""
        self._check_classes()
        self._check_non_negative()
        self._check_objectives()
        self._check_fractions()
        self._check_counts()

    def _check_classes(self) -> None:
        if not self.classes:
            raise InvalidSettingError("classes", "at least one is needed")
        if len({request_class.name for request_class in self.classes}) < len(self.classes):
            raise InvalidSettingError("classes", "two have the same name")

    def _check_non_negative(self) -> None:
        for name, value in self._non_negative_values().items():
            if not 0.0 <= value < math.inf:
                raise InvalidSettingError(name, f"{value} is negative or not finite")

    def _check_objectives(self) -> None:
        for request_class in self.classes:
            if not request_class.objective_ms:
                name = f"classes[{request_class.name}].objective_ms"
                raise InvalidSettingError(name, "must be above 0")

    def _check_fractions(self) -> None:
        for name, value in self._fractions().items():
            if not 0.0 <= value <= 1.0:
                raise InvalidSettingError(name, f"{value} is not within 0 to 1")

    def _check_counts(self) -> None:
        for name, minimum in MINIMUM_COUNTS.items():
            if getattr(self, name) < minimum:
                raise InvalidSettingError(name, f"{getattr(self, name)} is less than {minimum}")

    def _non_negative_values(self) -> dict[str, float]:
        """Return the values that must be finite and not negative, by the name that an error gives them."""
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
        """Return the values that must be within 0 to 1, by the name that an error gives them."""
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
    """Return the fields whose name ends with one of the suffixes, or is one of the names."""
    return {
        field.name: getattr(owner, field.name)
        for field in fields(owner)
        if field.name.endswith(suffixes) or field.name in names
    }
