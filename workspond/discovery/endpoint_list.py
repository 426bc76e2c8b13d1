"""The endpoint list in the form in which discovery writes it, as typed values."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Set
from dataclasses import dataclass

from workspond.address import Address, parse_address
from workspond.json_fields import NUMBER, Json, choice, get, objects, optional
from workspond.policy.endpoint import Endpoint, EndpointState

STATE_BY_STATUS = {
    "active": EndpointState.IN_SERVICE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
SERVER_ID_BYTES = 8  # 64 bits, so that two names never share an id


@dataclass(slots=True)
class EndpointList:
    """A list of servers as received from discovery: complete, or an incremental update.

    Attributes:
        index: The version of the list, counted by the agent that sent it.
        complete: Whether this replaces the list as known; otherwise it holds only the entries that changed.
        endpoints: The entries. Those of a complete list may leave out servers that `unchanged_ids` names.
        addresses: The address of each entry, by server id.
        start_times_ms: When the process of each entry last started, by server id: Unix time in ms, 0 for long
            ago. `IncarnationTracker` sets the entries' `started_at_ms` from it.
        previous_response_at_ms: When the answer before this one was received, on the node's clock.
        unchanged_ids: The servers of a complete list whose entries are the same as in the list as known.
    """

    index: int
    complete: bool
    endpoints: list[Endpoint]
    addresses: dict[int, Address]
    start_times_ms: dict[int, float]
    previous_response_at_ms: float = -math.inf
    unchanged_ids: Set[int] = frozenset()


def server_id(name: str) -> int:
    """Return the id of a server, which is the same at every node.

    The nodes divide the servers among themselves by id, so `hash()` will not do: it differs between
    processes.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=SERVER_ID_BYTES).digest()
    return int.from_bytes(digest, "big")


def read_endpoint_list(document: Json) -> EndpointList:
    """Read a list as discovery writes it.

    Raises:
        MalformedInputError: If a key is missing or a value is not allowed.
    """
    endpoints: list[Endpoint] = []
    addresses: dict[int, Address] = {}
    start_times_ms: dict[int, float] = {}
    for entry in objects(document, "endpoints"):
        entry_id = server_id(get(entry, "name", str))
        start_times_ms[entry_id] = optional(entry, "since_ms", NUMBER, 0)
        endpoints.append(_read_endpoint(entry_id, entry))
        addresses[entry_id] = parse_address(get(entry, "address", str))
    return EndpointList(
        index=get(document, "index", int),
        complete=get(document, "snapshot", bool),
        endpoints=endpoints,
        addresses=addresses,
        start_times_ms=start_times_ms,
    )


def _read_endpoint(entry_id: int, entry: Json) -> Endpoint:
    """Read what the policy knows of a server; its start is set by `IncarnationTracker`."""
    return Endpoint(
        server_id=entry_id,
        zone=optional(entry, "zone", str, ""),
        machine_type=optional(entry, "type", str, ""),
        cell=optional(entry, "group", int, 0),
        state=choice(entry, "status", STATE_BY_STATUS),
        weight=optional(entry, "weight", NUMBER, 1.0),
    )
