"""The simulated sessions that `tests/record_decisions.py` records: their settings, requests and servers."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import Any

Json = dict[str, Any]
# The fractions of the attempts that fail to connect, that get an error and that are reset, in this order, and
# the factor of the service time.
ServerBehaviour = tuple[float, float, float, float]

HEALTHY: ServerBehaviour = (0.0, 0.0, 0.0, 1.0)
FLAKY: ServerBehaviour = (0.03, 0.1, 0.06, 1.0)
OUTLIER: ServerBehaviour = (0.1, 0.7, 0.1, 1.0)
SLOW: ServerBehaviour = (0.0, 0.0, 0.02, 8.0)
DOWN: ServerBehaviour = (1.0, 0.0, 0.0, 1.0)


def request_class(name: str, semantics: str, importance: float, **changes: Any) -> Json:
    """Return the wire form of a request class: the defaults, with these changes."""
    fields = {"name": name, "objective_ms": 120.0, "give_up_ms": 600.0, "semantics": semantics}
    fields |= {"importance": importance, "late_worth": 0.2, "dedup_scope": "all", "window_ms": 250.0}
    return fields | {"stream": False} | changes


READ = request_class("read", "retryable", 1.0)
SAVE = request_class("save", "dedup", 3.0)
PAY = request_class("pay", "fragile", 8.0, objective_ms=200.0)
WATCH = request_class("watch", "retryable", 0.5, stream=True)


def settings(classes: list[Json], **changes: Any) -> Json:
    """Return a node's settings; a changed value that is a dictionary is merged into the default one."""
    node_settings: Json = {
        "classes": classes,
        "tenants": [],
        "dcs": ["z0", "z1"],
        "locality": "z0",
        "host_types": ["k0"],
        "stages": ["front", "logic", "store"],
        "tier": 0,
        "siblings": 3,
        "my_number": 1,
        "membership_mode": "pushed",
        "quantum_ms": 2.0,
        "over_share_worth": 0.2,
        "family_info": {"passes_deadline": False},
        "score_parts": {"whole": 0.6, "worst_class": 0.2},
        "prices": {"cross_zone": 0.005, "handshake": 0.001},
        "stats": {"fields": ["inflight", "queue", "util"], "how": "silent"},
        "weight_kind": "nominal",
        "permissions": {
            "connect_timeout_ms": 50.0,
            "keepalive_ms": 2000.0,
            "max_attempts": 4,
            "max_retry_after_ms": 1000.0,
            "may_cancel": True,
            "parallel_tries": False,
            "retry_after": True,
        },
        "rules": {
            "answer_slack_ms": 5.0,
            "ask_every_ms": 1000.0,
            "overload_factor": 2.5,
            "overload_for_ms": 500.0,
            "ramp_time_ms": 1500.0,
            "start_capacity": 0.16,
            "stop_sending_within_ms": 500.0,
        },
    }
    for name, value in changes.items():
        node_settings[name] = node_settings[name] | value if isinstance(value, dict) else value
    return node_settings


@dataclass(frozen=True)
class Session:
    """The parameters of a session, which determine its recording completely.

    Attributes:
        name: The name of the recording's file, without its suffix.
        seed: The seed of the random number generator.
        settings: The settings of the nodes, in their wire form.
        arrival_span_ms: The time in which the requests arrive.
        requests: The number of requests.
        burst_fraction: The fraction of the requests that arrive within one tenth of the time.
        servers: The number of servers.
        cells: The number of cells.
        nodes: The number of nodes.
        server_capacity: The number of attempts that a server accepts at a time.
        work_ms: The mean service time of an idle server of normal speed.
        behaviours: The behaviours of the servers and their relative frequencies.
        list_updates: The number of changes of the endpoint list.
        full_list_fraction: The fraction of the updates that send the complete list.
        list_failure_fraction: The fraction of subscriptions and updates that fail.
        changes_per_update: The number of entries that each update changes.
        client_leave_fraction: The fraction of the clients that disconnect early.
        node_restart_after_ms: The time after the start at which every node is killed and started again;
            infinite for never.
    """

    name: str
    seed: int
    settings: Json
    arrival_span_ms: float
    requests: int
    burst_fraction: float = 0.0
    servers: int = 6
    cells: int = 3
    nodes: int = 1
    server_capacity: int = 6
    work_ms: float = 25.0
    behaviours: tuple[list[ServerBehaviour], list[float]] = field(default_factory=lambda: ([HEALTHY], [1.0]))
    list_updates: int = 0
    full_list_fraction: float = 0.2
    list_failure_fraction: float = 0.0
    changes_per_update: int = 1
    client_leave_fraction: float = 0.03
    node_restart_after_ms: float = math.inf

    @property
    def tick_ms(self) -> float:
        """The minimum time between batches, in ms."""
        return float(self.settings["quantum_ms"])

    @property
    def end_at_ms(self) -> float:
        """The end of the recording, at which all requests have ended."""
        return 1000.0 + self.arrival_span_ms + 1000.0

    def next_tick(self, at_ms: float) -> float:
        """Return the first tick at or after a time."""
        return math.ceil(at_ms / self.tick_ms) * self.tick_ms

    def random_weight(self, rng: random.Random) -> float:
        """Return a random weight for a server; always 1 if `weight_kind` is "silent" in the settings."""
        return 1 if self.settings["weight_kind"] == "silent" else rng.choice((0, 0.5, 1, 1, 1, 2.25))

    def entry(self, rng: random.Random, server: int) -> Json:
        """Return a random endpoint list entry for a server."""
        return {
            "server": server,
            "failure_domain": f"z{rng.randrange(2)}",
            "sku": "k0",
            "group": rng.randrange(self.cells),
            "health": "in_service",
            "share": self.random_weight(rng),
            "boot_time_ms": None,
        }

    def initial_entries(self, rng: random.Random) -> list[Json]:
        """Return the entries of the first endpoint list."""
        return [
            self.entry(rng, server) for server in rng.sample(range(10, 10 + 4 * self.servers), self.servers)
        ]

    def arrivals(self, rng: random.Random, nodes: list[str]) -> list[tuple[float, str, Json]]:
        """Return the time after the start, the node and the class of each request."""
        arrivals = []
        for _ in range(self.requests):
            after_ms = rng.random() * self.arrival_span_ms
            if rng.random() < self.burst_fraction:
                after_ms = (0.5 + rng.random() / 10.0) * self.arrival_span_ms
            arrivals.append((5.0 + after_ms, rng.choice(nodes), rng.choice(self.settings["classes"])))
        return arrivals

    def change_entries(self, rng: random.Random, entries: list[Json], now_ms: float) -> list[Json]:
        """Change some entries in place or add servers; return the changed and the new entries."""
        changed: list[Json] = []
        for sampled in rng.sample(entries, self.changes_per_update):
            entry = sampled
            change = rng.choice(
                ("drain", "remove", "restart", "restart", "shift start", "reweight", "move", "add")
            )
            if change == "add":
                entry = self.entry(rng, max(other["server"] for other in [*entries, *changed]) + 1)
                entry["boot_time_ms"] = now_ms - 20.0
            elif change == "drain":
                entry["health"] = "terminating"
            elif change == "remove":
                entry["health"] = "terminated"
            elif change == "restart":
                entry |= {"health": "in_service", "boot_time_ms": now_ms - 20.0}
            elif change == "shift start":
                entry["boot_time_ms"] = (entry["boot_time_ms"] or 500.0) + 40.0
            elif change == "move":
                entry |= {"group": (entry["group"] + 1) % self.cells, "failure_domain": "z1"}
            else:
                entry["share"] = self.random_weight(rng)
            changed.append(entry)
        return changed


TENANTS = [
    {"name": "a", "fraction": 0.6, "quota_per_s": 90.0},
    {"name": "b", "fraction": 0.4, "quota_per_s": 6.0},
]
BUDGET = {"repeat_ratio": 0.1, "extra_floor": 1.0, "resend_span_ms": 800.0}
SESSIONS = (
    Session(
        "first_tier_overload",
        seed=11,
        settings=settings([READ, SAVE, PAY, WATCH], tenants=TENANTS),
        arrival_span_ms=1500.0,
        requests=180,
        burst_fraction=0.5,
        nodes=2,
        servers=4,
        work_ms=30.0,
        behaviours=([HEALTHY, FLAKY], [3.0, 1.0]),
    ),
    Session(
        "third_tier_on_request",
        seed=12,
        settings=settings(
            [READ, SAVE, PAY],
            tier=2,
            membership_mode="on_request",
            weight_kind="silent",
            rules=BUDGET | {"full_may_have_run": True},
        ),
        arrival_span_ms=3000.0,
        requests=130,
        servers=8,
        behaviours=([HEALTHY, FLAKY, DOWN], [2.0, 3.0, 1.0]),
        list_updates=14,
        list_failure_fraction=0.3,
        changes_per_update=2,
        node_restart_after_ms=2100.0,
    ),
    Session(
        "dedup_scopes_and_outliers",
        seed=13,
        settings=settings(
            [
                request_class("zonal", "dedup", 3.0, dedup_scope="zone"),
                request_class("celled", "dedup", 2.0, dedup_scope="cell", window_ms=120.0),
                READ,
            ],
            siblings=7,
            stats={"how": "piggyback"},
            prices={"cross_zone": 0.2},
        ),
        arrival_span_ms=3000.0,
        requests=145,
        servers=8,
        cells=6,
        server_capacity=3,
        behaviours=([FLAKY, OUTLIER, SLOW], [4.0, 2.0, 1.0]),
        list_updates=7,
        client_leave_fraction=0.15,
    ),
    Session(
        "many_servers_many_siblings",
        seed=14,
        settings=settings(
            [READ, PAY],
            tier=1,
            siblings=40,
            my_number=17,
            weight_kind="silent",
            family_info={"passes_deadline": True},
        ),
        arrival_span_ms=1500.0,
        requests=130,
        burst_fraction=0.6,
        servers=250,
        cells=60,
        behaviours=([HEALTHY, FLAKY, SLOW], [4.0, 2.0, 1.0]),
        list_updates=8,
        full_list_fraction=0.1,
        changes_per_update=4,
    ),
)
