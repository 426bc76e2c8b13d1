"""Measures a real node between a client and servers, all on loopback.

The client, the servers and the discovery agent run in this process. The latency that the node adds is the
duration of a call less the service time of the server.
"""

from __future__ import annotations

import json
import tempfile
from dataclasses import dataclass
from pathlib import Path

import uvloop

from bench.client import SteadyClient
from bench.fleet import SERVICE_TIME_S, DiscoveryAgent, SharedServer
from bench.node_process import (
    MeasurementError,
    cpu_time_s,
    peak_memory_mb,
    running_node,
    wait_until_ready,
)
from standins.node_config import Rules, node_config, node_settings
from standins.sockets import HOST, free_port

__all__ = ["Figures", "Measurement", "MeasurementError", "measure"]

DEADLINE_MS = 1000.0
WARM_UP_S = 2.0  # calls are sent for this long before the measurement
MAX_FAILED_CALLS_FRACTION = 0.01  # above it, the figures are invalid
MAX_MEDIAN_SEND_DELAY_S = 0.02  # above it, the client was too slow, and the figures are invalid
DESCRIPTOR_LIMIT = 2048
BYTES_PER_KB = 1024.0
CLASSES = [
    {
        "name": "read",
        "objective_ms": DEADLINE_MS / 2.0,
        "give_up_ms": DEADLINE_MS,
        "semantics": "retryable",
    }
]
PERMISSIONS = {"max_attempts": 3, "connect_timeout_ms": 250.0}
RULES = Rules(
    drain_grace_ms=1000.0,
    start_capacity=0.2,
    ramp_time_ms=10_000.0,
    overload_factor=2.5,
    overload_window_ms=1500.0,
)


@dataclass(frozen=True, slots=True)
class Measurement:
    """The parameters of a measurement."""

    servers: int
    calls_per_s: float
    seconds: float  # duration of the measurement, without the warm-up
    root: Path  # checkout whose node is measured


@dataclass(frozen=True, slots=True)
class Figures:
    """The results of a measurement; the field names are the keys of its JSON line."""

    servers: int
    calls: int
    failed: int
    cpu_us_a_call: float  # processor time of the node per call, including its idle work
    added_p50_ms: float  # duration of a call less the service time of the server
    added_p99_ms: float
    peak_mb: float
    list_kb: float  # total size of the lists that discovery sent, from the start of the node
    worst_late_ms: float  # longest delay of the client in sending a call


@dataclass(frozen=True, slots=True)
class NodeUsage:
    """The resources that the node used during a run."""

    cpu_s: float
    peak_mb: float


def measure(measurement: Measurement) -> Figures:
    """Run a measurement and return its figures.

    Raises:
        CheckoutError: The checkout's deploy file names no module.
        MeasurementError: The run gave no valid figures.
    """
    with tempfile.TemporaryDirectory(prefix="bench-") as folder:
        return uvloop.run(_measure(measurement, Path(folder)))


async def _measure(measurement: Measurement, folder: Path) -> Figures:
    server = SharedServer()
    await server.start(backlog=DESCRIPTOR_LIMIT)
    agent = DiscoveryAgent(measurement.servers, server.address)
    await agent.start()
    port = free_port()
    config = folder / "config.json"
    config.write_text(json.dumps(_node_config(port, agent.address)))
    client = SteadyClient(port, DEADLINE_MS / 1000.0)
    async with running_node(measurement.root, config) as node:
        await wait_until_ready(port, node)
        await SteadyClient(port, DEADLINE_MS / 1000.0).run(measurement.calls_per_s, WARM_UP_S)
        before_s = cpu_time_s(node.pid)
        await client.run(measurement.calls_per_s, measurement.seconds)
        usage = NodeUsage(cpu_time_s(node.pid) - before_s, peak_memory_mb(node.pid))
    return _figures(measurement, client, usage, agent.list_bytes)


def _node_config(port: int, discovery: str) -> dict[str, object]:
    return node_config(
        "n",
        listen=f"{HOST}:{port}",
        discovery=discovery,
        seed="1",
        limits={"sockets": DESCRIPTOR_LIMIT},
        settings=node_settings(CLASSES, PERMISSIONS, RULES),
    )


def _figures(measurement: Measurement, client: SteadyClient, usage: NodeUsage, list_bytes: int) -> Figures:
    """Calculate the figures of a run; raises `MeasurementError` if they are invalid."""
    calls = len(client.elapsed_s)
    send_delays_s = sorted(client.send_delays_s)
    if client.failed > MAX_FAILED_CALLS_FRACTION * calls:
        raise MeasurementError(
            f"invalid figures: {client.failed} of {calls} calls failed,"
            f" at most {MAX_FAILED_CALLS_FRACTION:.0%} may fail"
        )
    median_send_delay_s = send_delays_s[len(send_delays_s) // 2]
    if median_send_delay_s > MAX_MEDIAN_SEND_DELAY_S:
        raise MeasurementError(
            f"invalid figures: the client's median send delay must be at most {MAX_MEDIAN_SEND_DELAY_S:g} s,"
            f" is {median_send_delay_s:.4f} s"
        )
    added_ms = sorted((elapsed_s - SERVICE_TIME_S) * 1000.0 for elapsed_s in client.elapsed_s)
    return Figures(
        servers=measurement.servers,
        calls=calls,
        failed=client.failed,
        cpu_us_a_call=usage.cpu_s / calls * 1e6,
        added_p50_ms=added_ms[calls // 2],
        added_p99_ms=added_ms[int(0.99 * calls)],
        peak_mb=usage.peak_mb,
        list_kb=list_bytes / BYTES_PER_KB,
        worst_late_ms=send_delays_s[-1] * 1000.0,
    )
