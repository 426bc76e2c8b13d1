"""The servers and the discovery agent of a measured node.

All servers share one listening socket; to the node they are different servers because their names differ.
"""

from __future__ import annotations

import asyncio

from standins.endpoint_list import endpoint_entry, render_endpoint_list
from standins.listener import Listener
from standins.messages import read_head, render_response

SERVICE_TIME_S = 0.010
ZONES = 5
GROUPS = 7
OK_RESPONSE = render_response(200, b"ok", reason="OK")


class SharedServer(Listener):
    """Answers each request after the service time; it expects requests without a body."""

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests until the node ends the connection."""
        while True:
            await read_head(reader)
            await asyncio.sleep(SERVICE_TIME_S)
            writer.write(OK_RESPONSE)


class DiscoveryAgent(Listener):
    """Answers a request with the complete list, and a watch with an empty update after its wait."""

    def __init__(self, servers: int, server_address: str) -> None:
        super().__init__()
        endpoints = [
            endpoint_entry(
                f"s{number}",
                server_address,
                group=number % GROUPS,
                zone=f"z{number % ZONES}",
                machine_type="k",
            )
            for number in range(servers)
        ]
        self._complete_list = render_endpoint_list(1, endpoints, complete=True)
        self._empty_update = render_endpoint_list(1, [], complete=False)
        self.list_bytes = 0  # bytes of list bodies sent so far

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests until the node ends the connection."""
        while True:
            wait_ms = _wait_ms(await read_head(reader))
            if wait_ms is not None:
                await asyncio.sleep(wait_ms / 1000.0)
            body = self._complete_list if wait_ms is None else self._empty_update
            self.list_bytes += len(body)
            writer.write(render_response(200, body, reason="OK"))


def _wait_ms(head: bytes) -> int | None:
    """Return the wait time of a watch; None for a request for the complete list."""
    values = head.partition(b"wait=")[2].split()
    return int(values[0]) if values else None
