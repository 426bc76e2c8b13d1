"""Faulty versions of the node, with which the tests check that the soak's oracle detects violations."""

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
    """A piece of a source file and its replacement; `old` must occur exactly once in the file."""

    file: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class BrokenNode:
    """A faulty version of the program, the soak faults that expose it, and the rule that it breaks."""

    name: str
    rule: Rule
    fault_kinds: tuple[FaultKind, ...]
    patches: tuple[Patch, ...]
    faults_per_s: float = FAULTS_PER_S

    def write(self, folder: Path) -> None:
        """Copy the program into `folder` and apply the patches."""
        for package in PACKAGES:
            shutil.copytree(ROOT / package, folder / package, ignore=shutil.ignore_patterns("__pycache__"))
        for patch in self.patches:
            path = folder / patch.file
            text = path.read_text(encoding="utf-8")
            count = text.count(patch.old)
            assert count == 1, (
                f"{self.name}: {patch.old!r} must be in {patch.file} once, is there {count} times"
            )
            path.write_text(text.replace(patch.old, patch.new), encoding="utf-8")


CLIENT_CONNECTION = "workspond/downstream/client_connection.py"
CONNECTION_STATES = "workspond/downstream/connection_states.py"
ENDPOINT_LIST = "workspond/discovery/endpoint_list.py"
WATCHER = "workspond/discovery/watcher.py"
SERVER_CONNECTION = "workspond/upstream/connection.py"
SEND_GUARD = "workspond/upstream/send_guard.py"
NODE = "workspond/node.py"
ATTEMPT_RUNNER = "workspond/attempt_runner.py"
SHUTDOWN = "workspond/graceful_shutdown.py"
MAIN = "workspond/__main__.py"
RETRY_POLICY = "workspond/policy/retry_policy.py"
SELECTION = "workspond/policy/server_selection.py"
SLOW_START = "workspond/policy/slow_start.py"

RETRIES_ANYTHING = Patch(
    RETRY_POLICY,
    "if call.first_possible_run_at_ms is None or call.request_class.idempotency is Idempotency.IDEMPOTENT:",
    "if True:",
)

BROKEN_NODES = (
    BrokenNode(
        "client disconnects are ignored",
        Rule.DISCONNECTED,
        (FaultKind.CALLERS_LEAVE, FaultKind.SERVER_ERRORS),
        (
            Patch(CLIENT_CONNECTION, "            request.abandon(reason)\n", "            pass\n"),
            Patch(
                CLIENT_CONNECTION,
                "if self._is_input_ended or self._socket.is_closing():\n            return True",
                "if True:\n            return False",
            ),
        ),
        faults_per_s=5.0,  # high, so that clients disconnect while failed requests are retried
    ),
    BrokenNode(
        "drains are ignored",
        Rule.DRAIN,
        (FaultKind.SERVER_DRAIN,),
        (Patch(ENDPOINT_LIST, '"leaving": EndpointState.DRAINING', '"leaving": EndpointState.IN_SERVICE'),),
    ),
    BrokenNode(
        "a non-idempotent request is retried",
        Rule.DUPLICATE,
        (FaultKind.PROXY_RESET, FaultKind.SERVER_ERRORS),
        (RETRIES_ANYTHING, Patch(SEND_GUARD, "if history.may_have_run and", "if False and")),
    ),
    BrokenNode(
        "a non-idempotent request is retried, and the send guard blocks it",
        Rule.INVARIANT,
        (FaultKind.PROXY_RESET, FaultKind.SERVER_ERRORS),
        (RETRIES_ANYTHING,),
    ),
    BrokenNode(
        "the client's budget is passed on unchanged",
        Rule.DEADLINE,
        (FaultKind.PROXY_HOLD, FaultKind.SERVER_ERRORS),
        (
            Patch(
                ATTEMPT_RUNNER,
                "timeout_ms = max(0.0, self.timeout_at_ms - now_ms())",
                "timeout_ms = self.request.message.budget_ms",
            ),
        ),
    ),
    BrokenNode(
        "servers in slow start get requests without limit",
        Rule.SLOW_START,
        (FaultKind.SERVER_RESTART,),
        (
            Patch(
                SLOW_START,
                "if server.started_at_ms is None or not settings.ramp_time_ms:\n            return 1.0",
                "return 1.0 if server.started_at_ms is None else 50.0",
            ),
            Patch(
                SELECTION,
                "return max(server.subset_weight * max(capacity_fraction * speed_factor, MIN_SPEED_FACTOR),"
                " MIN_WEIGHT)",
                "return max(server.subset_weight * capacity_fraction, MIN_WEIGHT)",
            ),
            Patch(
                SELECTION,
                "selectable = has_budget and server.in_flight < server.in_flight_limit",
                "selectable = has_budget",
            ),
            Patch(
                SELECTION,
                "rotation, (server.in_flight - stalled_attempts) / server.subset_weight, weight)",
                "rotation, 0.0, weight)",
            ),
        ),
    ),
    BrokenNode(
        "a graceful shutdown closes connections with requests in flight",
        Rule.LOST,
        (FaultKind.NODE_STOP,),
        (Patch(SHUTDOWN, "self._frontend.fail_ready_checks()\n", "self._frontend.abort()\n"),),
    ),
    BrokenNode(
        "incremental updates are ignored",
        Rule.DRAIN,
        (FaultKind.SERVER_DRAIN,),
        (
            Patch(
                WATCHER,
                "if _has_content(endpoints):\n            self._listener.endpoints_received(endpoints)",
                "if endpoints.complete:\n            self._listener.endpoints_received(endpoints)",
            ),
        ),
    ),
    BrokenNode(
        "responses are swapped",
        Rule.LOST,
        (FaultKind.SERVER_SLOW,),
        (
            Patch(
                ATTEMPT_RUNNER,
                "Response(200, response.body, response.content_type)",
                "Response(200, vars(self).setdefault('_swap', [b'']).pop(), response.content_type)",
            ),
            Patch(
                ATTEMPT_RUNNER,
                "        self._policy.handle(\n            AttemptEnded(\n                request.key,\n",
                "        vars(self).setdefault('_swap', []).append(response.body if response else b'')\n"
                "        self._policy.handle(\n            AttemptEnded(\n                request.key,\n",
            ),
        ),
    ),
    BrokenNode(
        "a response without a length is complete after a reset",
        Rule.LOST,
        (FaultKind.SERVER_NO_LENGTH,),
        (
            Patch(
                SERVER_CONNECTION,
                "        self._is_open = False\n        self._owner.remove(self)\n",
                "        self.eof_received()\n"
                "        self._is_open = False\n        self._owner.remove(self)\n",
            ),
        ),
    ),
    BrokenNode(
        "the cached list is used before a slow agent can answer",
        Rule.DRAIN,
        (FaultKind.NODE_LATE_LIST, FaultKind.SERVER_DRAIN),
        (Patch(NODE, "FIRST_LIST_TIMEOUT_S = 3.0\n", "FIRST_LIST_TIMEOUT_S = 1.0\n"),),
        faults_per_s=1.0,
    ),
    BrokenNode(
        "connections of aborted attempts are left open",
        Rule.DUPLICATE,
        (FaultKind.PROXY_HOLD, FaultKind.SERVER_HANG),
        (Patch(SERVER_CONNECTION, "        attempt.connection = self\n", ""),),
    ),
    BrokenNode(
        "failed requests are not answered",
        Rule.LOST,
        (FaultKind.SERVER_ERRORS,),
        (
            Patch(
                NODE,
                'self._requests.finish(action.request_id, Response(502, b"failed"), action.reason.value)',
                "self._requests._remove(self._requests.active[action.request_id])",
            ),
        ),
    ),
    BrokenNode(
        "the timeout of an incomplete request is too long",
        Rule.PEER,
        (FaultKind.CALLERS_HALF,),
        (
            Patch(
                CONNECTION_STATES,
                "    ConnectionState.AWAITING_FIRST_REQUEST: 2.0,",
                "    ConnectionState.AWAITING_FIRST_REQUEST: 20.0,",
            ),
        ),
    ),
    BrokenNode(
        "a reload ends the process",
        Rule.CRASH,
        (FaultKind.NODE_RELOAD,),
        (
            Patch(
                MAIN,
                "    loop.add_signal_handler(signal.SIGHUP, ConfigReloader(node, path).reload)\n",
                "",
            ),
        ),
    ),
)
