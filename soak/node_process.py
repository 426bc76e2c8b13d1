"""Runs a node as a process: its configuration file, start, signals and end."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import signal
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from soak.clients import NodeView
from soak.discovery import Agent
from soak.node_log import NodeLog
from soak.oracle import Oracle
from soak.records import Rule
from soak.settings import DEADLINE_S, DESCRIPTOR_LIMIT, MEMORY_LIMIT_MB, node_settings
from soak.shim import ShimControl
from standins.checkout import node_command
from standins.node_config import node_config
from standins.readiness import wait_until_ready

READY_TIMEOUT_S = 10.0  # limit of the time from the start of a process to the first 200 of /-/ready
ACCEPT_AFTER_TERM_S = 0.3  # clients keep connecting for this long after SIGTERM
KILL_AFTER_TERM_S = DEADLINE_S + 0.7
FIRST_RELOAD_S = 1.0  # least time from the start of a process to the first SIGHUP
MEMORY_POLL_S = 0.1
KILOBYTES_PER_MB = 1024
INVALID_CONFIG = '{"name": '


def resident_memory_mb(pid: int) -> float:
    """Return the resident memory of a process; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return 0.0
    size = status.partition("VmRSS:")[2].split()  # empty in the last moments of a process
    return int(size[0]) / KILOBYTES_PER_MB if size else 0.0


@dataclass(frozen=True, slots=True)
class LaunchOptions:
    """Start parameters that all nodes of a run share.

    Attributes:
        replicas: The number of nodes.
        folder: The folder of the nodes' files.
        root: The checkout whose program the nodes run.
        shim: The shim's shared library; None if there is no C compiler.
    """

    replicas: int
    folder: Path
    root: Path
    shim: Path | None


class NodeProcess:
    """One node, which may have several processes one after another."""

    def __init__(self, oracle: Oracle, view: NodeView, agents: list[Agent], options: LaunchOptions) -> None:
        self.view = view
        self.agents = agents
        self.restarting = asyncio.Lock()
        self.log = NodeLog(options.folder / f"n{view.number}.log")
        shim_path = options.folder / f"n{view.number}.shim"
        self.shim = ShimControl(shim_path) if options.shim is not None else None
        self._oracle = oracle
        self._options = options
        self._config_path = options.folder / f"n{view.number}.json"
        self._agent_index = 0  # index of the agent that the configuration names
        self._cached_list = agents[0].complete_list()  # as the last process had it at its end
        self._process: asyncio.subprocess.Process | None = None
        self._expects_end = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._reloadable_from_s = math.inf  # earliest time for SIGHUP

    # Configuration

    @property
    def _agent(self) -> Agent:
        """The agent that the configuration names."""
        return self.agents[self._agent_index]

    def _config(self) -> dict[str, Any]:
        host, port = self.view.address
        return node_config(
            f"n{self.view.number}",
            listen=f"{host}:{port}",
            discovery=self._agent.address,
            seed=os.urandom(8).hex(),
            limits={"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": DESCRIPTOR_LIMIT},
            known=self._cached_list,
            settings=node_settings(self._options.replicas, self.view.number),
        )

    def _write_config(self, text: str) -> None:
        """Replace the configuration file atomically."""
        new_path = self._config_path.with_suffix(".new")
        new_path.write_text(text)
        new_path.replace(self._config_path)

    def _write_valid_config(self) -> None:
        self._write_config(json.dumps(self._config()))

    def reload(self, *, change_agent: bool) -> None:
        """Write a new configuration and send SIGHUP; with `change_agent` it names another agent."""
        if change_agent:
            self._agent_index = (self._agent_index + 1) % len(self.agents)
        self._write_valid_config()
        self._signal_reload()

    def reload_invalid_config(self) -> None:
        """Send SIGHUP with an invalid configuration file, then write a valid one."""
        self._write_config(INVALID_CONFIG)
        self._signal_reload()
        self._write_valid_config()

    def _signal_reload(self) -> None:
        """Send SIGHUP, unless the process is still starting: the platform does not signal it then either."""
        if asyncio.get_running_loop().time() >= self._reloadable_from_s:
            self.signal(signal.SIGHUP)

    # Start

    async def start(self) -> None:
        """Start a process and wait until it is ready; report it if that takes over `READY_TIMEOUT_S`."""
        began_s = asyncio.get_running_loop().time()
        self._reloadable_from_s = math.inf
        self._write_valid_config()
        self._oracle.node_restarted(self.view.number)
        self._agent.record_process_start()
        self._expects_end = False
        self._process = await self._start_process()
        if self._process.stderr is not None:
            self._spawn(self.log.copy_from(self._process.stderr))
        self._spawn(self._watch(self._process))
        self._spawn(self._watch_memory(self._process))
        await self._wait_until_ready()
        self.view.accepts_connections = True
        self._reloadable_from_s = max(asyncio.get_running_loop().time(), began_s + FIRST_RELOAD_S)

    async def _start_process(self) -> asyncio.subprocess.Process:
        # Half of the nodes log to a pipe, which may stall, the others to a file, where writes may fail.
        is_piped = self.view.number % 2 == 0
        with self.log.path.open("ab") as log:
            return await asyncio.create_subprocess_exec(
                *node_command(self._options.root),
                cwd=self._options.root,
                env=self._environment(),
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.PIPE if is_piped else log,
            )

    def _environment(self) -> dict[str, str]:
        environment = dict(os.environ, NODE_CONFIG=str(self._config_path))
        if self.shim is not None and self._options.shim is not None:
            environment |= self.shim.environment(self._options.shim)
        return environment

    async def _wait_until_ready(self) -> None:
        try:
            await wait_until_ready(*self.view.address, READY_TIMEOUT_S)
        except TimeoutError:
            self._report_crash(f"not ready within {READY_TIMEOUT_S:.0f} s")

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # End

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Report a process that ends unexpectedly."""
        status = await process.wait()
        if process is self._process and not self._expects_end:
            self._report_crash(f"ended with status {status}")
            self._stop_connections()

    async def _watch_memory(self, process: asyncio.subprocess.Process) -> None:
        """Report a process whose resident memory passes its limit, for which the platform would kill it."""
        while process.returncode is None:
            resident_mb = resident_memory_mb(process.pid)
            if resident_mb > MEMORY_LIMIT_MB:
                self._report_crash(f"{resident_mb:.1f} MB of memory, over the limit of {MEMORY_LIMIT_MB} MB")
                return
            await asyncio.sleep(MEMORY_POLL_S)

    def _report_crash(self, problem: str) -> None:
        last_line = self.log.last_line()
        log_end = "" if last_line is None else f"; its log ends with: {last_line}"
        self._oracle.report(Rule.CRASH, f"n{self.view.number}", problem + log_end)

    def _stop_connections(self) -> None:
        """Stop clients from opening connections."""
        self.view.accepts_connections = False

    def _running_process(self) -> asyncio.subprocess.Process | None:
        process = self._process
        return process if process is not None and process.returncode is None else None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        process = self._running_process()
        if process is not None:
            process.send_signal(number)

    async def stop(self) -> None:
        """Stop the process as the platform does: with SIGTERM, and if it does not end, with SIGKILL."""
        process = self._running_process()
        if process is None:
            return
        self._expects_end = True
        self._cached_list = self._agent.complete_list()
        process.send_signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(ACCEPT_AFTER_TERM_S, self._stop_connections)
        try:
            async with asyncio.timeout(KILL_AFTER_TERM_S + self._oracle.slack_s):
                await process.wait()
        except TimeoutError:
            # SIGKILL may lose requests that the node should have answered; their clients report them.
            with contextlib.suppress(ProcessLookupError):  # the process has just ended
                process.kill()
            await process.wait()
        self._stop_connections()
        if process.returncode not in (0, -signal.SIGKILL):
            self._report_crash(f"ended with status {process.returncode}")

    async def kill(self) -> None:
        """Send SIGKILL; the requests that are in flight then are not counted as lost."""
        process = self._running_process()
        if process is None:
            return
        self._expects_end = True
        self._cached_list = self._agent.complete_list()
        self._stop_connections()
        self.view.killed_at_s = asyncio.get_running_loop().time()
        process.kill()
        await process.wait()
        self.view.killed_at_s = asyncio.get_running_loop().time()

    async def end(self) -> None:
        """Kill the process and cancel the node's tasks at the end of the run."""
        self._expects_end = True
        process = self._running_process()
        if process is not None:
            process.kill()
            await process.wait()
        for task in list(self._tasks):
            task.cancel()
