"""Nodes that are broken on purpose, so that the soak's oracle is known to see it."""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

from soak.oracle import Rule
from soak.schedule import FAULTS_PER_S, FaultKind

ROOT = Path(__file__).parent.parent
PACKAGES = ("workspond",)


@dataclass(frozen=True, slots=True)
class Patch:
    """A piece of the program's text and what takes its place."""

    file: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class BrokenNode:
    """A fault put into the program, the trouble that brings it out, and the rule that it breaks."""

    name: str
    rule: Rule
    kinds: tuple[FaultKind, ...]
    patches: tuple[Patch, ...]
    rate: float = FAULTS_PER_S  # of the schedule, in faults a second

    def write(self, folder: Path) -> None:
        """Write the broken program into a folder."""
        for package in PACKAGES:
            shutil.copytree(ROOT / package, folder / package, ignore=shutil.ignore_patterns("__pycache__"))
        for patch in self.patches:
            path = folder / patch.file
            text = path.read_text(encoding="utf-8")
            count = text.count(patch.old)
            assert count == 1, f"{self.name}: {patch.old!r} is in {patch.file} {count} times"
            path.write_text(text.replace(patch.old, patch.new), encoding="utf-8")


GUARD = "workspond/upstream/send_guard.py"
CALLER, NODE = "workspond/downstream/client_connection.py", "workspond/node.py"
RETRIES = "workspond/policy/retry_policy.py"
SELECTION = "workspond/policy/server_selection.py"
WATCHER = "workspond/discovery/watcher.py"
POOL = "workspond/upstream/connection_pool.py"
BROKEN_NODES = (
    BrokenNode(
        "callers that have gone are not noticed",
        Rule.GONE,
        (FaultKind.CALLERS_LEAVE, FaultKind.SERVER_ERRORS),
        (
            Patch(CALLER, "            taken.abandon(why)\n", "            pass\n"),
            Patch(
                CALLER,
                "if self._ended or self._transport.is_closing():\n            return True",
                "if True:\n            return False",
            ),
        ),
        rate=5.0,  # callers that leave have to meet failures, and their requests' retries
    ),
    BrokenNode(
        "drains are ignored",
        Rule.DRAIN,
        (FaultKind.SERVER_DRAIN,),
        (
            Patch(
                "workspond/config.py",
                '"leaving": EndpointState.DRAINING',
                '"leaving": EndpointState.IN_SERVICE',
            ),
        ),
    ),
    BrokenNode(
        "an unsafe request is sent again",
        Rule.DUPLICATE,
        (FaultKind.PROXY_RESET, FaultKind.SERVER_ERRORS),
        (
            Patch(RETRIES, "if call.first_run_ms is None or call.cls.repeat is Repeat.SAFE:", "if True:"),
            Patch(GUARD, "if attempts.may_have_run and", "if False and"),
        ),
    ),
    BrokenNode(
        "an unsafe request is sent again, and the node's own gate holds it back",
        Rule.INVARIANT,
        (FaultKind.PROXY_RESET, FaultKind.SERVER_ERRORS),
        (Patch(RETRIES, "if call.first_run_ms is None or call.cls.repeat is Repeat.SAFE:", "if True:"),),
    ),
    BrokenNode(
        "the deadline is passed on as it came",
        Rule.DEADLINE,
        (FaultKind.PROXY_HOLD, FaultKind.SERVER_ERRORS),
        (Patch(NODE, "max(0.0, due_ms - now_ms()))", "live.message.budget_ms)"),),
    ),
    BrokenNode(
        "cold servers get all that there is, whatever they hold",
        Rule.FAILBACK,
        (FaultKind.SERVER_RESTART,),
        (
            Patch(
                "workspond/policy/slow_start.py",
                "if server.started_at_ms is None or not settings.ramp_time_ms:\n            return 1.0",
                "return 1.0 if server.started_at_ms is None else 50.0",
            ),
            Patch(
                SELECTION,
                "speed = max(warmth * server.speed(now, self._usual.share), LEAST_SPEED)",
                "speed = warmth",
            ),
            Patch(
                SELECTION,
                "selectable = has_budget and server.inflight < server.inflight_limit",
                "selectable = has_budget",
            ),
            Patch(
                SELECTION,
                "rotation, (server.inflight - lost) / server.part, weight)",
                "rotation, 0.0, weight)",
            ),
        ),
    ),
    BrokenNode(
        "a planned end closes connections over requests",
        Rule.LOST,
        (FaultKind.NODE_STOP,),
        (Patch(NODE, "        self.frontend.fail_ready_checks()\n", "        self.frontend.abort()\n"),),
    ),
    BrokenNode(
        "changes of the list are not taken",
        Rule.DRAIN,
        (FaultKind.SERVER_DRAIN,),
        (
            Patch(
                WATCHER,
                "if listing.whole or listing.entries:\n            self._news",
                "if listing.whole:\n            self._news",
            ),
        ),
    ),
    BrokenNode(
        "answers are swapped",
        Rule.LOST,
        (FaultKind.SERVER_SLOW,),
        (
            Patch(
                NODE,
                "Reply(200, answer.body, answer.content_type)",
                "Reply(200, vars(self).setdefault('_swap', [b'']).pop(), answer.content_type)",
            ),
            Patch(
                NODE,
                "            settled = action.id not in self._live\n            report",
                "            settled = action.id not in self._live\n"
                "            vars(self).setdefault('_swap', []).append(answer.body if answer else b'')\n"
                "            report",
            ),
        ),
    ),
    BrokenNode(
        "a reset ends an answer with no length",
        Rule.LOST,
        (FaultKind.SERVER_NO_LENGTH,),
        (
            Patch(
                POOL,
                "        self._lost = True\n        self._pool.forget(self)\n",
                "        self.eof_received()\n        self._lost = True\n        self._pool.forget(self)\n",
            ),
        ),
    ),
    BrokenNode(
        "attempts are given up and left open",
        Rule.DUPLICATE,
        (FaultKind.PROXY_HOLD, FaultKind.SERVER_HANG),
        (Patch(POOL, "        attempt.carried_by(self.close)\n", ""),),
    ),
    BrokenNode(
        "failures are not answered",
        Rule.LOST,
        (FaultKind.SERVER_ERRORS,),
        (Patch(NODE, 'self._finish(action.id, Reply(502, b"failed"))', "self._drop(self._live[action.id])"),),
    ),
    BrokenNode(
        "half a request is waited for without end",
        Rule.PEER,
        (FaultKind.CALLERS_HALF,),
        (Patch("workspond/downstream/connection_states.py", "    Stage.NEW: 2.0,", "    Stage.NEW: 20.0,"),),
    ),
    BrokenNode(
        "the process ends at a reload",
        Rule.CRASH,
        (FaultKind.NODE_RELOAD,),
        (
            Patch(
                "workspond/__main__.py",
                "    loop.add_signal_handler(signal.SIGHUP, reload, node, path)\n",
                "",
            ),
        ),
    ),
)
