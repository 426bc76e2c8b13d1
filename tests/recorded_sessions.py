"""The sessions that `tests/record_decisions.py` records: settings, arrivals, servers and list changes."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import Any

Json = dict[str, Any]
Behaviour = tuple[float, float, float, float]  # shares of attempts: no connection, error, reset; slowness

SOUND: Behaviour = (0.0, 0.0, 0.0, 1.0)
MIXED: Behaviour = (0.03, 0.1, 0.06, 1.0)
OUTLIER: Behaviour = (0.1, 0.7, 0.1, 1.0)
SLOW: Behaviour = (0.0, 0.0, 0.02, 8.0)
DOWN: Behaviour = (1.0, 0.0, 0.0, 1.0)


def request_class(name: str, semantics: str, importance: float, **changes: Any) -> Json:
    """A class of requests."""
    cls = {"name": name, "objective_ms": 120.0, "give_up_ms": 600.0, "semantics": semantics}
    cls |= {"importance": importance, "late_worth": 0.2, "dedup_scope": "all", "window_ms": 250.0}
    return cls | {"stream": False} | changes


READ = request_class("read", "retryable", 1.0)
SAVE = request_class("save", "dedup", 3.0)
PAY = request_class("pay", "fragile", 8.0, objective_ms=200.0)
WATCH = request_class("watch", "retryable", 0.5, stream=True)


def settings(classes: list[Json], **changes: Any) -> Json:
    """Settings of a node; a dictionary among the changes is merged into the part of that name."""
    env: Json = {
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
        env[name] = env[name] | value if isinstance(value, dict) else value
    return env


@dataclass(frozen=True)
class Session:
    """One session: what is recorded follows from it alone."""

    name: str
    seed: int
    settings: Json
    arrival_span_ms: float  # in which requests arrive
    requests: int
    burst_fraction: float = 0.0  # the part of the requests that arrives within a tenth of the span
    servers: int = 6
    cells: int = 3
    nodes: int = 1
    server_capacity: int = 6  # attempts that a server holds
    work_ms: float = 25.0
    behaviours: tuple[list[Behaviour], list[float]] = field(default_factory=lambda: ([SOUND], [1.0]))
    list_updates: int = 0
    full_list_fraction: float = 0.2
    list_failure_fraction: float = 0.0
    changes_per_update: int = 1
    client_leave_fraction: float = 0.03
    node_restart_after_ms: float = math.inf

    @property
    def tick_ms(self) -> float:
        """The least time between batches."""
        return float(self.settings["quantum_ms"])

    @property
    def end_at_ms(self) -> float:
        """When the recording ends: all that was asked has been answered by then."""
        return 1000.0 + self.arrival_span_ms + 1000.0

    def next_tick(self, at_ms: float) -> float:
        """The tick at or after a time."""
        return math.ceil(at_ms / self.tick_ms) * self.tick_ms

    def share(self, rng: random.Random) -> float:
        """A server's figure for comparison with others."""
        return 1 if self.settings["weight_kind"] == "silent" else rng.choice((0, 0.5, 1, 1, 1, 2.25))

    def entry(self, rng: random.Random, server: int) -> Json:
        """A server's list entry."""
        return {
            "server": server,
            "failure_domain": f"z{rng.randrange(2)}",
            "sku": "k0",
            "group": rng.randrange(self.cells),
            "health": "in_service",
            "share": self.share(rng),
            "boot_time_ms": None,
        }

    def initial_entries(self, rng: random.Random) -> list[Json]:
        """The first list."""
        return [
            self.entry(rng, server) for server in rng.sample(range(10, 10 + 4 * self.servers), self.servers)
        ]

    def arrivals(self, rng: random.Random, nodes: list[str]) -> list[tuple[float, str, Json]]:
        """When each request comes, to which node, and of what class."""
        found = []
        for _ in range(self.requests):
            after_ms = rng.random() * self.arrival_span_ms
            if rng.random() < self.burst_fraction:
                after_ms = (0.5 + rng.random() / 10.0) * self.arrival_span_ms
            found.append((5.0 + after_ms, rng.choice(nodes), rng.choice(self.settings["classes"])))
        return found

    def change_entries(self, rng: random.Random, entries: list[Json], now: float) -> list[Json]:
        """Change some entries in place, or add a server; what has changed."""
        changed: list[Json] = []
        for sampled in rng.sample(entries, self.changes_per_update):
            entry = sampled
            step = rng.choice(("drain", "remove", "restart", "restart", "skew", "weigh", "move", "add"))
            if step == "add":
                entry = self.entry(rng, max(each["server"] for each in [*entries, *changed]) + 1)
                entry["boot_time_ms"] = now - 20.0
            elif step == "drain":
                entry["health"] = "terminating"
            elif step == "remove":
                entry["health"] = "terminated"
            elif step == "restart":
                entry |= {"health": "in_service", "boot_time_ms": now - 20.0}
            elif step == "skew":
                entry["boot_time_ms"] = (entry["boot_time_ms"] or 500.0) + 40.0
            elif step == "move":
                entry |= {"group": (entry["group"] + 1) % self.cells, "failure_domain": "z1"}
            else:
                entry["share"] = self.share(rng)
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
        behaviours=([SOUND, MIXED], [3.0, 1.0]),
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
        behaviours=([SOUND, MIXED, DOWN], [2.0, 3.0, 1.0]),
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
        behaviours=([MIXED, OUTLIER, SLOW], [4.0, 2.0, 1.0]),
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
        behaviours=([SOUND, MIXED, SLOW], [4.0, 2.0, 1.0]),
        list_updates=8,
        full_list_fraction=0.1,
        changes_per_update=4,
    ),
)
