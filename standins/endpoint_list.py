"""Endpoint lists as a discovery agent writes them."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any


def endpoint_entry(
    name: str,
    address: str,
    *,
    group: int = 0,
    zone: str = "z1",
    machine_type: str = "k1",
    status: str = "active",
    started_at_ms: int = 0,
) -> dict[str, Any]:
    """One server of a list, with a weight of 1; `started_at_ms` is a wall-clock time, 0 if unknown."""
    return {
        "name": name,
        "address": address,
        "zone": zone,
        "type": machine_type,
        "group": group,
        "status": status,
        "weight": 1.0,
        "since_ms": started_at_ms,
    }


def endpoint_list(index: int, entries: Sequence[dict[str, Any]], *, complete: bool) -> dict[str, Any]:
    """A complete list or an incremental update, at a version of the list."""
    return {"index": index, "snapshot": complete, "endpoints": list(entries)}


def render_endpoint_list(index: int, entries: Sequence[dict[str, Any]], *, complete: bool) -> bytes:
    """The JSON body of a complete list or an incremental update."""
    return json.dumps(endpoint_list(index, entries, complete=complete)).encode()
