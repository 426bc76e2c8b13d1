"""Runs a node with the configuration file that NODE_CONFIG names.

SIGHUP reloads that file. SIGTERM starts a graceful shutdown, which answers all requests in flight.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from workspond.address import Address, format_address
from workspond.config import InvalidConfigError, read_config
from workspond.downstream.listener import RESOURCE_SHORTAGE_ERRNOS
from workspond.event_loop_lag import watch_event_loop_lag
from workspond.node import Node
from workspond.observability.log_output import LineWriter, open_standard_descriptors, set_up_logging
from workspond.reload import ConfigReloader

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)
EXIT_OK = 0
EXIT_CANNOT_START = 2
# Listening is retried for 4 s while the process is short of descriptors or memory, because a node that
# restarts must be ready within 6 s.
LISTEN_RETRY_INTERVAL_S = 0.2
MAX_LISTEN_RETRIES = 20

log = logging.getLogger("workspond")


async def run(path: str, writer: LineWriter) -> int:
    """Serve until SIGTERM, and return the exit status."""
    try:
        config = read_config(path)
    except InvalidConfigError as error:
        writer.write(f"workspond: {error}")
        return EXIT_CANNOT_START
    set_up_logging(writer, config.name)
    loop = asyncio.get_running_loop()
    shutdown_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, shutdown_requested.set)
    node = Node(config, loop)
    loop.add_signal_handler(signal.SIGHUP, ConfigReloader(node, path).reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
    try:
        address = await listen(node, config.listen)
    except OSError as error:
        writer.write(f"workspond: can't listen on {format_address(config.listen)}: {error}")
        return EXIT_CANNOT_START
    await serve(node, address, shutdown_requested)
    # When the event loop closes, it restores the default handling of signals: a signal that arrives after
    # that would end the process with an error.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    return EXIT_OK


async def listen(node: Node, address: Address) -> Address:
    """Start to accept clients at an address, with retries while descriptors or memory are short.

    Returns:
        The address, with the actual port if port 0 was given.

    Raises:
        OSError: If the node can't listen there.
    """
    loop = asyncio.get_running_loop()
    for _ in range(MAX_LISTEN_RETRIES):
        try:
            return await node.frontend.listen(loop, address)
        except OSError as error:
            if error.errno not in RESOURCE_SHORTAGE_ERRNOS:
                raise
            log.warning('listen delayed: endpoint=%s reason="%s"', format_address(address), error)
        await asyncio.sleep(LISTEN_RETRY_INTERVAL_S)
    return await node.frontend.listen(loop, address)


async def serve(node: Node, address: Address, shutdown_requested: asyncio.Event) -> None:
    """Run a listening node until its graceful shutdown has completed."""
    node.start()
    # The objects created so far live as long as the process, so garbage collections can skip them.
    gc.collect()
    gc.freeze()
    watch_event_loop_lag(asyncio.get_running_loop())
    log.info("started: listen=%s", format_address(address))
    await shutdown_requested.wait()
    log.info("stopping: signal=SIGTERM")
    await node.stop()
    log.info("stopped: signal=SIGTERM")


def main() -> int:
    """Run the program, and return the exit status."""
    # Signals are blocked until their handlers are installed; signals that arrive before that stay pending.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    open_standard_descriptors()
    writer = LineWriter()
    path = os.environ.get("NODE_CONFIG")
    if not path:
        writer.write("workspond: NODE_CONFIG must name the configuration file")
        return EXIT_CANNOT_START
    return uvloop.run(run(path, writer))


if __name__ == "__main__":
    sys.exit(main())
