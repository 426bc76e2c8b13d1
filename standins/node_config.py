"""Builds a node's configuration file and the start-up settings in it, under the file's keys."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Rules:
    """The values of the settings group `rules` that soak and bench set."""

    drain_grace_ms: float
    start_capacity: float  # fraction of the full capacity that a server has just after its start
    ramp_time_ms: float
    overload_factor: float
    overload_window_ms: float
    poll_interval_ms: float = 1000.0

    def to_settings(self) -> dict[str, float]:
        """Return the rules under their keys in the settings."""
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
    """Build the settings of a first-tier replica to which discovery pushes the endpoint list."""
    return {
        "classes": [dict(request_class) for request_class in classes],
        "siblings": replicas,
        "my_number": replica_index,
        "tier": 0,
        "membership_mode": "pushed",
        "permissions": dict(permissions),
        "rules": rules.to_settings(),
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
    """Build the content of the configuration file.

    Args:
        name: The node's name.
        listen: `host:port` on which the node accepts clients.
        discovery: `host:port` of the discovery agent.
        seed: The seed of the node's random numbers, in hex digits.
        limits: The resource limits of the process; `sockets` is the number of file descriptors.
        settings: The start-up settings.
        known: The last known endpoint list, if any.
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
