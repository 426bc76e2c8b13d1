"""The endpoint list as typed values, and its JSON form on the wire."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Set
from dataclasses import dataclass

from workspond.address import Address, parse_address
from workspond.json_fields import (
    NUMBER,
    Json,
    choice_field,
    object_list_field,
    optional_field,
    required_field,
)
from workspond.policy.endpoint import Endpoint, EndpointState

STATE_BY_STATUS = {
    "active": EndpointState.IN_SERVICE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
SERVER_ID_BYTES = 8  # with 64 bits, a collision of two names is practically impossible


@dataclass(slots=True)
class EndpointList:
    """A complete list of servers or an incremental update, as received from discovery.

    Attributes:
        index: The version of the list, as numbered by the agent that sent it.
        complete: Whether this replaces the previous list; otherwise it contains only the changed entries.
        endpoints: The entries, except those of the servers in `unchanged_ids`.
        addresses: The address of each entry, by server id.
        start_times_ms: When the process of each server last started, by server id, in Unix time in ms; 0 if
            it has run for a long time. `IncarnationTracker` converts it to `started_at_ms` of the entries.
        previous_response_at_ms: When the previous response was received, on the node's clock; minus infinity
            if there was none.
        unchanged_ids: The ids of the servers in a complete list whose entries are the same as in the previous
            list.
    """

    index: int
    complete: bool
    endpoints: list[Endpoint]
    addresses: dict[int, Address]
    start_times_ms: dict[int, float]
    previous_response_at_ms: float = -math.inf
    unchanged_ids: Set[int] = frozenset()


def server_id_from_name(name: str) -> int:
    """Return the id of a server, which is the same at every node.

    The nodes divide the servers among themselves by id, so `hash()` is not suitable: its values differ
    between processes.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=SERVER_ID_BYTES).digest()
    return int.from_bytes(digest, "big")


def read_endpoint_list(document: Json) -> EndpointList:
    """Read a list from its JSON form.

    Raises:
        MalformedInputError: If a key is missing or a value is not allowed.
    """
    endpoints: list[Endpoint] = []
    addresses: dict[int, Address] = {}
    start_times_ms: dict[int, float] = {}
    for entry in object_list_field(document, "endpoints"):
        server_id = server_id_from_name(required_field(entry, "name", str))
        start_times_ms[server_id] = optional_field(entry, "since_ms", NUMBER, 0)
        endpoints.append(_read_endpoint(server_id, entry))
        addresses[server_id] = parse_address(required_field(entry, "address", str))
    return EndpointList(
        index=required_field(document, "index", int),
        complete=required_field(document, "snapshot", bool),
        endpoints=endpoints,
        addresses=addresses,
        start_times_ms=start_times_ms,
    )


def _read_endpoint(server_id: int, entry: Json) -> Endpoint:
    """Read an entry without the start time, which `IncarnationTracker` sets later."""
    return Endpoint(
        server_id=server_id,
        zone=optional_field(entry, "zone", str, ""),
        machine_type=optional_field(entry, "type", str, ""),
        cell=optional_field(entry, "group", int, 0),
        state=choice_field(entry, "status", STATE_BY_STATUS),
        weight=optional_field(entry, "weight", NUMBER, 1.0),
    )
