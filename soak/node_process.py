"""The nodes: real processes of the program, their configuration files, logs and signals."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import signal
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from soak.clients import NodeView
from soak.discovery import Agent
from soak.oracle import Oracle, Rule
from soak.settings import DEADLINE_MS, DESCRIPTORS, node_settings
from soak.shim import ShimControl

READY_S = 10.0  # from a start to the first 200 of /-/ready
ACCEPT_AFTER_TERM_S = 0.3  # for which connections still come after SIGTERM
KILL_AFTER_TERM_S = DEADLINE_MS / 1000.0 + 0.7
FIRST_RELOAD_S = 1.0  # from a start to the first SIGHUP at least
BROKEN = "invariant broken"  # what the node's own count writes


class NodeProcess:
    """One node of the fleet, over all its processes."""

    def __init__(
        self,
        oracle: Oracle,
        view: NodeView,
        agents: list[Agent],
        count: int,
        folder: Path,
        root: Path,
        library: Path | None,
    ) -> None:
        self.view, self.agents = view, agents
        self._oracle, self._count, self._root, self._library = oracle, count, root, library
        self._config = folder / f"n{view.number}.json"
        self.log = folder / f"n{view.number}.log"
        self.shim = ShimControl(folder / f"n{view.number}.shim") if library is not None else None
        self._agent = 0  # which of its agents the configuration names
        self._process: asyncio.subprocess.Process | None = None
        self._expected_end = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._reloadable_s = math.inf  # from when on the process may be sent SIGHUP
        self.restarting = asyncio.Lock()
        self.log_read = asyncio.Event()  # clear: nobody reads the log
        self.log_read.set()

    def _write_config(self, text: str | None = None) -> None:
        host, port = self.view.address
        config = {
            "name": f"n{self.view.number}",
            "listen": f"{host}:{port}",
            "discovery": self.agents[self._agent].address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": DESCRIPTORS},
            "known": self.agents[self._agent].snapshot(),
            "settings": node_settings(self._count, self.view.number),
        }
        partial = self._config.with_suffix(".new")
        partial.write_text(text if text is not None else json.dumps(config))
        partial.replace(self._config)

    async def start(self) -> None:
        """Start a process and wait until it is ready."""
        began_s, self._reloadable_s = asyncio.get_running_loop().time(), math.inf
        self._write_config()
        self._oracle.node_restarted(self.view.number)
        self._expected_end = False
        env = {name: value for name, value in os.environ.items() if name != "NODE_CONFIG"}
        if self.shim is not None and self._library is not None:
            env |= self.shim.environment(self._library)
        # Half of the nodes log to a pipe, which may stand still, half to a file, which may fail.
        piped = self.view.number % 2 == 0
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-B",
                "-m",
                "workspond",
                cwd=self._root,
                env=env | {"NODE_CONFIG": str(self._config)},
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.PIPE if piped else log,
            )
        if piped:
            self._spawn(self._copy_log(self._process))
        self._spawn(self._watch(self._process))
        try:
            async with asyncio.timeout(READY_S):
                while not await self._ready():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self._report_crash(f"not ready within {READY_S:.0f} s")
        self.view.open_to_new = True
        self._reloadable_s = max(asyncio.get_running_loop().time(), began_s + FIRST_RELOAD_S)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ready(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*self.view.address)
            try:
                writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
                return (await reader.readuntil(b"\r\n")).split()[1] == b"200"
            finally:
                writer.close()
        return False

    async def _copy_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        with self.log.open("ab") as log:
            while data := await process.stderr.read(4096):
                log.write(data)
                log.flush()
                await self.log_read.wait()

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        if process is self._process and not self._expected_end:
            self._report_crash(f"ended with status {status}")
            self.view.open_to_new = False

    def _report_crash(self, what: str) -> None:
        lines = self.log.read_text(errors="replace").splitlines() if self.log.exists() else []
        last = f"; its log ends with: {lines[-1][-200:]}" if lines else ""
        self._oracle.report(Rule.CRASH, f"n{self.view.number}", what + last)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if there is one."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def stop(self) -> None:
        """End it as the platform does: SIGTERM, later SIGKILL."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        self._expected_end = True
        process.send_signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(ACCEPT_AFTER_TERM_S, self._close_to_new)
        try:
            async with asyncio.timeout(KILL_AFTER_TERM_S + self._oracle.slack_s):
                await process.wait()
        except TimeoutError:
            # What it holds now and got in time is lost; callers tell.
            with contextlib.suppress(ProcessLookupError):  # it has just ended by itself
                process.kill()
            await process.wait()
        self._close_to_new()
        if process.returncode not in (0, -signal.SIGKILL):
            self._report_crash(f"ended with status {process.returncode}")

    def _close_to_new(self) -> None:
        self.view.open_to_new = False

    async def kill(self) -> None:
        """End it outright: what it held is nobody's fault."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        self._expected_end = True
        self._close_to_new()
        self.view.killed_s = asyncio.get_running_loop().time()
        process.kill()
        await process.wait()
        self.view.killed_s = asyncio.get_running_loop().time()

    def reload(self, move: bool) -> None:
        """A new configuration: its agent's address, or another one's."""
        if move:
            self._agent = (self._agent + 1) % len(self.agents)
        self._write_config()
        self._signal_reload()

    def _signal_reload(self) -> None:
        """SIGHUP, which the platform does not send to a process that is not up."""
        if asyncio.get_running_loop().time() >= self._reloadable_s:
            self.signal(signal.SIGHUP)

    def reload_badly(self) -> None:
        """A configuration that can't be used; a good one follows later."""
        self._write_config('{"name": ')
        self._signal_reload()
        self._write_config()

    async def end(self) -> None:
        """End it for good, and whatever goes with it."""
        self._expected_end = True
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        for task in list(self._tasks):
            task.cancel()

    def broken_invariants(self) -> list[str]:
        """The lines in which the node counts broken rules itself."""
        if not self.log.exists():
            return []
        lines = self.log.read_text(errors="replace").splitlines()
        return [line for line in lines if BROKEN in line]
