"""A server as discovery lists it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """What discovery says of a server's process."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(slots=True)
class Endpoint:
    """One server as discovery lists it."""

    server_id: int
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    state: EndpointState = EndpointState.IN_SERVICE
    weight: float = 1.0
    started_at_ms: float | None = None  # None: long ago
