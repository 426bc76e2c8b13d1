"""An entry of the endpoint list that discovery delivers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The state of a server process as reported by discovery."""

    IN_SERVICE = "in_service"  # the server accepts new requests
    DRAINING = "draining"  # the server completes its current requests and must get no new ones
    REMOVED = "removed"  # the server process has ended


@dataclass(slots=True)
class Endpoint:
    """The entry of one server in the endpoint list.

    Attributes:
        server_id: The id that the node gave the server. The policy does not know the server's address.
        zone: The zone in which the server runs.
        machine_type: The type of the server's machine.
        cell: The cell that the server belongs to; see `DeduplicationScope.CELL`.
        state: Whether the server is in service.
        weight: The share of requests that the server should get, relative to the other servers.
        started_at_ms: When the server process started; None if that was long enough ago for it to be warm.
    """

    server_id: int
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    state: EndpointState = EndpointState.IN_SERVICE
    weight: float = 1.0
    started_at_ms: float | None = None
