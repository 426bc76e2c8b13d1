"""What the nodes of a soak are told, and what its rules allow."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any


class Effect(Enum):
    """May a request of a class run more than once?"""

    SAFE = "retryable"
    KEYED = "dedup"
    UNSAFE = "fragile"


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A class of requests."""

    name: str
    effect: Effect
    share: float  # of the traffic


KINDS = (
    RequestKind("read", Effect.SAFE, 0.5),
    RequestKind("save", Effect.KEYED, 0.25),
    RequestKind("pay", Effect.UNSAFE, 0.25),
)
EFFECTS = {kind.name: kind.effect for kind in KINDS}
# The objective sets how long retries wait: with a short one they are over before a rule about what comes too
# late (for a caller that has gone, after a repeat's window) can break.
OBJECTIVE_MS, DEADLINE_MS, KEY_WINDOW_MS = 800.0, 1500.0, 1000.0
MAX_ATTEMPTS = 5
DRAIN_GRACE_S = 1.0
START_CAPACITY, RAMP_S = 0.16, 10.0
OVERLOAD_FACTOR, OVERLOAD_FOR_S = 2.5, 1.5
GROUPS = 2  # of servers, each of which drops the repeats of a keyed request
DESCRIPTORS = 256
KEEPALIVE_MS = 5_000.0


def node_settings(nodes: int, number: int) -> dict[str, Any]:
    """The settings of one node of so many."""
    return {
        "classes": [
            {
                "name": kind.name,
                "objective_ms": OBJECTIVE_MS,
                "give_up_ms": DEADLINE_MS,
                "importance": 1.0,
                "semantics": kind.effect.value,
                "dedup_scope": "cell",
                "window_ms": KEY_WINDOW_MS,
            }
            for kind in KINDS
        ],
        "tenants": [],
        "locality": "z",
        "stages": ["front"],
        "siblings": nodes,
        "my_number": number,
        "tier": 0,
        "membership_mode": "pushed",
        "quantum_ms": 0.0,
        "permissions": {
            "max_attempts": MAX_ATTEMPTS,
            "connect_timeout_ms": 250.0,
            "may_cancel": True,
            "keepalive_ms": KEEPALIVE_MS,
        },
        "rules": {
            "ask_every_ms": 1000.0,
            "stop_sending_within_ms": DRAIN_GRACE_S * 1000.0,
            "start_capacity": START_CAPACITY,
            "ramp_time_ms": RAMP_S * 1000.0,
            "overload_factor": OVERLOAD_FACTOR,
            "overload_for_ms": OVERLOAD_FOR_S * 1000.0,
        },
    }
