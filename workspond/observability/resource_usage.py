"""Writes the memory, connections and requests of the process to the log."""

from __future__ import annotations

import asyncio
import logging
import resource
from collections.abc import Callable
from dataclasses import dataclass

REPORT_INTERVAL_S = 10.0
MEMORY_STATISTICS = "/proc/self/statm"
RESIDENT_PAGES_FIELD = 1
PAGE_BYTES = resource.getpagesize()

log = logging.getLogger("workspond")


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """What a node uses at one moment.

    Attributes:
        buffered_bytes: The data of peers that the node keeps, as it is counted against the memory limit.
        client_connections: The number of client connections.
        server_connections: The number of connections to servers.
        requests: The number of requests without a response.
        attempts: The number of attempts in flight.
    """

    buffered_bytes: int
    client_connections: int
    server_connections: int
    requests: int
    attempts: int


def resident_bytes() -> int:
    """Return the resident memory of the process, with mapped files; 0 if the system does not provide it."""
    try:
        with open(MEMORY_STATISTICS, encoding="ascii") as statistics:
            return int(statistics.read().split()[RESIDENT_PAGES_FIELD]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0


def start_usage_report(loop: asyncio.AbstractEventLoop, read_usage: Callable[[], ResourceUsage]) -> None:
    """Write the usage to the log every `REPORT_INTERVAL_S` seconds."""

    def report() -> None:
        log_usage(read_usage())
        loop.call_later(REPORT_INTERVAL_S, report)

    loop.call_later(REPORT_INTERVAL_S, report)


def log_usage(usage: ResourceUsage) -> None:
    """Write one line with the usage and the resident memory of the process."""
    log.info(
        "usage: resident_bytes=%d buffered_bytes=%d client_connections=%d server_connections=%d"
        " requests=%d attempts=%d",
        resident_bytes(),
        usage.buffered_bytes,
        usage.client_connections,
        usage.server_connections,
        usage.requests,
        usage.attempts,
    )
