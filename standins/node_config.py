"""A node's configuration file and the start-up settings in it, with the keys of the operators' wire."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules of a deployment that soak and bench set."""

    drain_grace_ms: float
    start_capacity: float  # of a server that has just started, as a fraction
    ramp_time_ms: float
    overload_factor: float
    overload_window_ms: float
    poll_interval_ms: float = 1000.0

    def to_wire(self) -> dict[str, float]:
        """The rules under the keys of the wire."""
        return {
            "ask_every_ms": self.poll_interval_ms,
            "stop_sending_within_ms": self.drain_grace_ms,
            "start_capacity": self.start_capacity,
            "ramp_time_ms": self.ramp_time_ms,
            "overload_factor": self.overload_factor,
            "overload_for_ms": self.overload_window_ms,
        }


def node_settings(
    classes: Sequence[Mapping[str, Any]],
    permissions: Mapping[str, Any],
    rules: Rules,
    *,
    replicas: int = 1,
    replica_index: int = 0,
) -> dict[str, Any]:
    """Settings of one replica of the first tier, to which discovery pushes the endpoint list."""
    return {
        "classes": [dict(request_class) for request_class in classes],
        "siblings": replicas,
        "my_number": replica_index,
        "tier": 0,
        "membership_mode": "pushed",
        "permissions": dict(permissions),
        "rules": rules.to_wire(),
    }


def node_config(
    name: str,
    *,
    listen: str,
    discovery: str,
    seed: str,
    limits: Mapping[str, Any],
    settings: Mapping[str, Any],
    known: Mapping[str, Any] | None = None,
) -> dict[str, Any]:
    """The configuration file.

    Args:
        name: The node's name.
        listen: `host:port` on which clients connect.
        discovery: `host:port` of the discovery agent.
        seed: Hex digits for the node's random numbers.
        limits: What the process may hold; `sockets` is the number of file descriptors.
        settings: The start-up settings.
        known: The endpoint list that the node had last, if any.
    """
    config = {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": seed,
        "limits": dict(limits),
        "settings": dict(settings),
    }
    if known is not None:
        config["known"] = dict(known)
    return config
