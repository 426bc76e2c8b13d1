"""The current endpoints: their addresses, their incarnations, and which of them are in service."""

from __future__ import annotations

from dataclasses import dataclass, field

from workspond.address import Address
from workspond.clock import now_ms
from workspond.discovery.endpoint_list import EndpointList
from workspond.discovery.incarnations import IncarnationTracker
from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.events import EndpointUpdate, UpdateKind


@dataclass(slots=True)
class TableChange:
    """The changes that an endpoint list has made to the table.

    Attributes:
        update: The event for the policy.
        removed_ids: The ids of the servers that are no longer listed.
    """

    update: EndpointUpdate
    removed_ids: list[int] = field(default_factory=list)


class EndpointTable:
    """Holds the listed endpoints by server id.

    Attributes:
        addresses: The addresses of all listed servers, by server id.
        in_service: The ids of the servers that new attempts may be sent to.
    """

    def __init__(self) -> None:
        self.addresses: dict[int, Address] = {}
        self.in_service: set[int] = set()
        self._incarnations = IncarnationTracker()

    def apply(self, endpoints: EndpointList, kind: UpdateKind) -> TableChange:
        """Apply a list that was received from discovery or read from the cache."""
        self._incarnations.assign_start_times(endpoints, now_ms())
        missing_ids = [] if kind is UpdateKind.INCREMENTAL else self._missing_from(endpoints)
        removed_ids = list(missing_ids)
        for server_id in missing_ids:
            self._remove(server_id)
        for endpoint in endpoints.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self._remove(endpoint.server_id)
                removed_ids.append(endpoint.server_id)
            else:
                self._set(endpoint, endpoints.addresses[endpoint.server_id])
        return TableChange(_policy_update(endpoints, kind, missing_ids), removed_ids)

    def _missing_from(self, endpoints: EndpointList) -> list[int]:
        """Return the ids of the servers in the table that a complete list does not contain."""
        return list(self.addresses.keys() - endpoints.addresses.keys() - endpoints.unchanged_ids)

    def _set(self, endpoint: Endpoint, address: Address) -> None:
        self.addresses[endpoint.server_id] = address
        if endpoint.state is EndpointState.IN_SERVICE:
            self.in_service.add(endpoint.server_id)
        else:
            self.in_service.discard(endpoint.server_id)

    def _remove(self, server_id: int) -> None:
        self.in_service.discard(server_id)
        self.addresses.pop(server_id, None)
        self._incarnations.remove(server_id)


def _policy_update(endpoints: EndpointList, kind: UpdateKind, missing_ids: list[int]) -> EndpointUpdate:
    """Return the policy's event for a list.

    A complete list without its unchanged entries becomes an incremental update with the entries that were
    changed or removed.
    """
    if not endpoints.unchanged_ids:
        return EndpointUpdate(kind, endpoints.index, endpoints.endpoints)
    removed = [Endpoint(server_id, state=EndpointState.REMOVED) for server_id in missing_ids]
    return EndpointUpdate(UpdateKind.INCREMENTAL, endpoints.index, [*endpoints.endpoints, *removed])
