"""The nodes' settings in a soak, and the limits that its rules check."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from standins import node_config
from standins.node_config import Rules


class Idempotency(Enum):
    """Whether the requests of a class may run more than once; the value is the one on the wire."""

    IDEMPOTENT = "retryable"
    KEYED = "dedup"
    NON_IDEMPOTENT = "fragile"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class of the nodes, and its fraction of the clients' requests."""

    name: str
    idempotency: Idempotency
    traffic_fraction: float


READ = RequestClass("read", Idempotency.IDEMPOTENT, 0.5)
PAY = RequestClass("pay", Idempotency.NON_IDEMPOTENT, 0.25)
CLASSES = (
    READ,
    RequestClass("save", Idempotency.KEYED, 0.25),
    PAY,
)
IDEMPOTENCY_BY_CLASS = {request_class.name: request_class.idempotency for request_class in CLASSES}
# The objective determines how long retries wait. With a short one, all retries are over before a rule about
# late attempts (after the client has disconnected, or after the deduplication window) can be broken.
OBJECTIVE_MS = 800.0
DEADLINE_MS = 1500.0
DEADLINE_S = DEADLINE_MS / 1000.0
DEDUPLICATION_WINDOW_MS = 1000.0
MAX_ATTEMPTS = 5
DRAIN_GRACE_S = 1.0
START_CAPACITY = 0.16  # fraction of the full capacity that a server has just after its start
RAMP_S = 10.0
OVERLOAD_FACTOR = 2.5
OVERLOAD_WINDOW_S = 1.5
SERVER_GROUPS = 2  # the servers of a group share the deduplication of keyed requests
DESCRIPTOR_LIMIT = 256
MEMORY_LIMIT_MB = 64
MAX_BODY_BYTES = 64 * 1024
IDLE_TIMEOUT_MS = 5_000.0
CONNECT_TIMEOUT_MS = 250.0
PERMISSIONS = {
    "max_attempts": MAX_ATTEMPTS,
    "connect_timeout_ms": CONNECT_TIMEOUT_MS,
    "may_cancel": True,
    "keepalive_ms": IDLE_TIMEOUT_MS,
}
RULES = Rules(
    drain_grace_ms=DRAIN_GRACE_S * 1000.0,
    start_capacity=START_CAPACITY,
    ramp_time_ms=RAMP_S * 1000.0,
    overload_factor=OVERLOAD_FACTOR,
    overload_window_ms=OVERLOAD_WINDOW_S * 1000.0,
)


def _class_settings(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "objective_ms": OBJECTIVE_MS,
        "give_up_ms": DEADLINE_MS,
        "importance": 1.0,
        "semantics": request_class.idempotency.value,
        "dedup_scope": "cell",
        "window_ms": DEDUPLICATION_WINDOW_MS,
    }


def node_settings(replicas: int, replica_index: int) -> dict[str, Any]:
    """Build the settings of the node with number `replica_index`."""
    classes = [_class_settings(request_class) for request_class in CLASSES]
    common = node_config.node_settings(
        classes, PERMISSIONS, RULES, replicas=replicas, replica_index=replica_index
    )
    return common | {"tenants": [], "locality": "z", "stages": ["front"], "quantum_ms": 0.0}
