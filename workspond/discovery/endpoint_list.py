"""The endpoint list in the form in which discovery writes it, as typed values."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Set
from dataclasses import dataclass

from workspond.address import Address, parse_address
from workspond.json_fields import NUMBER, Json, choice, get, objects, optional
from workspond.policy.endpoint import Endpoint, EndpointState

STATUSES = {
    "active": EndpointState.IN_SERVICE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}


@dataclass(slots=True)
class EndpointList:
    """A list of servers, or the part of it that changed."""

    index: int
    complete: bool
    endpoints: list[Endpoint]
    addresses: dict[int, Address]
    start_times_ms: dict[int, float]  # when each last started: Unix time in ms, 0 for long ago
    previous_response_at_ms: float = -math.inf  # when the answer before it came, by `now_ms`
    unchanged_ids: Set[int] = frozenset()  # of a whole list: servers that are named as before, and no entries


def server_id(name: str) -> int:
    """A server's number, the same at every node: the module cuts the fleet among the nodes by it.

    Of 64 bits, so that two names never share one; `hash()` differs from one process to the next.
    """
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def read_endpoint_list(obj: Json) -> EndpointList:
    """Read a list as discovery writes it; `StartTimes` turns `since_ms` into the entries' starts."""
    entries: list[Endpoint] = []
    addresses: dict[int, Address] = {}
    since_ms: dict[int, float] = {}
    for item in objects(obj, "endpoints"):
        server = server_id(get(item, "name", str))
        since_ms[server] = optional(item, "since_ms", NUMBER, 0)
        entries.append(
            Endpoint(
                server_id=server,
                zone=optional(item, "zone", str, ""),
                machine_type=optional(item, "type", str, ""),
                cell=optional(item, "group", int, 0),
                state=choice(item, "status", STATUSES),
                weight=optional(item, "weight", NUMBER, 1.0),
            )
        )
        addresses[server] = parse_address(get(item, "address", str))
    return EndpointList(get(obj, "index", int), get(obj, "snapshot", bool), entries, addresses, since_ms)
