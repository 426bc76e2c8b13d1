"""Starts a node from the file that NODE_CONFIG names.

SIGHUP has it read that file again; SIGTERM ends it once all that it holds is answered.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from workspond.address import Address
from workspond.config import InvalidConfigError, UnreadableConfigError, read_config
from workspond.downstream.listener import SHORTAGES
from workspond.node import Node
from workspond.observability.log_output import LineWriter, open_standard_descriptors, set_up_logging

SIGNALS = (signal.SIGHUP, signal.SIGTERM)
LAG_EVERY_S, LAG_S = 1.0, 0.1  # how often the event loop's lag is looked at, and what is worth a line
# What discovery tells at a new address counts as told 4 s after SIGHUP: a shortage may last this long.
RELOAD_EVERY_S, RELOAD_TRIES = 0.1, 25
# A node that restarts has to be ready within 6 s on short days.
LISTEN_EVERY_S, LISTEN_TRIES = 0.2, 21

log = logging.getLogger("workspond")


async def run(path: str, writer: LineWriter) -> int:
    """Serve until SIGTERM; the exit status."""
    try:
        config = read_config(path)
    except InvalidConfigError as problem:
        writer.write(f"workspond: {problem}")
        return 2
    set_up_logging(writer, config.name)
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    node = Node(config, loop)
    loop.add_signal_handler(signal.SIGHUP, reload, node, path)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    try:
        host, port = await listen(node, config.listen)
    except OSError as problem:
        writer.write(f"workspond: can't listen on {config.listen[0]}:{config.listen[1]}: {problem}")
        return 2
    node.start()
    # What was made at the start lives to the end: full collections need not look at it.
    gc.collect()
    gc.freeze()
    watch_lag(loop, loop.time())
    log.info("started, listening on %s:%d", host, port)
    await stopping.wait()
    log.info("stopping")
    await node.stop()
    log.info("stopped")
    # As it closes the loop gives them back to the system, whose default is to end the process with an error.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    return 0


async def listen(node: Node, address: Address) -> Address:
    """Listen, trying again for a while where descriptors or memory run short; raises `OSError`."""
    loop = asyncio.get_running_loop()
    for tries_left in reversed(range(LISTEN_TRIES)):
        try:
            return await node.frontend.listen(loop, address)
        except OSError as problem:
            if problem.errno not in SHORTAGES or not tries_left:
                raise
            log.warning("listening later: %s", problem)
        await asyncio.sleep(LISTEN_EVERY_S)
    raise AssertionError("unreachable: the last try returns or raises")


def reload(node: Node, path: str, tries_left: int = RELOAD_TRIES) -> None:
    """Take the file as it is now.

    One that can not be used changes nothing; one that can not be read is tried again for a while.
    """
    try:
        config = read_config(path)
    except UnreadableConfigError as problem:
        if not tries_left:
            return log.error("the old configuration stays: %s", problem)
        if tries_left == RELOAD_TRIES:
            log.warning("trying again: %s", problem)
        asyncio.get_running_loop().call_later(RELOAD_EVERY_S, reload, node, path, tries_left - 1)
        return None
    except InvalidConfigError as problem:
        log.error("the old configuration stays: %s", problem)
        return None
    log.info("configuration read again, discovery at %s:%d", *config.discovery)
    node.reconfigure(config)


def watch_lag(loop: asyncio.AbstractEventLoop, due_s: float) -> None:
    """Log when the event loop ran late: too little CPU shows here first."""
    late_s = loop.time() - due_s
    if late_s > LAG_S:
        log.warning("the event loop ran %.0f ms late", late_s * 1000.0)
    next_s = loop.time() + LAG_EVERY_S
    loop.call_at(next_s, watch_lag, loop, next_s)


def main() -> int:
    """The program."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # until there are handlers: what comes is kept
    open_standard_descriptors()
    writer = LineWriter()
    path = os.environ.get("NODE_CONFIG")
    if not path:
        writer.write("workspond: NODE_CONFIG must name the configuration file")
        return 2
    return uvloop.run(run(path, writer))


if __name__ == "__main__":
    sys.exit(main())
