"""Tests of the simulator adapter as a process, which writes one reply line for each batch line it reads."""

from __future__ import annotations

import copy
import dataclasses
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any, get_args

import pytest

from workspond.policy.actions import PolicyAction
from workspond.simulator_adapter import ACTION_FORMATS

ROOT = Path(__file__).parent.parent
SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": "read",
            "objective_ms": 1000.0,
            "give_up_ms": 3000.0,
            "semantics": "retryable",
            "importance": 1.0,
            "late_worth": 0.2,
            "dedup_scope": "all",
            "window_ms": 5000.0,
            "stream": False,
        },
        {
            "name": "pay",
            "objective_ms": 2000.0,
            "give_up_ms": 6000.0,
            "semantics": "fragile",
            "importance": 8.0,
            "late_worth": 0.2,
            "dedup_scope": "all",
            "window_ms": 5000.0,
            "stream": False,
        },
        {
            "name": "save",
            "objective_ms": 2000.0,
            "give_up_ms": 6000.0,
            "semantics": "dedup",
            "importance": 3.0,
            "late_worth": 0.2,
            "dedup_scope": "zone",
            "window_ms": 5000.0,
            "stream": False,
        },
    ],
    "tenants": [{"name": "a", "fraction": 0.5, "quota_per_s": 20.0}],
    "locality": "z1",
    "dcs": ["z1", "z2"],
    "host_types": ["k1"],
    "stages": ["front", "back"],
    "siblings": 2,
    "my_number": 0,
    "tier": 0,
    "membership_mode": "on_request",
    "quantum_ms": 5.0,
    "permissions": {"max_attempts": 3, "connect_timeout_ms": 100.0, "may_cancel": True, "no_such_key": 1},
    "rules": {
        "ask_every_ms": 10000.0,
        "stop_sending_within_ms": 500.0,
        "start_capacity": 0.3,
        "ramp_time_ms": 8000.0,
        "overload_factor": 3.0,
        "overload_for_ms": 1000.0,
    },
}


def launch_items(node: str, salt: int = 7, env: dict[str, Any] = SETTINGS) -> list[dict[str, Any]]:
    servers = [
        {
            "server": n,
            "failure_domain": "z1" if n % 2 else "z2",
            "sku": "k1",
            "group": n % 3,
            "health": "in_service",
            "share": 1,
            "boot_time_ms": None,
        }
        for n in range(5)
    ]
    return [
        {"kind": "Page", "bank": 0, "elements": servers},
        {"kind": "Launch", "node": node, "salt": salt, "env": env},
        {"kind": "View", "node": node, "form": "SAVED", "stamp": 1, "bank": 0},
    ]


def request_item(
    node: str, request_id: str, class_name: str = "read", owner: str | None = "a"
) -> dict[str, Any]:
    return {
        "kind": "JobIn",
        "node": node,
        "request_id": request_id,
        "type": class_name,
        "ttl_ms": 2500.0,
        "owner": owner,
        "again_by_client": False,
        "update": False,
        "entity": None,
        "size_hint_ms": None,
    }


def outcome_item(node: str, action: dict[str, Any], disposition: int, send_no: int = 0) -> dict[str, Any]:
    return {
        "kind": "Completed",
        "node": node,
        "request_id": action["request_id"],
        "settled": disposition == 100,
        "disposition": disposition,
        "duration_ms": 40.0,
        "server": action["server"],
        "send_no": send_no,
        "report": None,
    }


def run_adapter(lines: list[Any], hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    return subprocess.run(
        [sys.executable, "-m", "workspond.simulator_adapter"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
        check=False,
    )


def batch(number: int, *items: dict[str, Any], time_ms: float | None = None) -> dict[str, Any]:
    return {"ts_ms": 1000.0 * number if time_ms is None else time_ms, "round": number, "items": list(items)}


def fixed_batches(nodes: list[str], rename: dict[str, str] | None = None) -> list[Any]:
    """Build fixed batches; outcomes name servers regardless of which the adapter selected."""
    classes = ["read", "pay", "save"]
    lines = [batch(1, *(item for n, node in enumerate(nodes) for item in launch_items(node, 7 + n)))]
    for step in range(2, 80):
        items = []
        for node in nodes:
            items.append(request_item(node, f"{node}-{step}", classes[step % 3]))
            previous = {"request_id": f"{node}-{step - 1}", "server": step % 5}
            if step > 2:
                items.append(outcome_item(node, previous, [100, 301, 302, 303, 304][step % 5]))
            items.append({"kind": "Fired", "node": node, "nonce": step // 2})
        lines.append(batch(step, *items, time_ms=1000.0 + 40.0 * step))
    if rename is None:
        return lines
    text = json.dumps(lines)
    for old_name, new_name in rename.items():
        text = text.replace(json.dumps(old_name), json.dumps(new_name))
    renamed: list[Any] = json.loads(text)
    return renamed


def read_replies(result: subprocess.CompletedProcess[str]) -> list[Any]:
    assert result.returncode == 0, result.stderr
    return [json.loads(line) for line in result.stdout.splitlines()]


def test_a_request_is_sent_to_a_server_and_each_reply_has_the_round_of_its_batch() -> None:
    lines = [batch(1), batch(2, *launch_items("node-0")), batch(3, request_item("node-0", "q"))]
    [empty, first, second] = read_replies(run_adapter(lines))
    assert empty == {"round": 1, "actions": []}
    assert {"kind": "Track", "node": "node-0", "on": True} in first["actions"]
    [send] = second["actions"]
    assert send["kind"] == "SubmitTo" and send["request_id"] == "q" and send["within_ms"] <= 2500.0


def test_power_off_and_launch_in_one_batch_restart_the_node() -> None:
    lines = [
        batch(1, *launch_items("node-0")),
        batch(2, {"kind": "PowerOff", "node": "node-0"}, *launch_items("node-0")),
    ]
    assert len(read_replies(run_adapter(lines))) == 2


def test_decisions_do_not_depend_on_the_hash_seed_or_on_other_nodes_in_the_process() -> None:
    together = read_replies(run_adapter(fixed_batches(["node-0", "node-1"])))
    assert together == read_replies(run_adapter(fixed_batches(["node-0", "node-1"]), hash_seed="4242"))
    for number, node in enumerate(["node-0", "node-1"]):
        lines = (
            fixed_batches([node])
            if number == 0
            else [
                {**line, "items": [item for item in line["items"] if item.get("node", node) == node]}
                for line in fixed_batches(["node-0", "node-1"])
            ]
        )
        alone = read_replies(run_adapter(lines))
        assert [reply["actions"] for reply in alone] == [
            [action for action in reply["actions"] if action["node"] == node] for reply in together
        ]


def test_decisions_do_not_depend_on_the_names_of_classes_tenants_zones_and_stages() -> None:
    names = {
        "read": "zz",
        "pay": "aa",
        "save": "mm",
        "a": "tenant-9",
        "z1": "north",
        "z2": "east",
        "k1": "big",
        "front": "x",
        "back": "y",
    }
    assert read_replies(run_adapter(fixed_batches(["node-0"]))) == read_replies(
        run_adapter(fixed_batches(["node-0"], names))
    )


def test_reports_with_missing_or_negative_values_and_owner_0_are_accepted() -> None:
    reports: list[Any] = [None, {}, {"queue": None}, {"queue": -3.0, "util": 0.5}, {"no_such_key": 1e300}]
    lines = [batch(1, *launch_items("node-0"))]
    for number, report in enumerate(reports, 2):
        request = {**request_item("node-0", f"q{number}"), "owner": 0}
        outcome = {**outcome_item("node-0", {"request_id": f"q{number}", "server": 1}, 100), "report": report}
        lines.append(batch(number, request, outcome))
    assert len(read_replies(run_adapter(lines))) == len(lines)


def test_each_action_has_a_format_that_names_only_attributes_of_the_action() -> None:
    assert set(ACTION_FORMATS) == set(get_args(PolicyAction))
    for action, action_format in ACTION_FORMATS.items():
        names = {field.name for field in dataclasses.fields(action)}
        assert set(action_format.fields.values()) <= names, action


def test_empty_input_exits_with_status_0_and_no_output() -> None:
    result = run_adapter([])
    assert (result.returncode, result.stdout, result.stderr) == (0, "", "")


def changed_settings(path: list[Any], value: Any = None) -> dict[str, Any]:
    """Return the settings with the value at `path` replaced, or removed if no value is given."""
    env = copy.deepcopy(SETTINGS)
    part = env
    for key in path[:-1]:
        part = part[key]
    if value is None:
        del part[path[-1]]
    else:
        part[path[-1]] = value
    return env


@pytest.mark.parametrize(
    ("line", "expected_words"),
    [
        ("{not json", ["line 2", "JSON"]),
        ("[]", ["line 2", "object"]),
        ({"round": 2, "items": []}, ["ts_ms", "missing"]),
        ({"ts_ms": 5.0, "round": 2, "items": 7}, ["items", "array"]),
        ({"ts_ms": 5.0, "round": 2, "items": [3]}, ["items[0]", "object"]),
        (batch(2, {"kind": "Nonsense", "node": "node-0"}), ["items[0]", "unknown kind"]),
        (batch(2, request_item("node-9", "q")), ["node-9", "not running"]),
        (batch(2, {**request_item("node-0", "q"), "ttl_ms": "soon"}), ["ttl_ms", "number"]),
        (batch(2, {**request_item("node-0", "q"), "ttl_ms": True}), ["ttl_ms", "number"]),
        (batch(2, request_item("node-0", "q", "no-such-class")), ["type", "no-such-class"]),
        (batch(2, outcome_item("node-0", {"request_id": "q", "server": 1}, 999)), ["disposition", "999"]),
        (batch(2, {"kind": "Fired", "node": "node-0"}), ["nonce", "missing"]),
        (batch(2, {"kind": "View", "node": "node-0", "form": "FULL", "stamp": 2, "bank": 5}), ["bank", "5"]),
        (
            batch(2, *launch_items("node-1", env=changed_settings(["rules", "ramp_time_ms"]))),
            ["ramp_time_ms", "missing"],
        ),
        (
            batch(2, *launch_items("node-1", env=changed_settings(["classes", 0, "semantics"], "x"))),
            ["semantics", "'x'"],
        ),
        (
            batch(2, *launch_items("node-1", env=changed_settings(["siblings"], "two"))),
            ["siblings", "whole number"],
        ),
        (batch(2, *launch_items("node-1", env=changed_settings(["classes"], []))), ["items[1]", "classes"]),
        (
            batch(2, *launch_items("node-1", env=changed_settings(["rules", "start_capacity"], 1.5))),
            ["start_capacity"],
        ),
        (
            batch(2, *launch_items("node-1", env=changed_settings(["rules", "ramp_time_ms"], -1.0))),
            ["ramp_time_ms"],
        ),
        ('{"ts_ms": NaN, "round": 2, "items": []}', ["ts_ms", "finite"]),
        (batch(2, {**request_item("node-0", "q"), "ttl_ms": float("inf")}), ["ttl_ms", "finite"]),
        ("[" * 100_000, ["line 2", "JSON"]),
        (
            batch(
                2, {**outcome_item("node-0", {"request_id": "q", "server": 1}, 100), "report": {"queue": "x"}}
            ),
            ["queue", "number"],
        ),
    ],
)
def test_malformed_input_exits_with_status_2_and_a_one_line_error(
    line: Any, expected_words: list[str]
) -> None:
    result = run_adapter([batch(1, *launch_items("node-0")), line, batch(3)])
    assert result.returncode == 2
    assert len(result.stdout.splitlines()) == 1
    [message] = result.stderr.splitlines()
    assert "Traceback" not in message
    for word in expected_words:
        assert word in message
