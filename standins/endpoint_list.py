"""Builds endpoint lists in the format of the discovery agent."""

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
    """Build a server's entry, with a weight of 1; `started_at_ms` is a wall-clock time, 0 if unknown."""
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
    """Build a complete list or an incremental update; `index` is the version of the list."""
    return {"index": index, "snapshot": complete, "endpoints": list(entries)}


def render_endpoint_list(index: int, entries: Sequence[dict[str, Any]], *, complete: bool) -> bytes:
    """Render the JSON body of a complete list or an incremental update."""
    return json.dumps(endpoint_list(index, entries, complete=complete)).encode()
