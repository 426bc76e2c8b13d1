"""An entry of the endpoint list that discovery delivers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The state of a server's process, as discovery reports it."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"  # it finishes what it has, and must get nothing new
    REMOVED = "removed"  # the process has ended


@dataclass(slots=True)
class Endpoint:
    """One server of the endpoint list.

    Attributes:
        server_id: The node's id of the server; its address is known to the node alone.
        zone: The zone that it runs in.
        machine_type: The type of its machine.
        cell: The cell that it belongs to; see `DeduplicationScope.CELL`.
        state: Whether it is in service.
        weight: The share of the requests that it is to get, relative to the other servers.
        started_at_ms: When its process started; None: long ago, so that it has warmed up.
    """

    server_id: int
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    state: EndpointState = EndpointState.IN_SERVICE
    weight: float = 1.0
    started_at_ms: float | None = None
