"""A seeded closed loop for the simulator's wire: clients, servers and discovery around an adapter."""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from tests.recorded_sessions import Session

Json = dict[str, Any]
Event = tuple[float, int, str, Callable[[], list[Json]]]  # when, in what order, whose, and what happens
UNANSWERED, NOT_SENT = 0.98, 0.99  # of an attempt's luck: from where it is lost, and is not even sent
OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, NEVER_SENT = 100, 301, 302, 303, 304, 305, 307


def encoded(value: Json) -> str:
    """A line of the wire."""
    return json.dumps(value, separators=(",", ":")) + "\n"


class ServerModel:
    """A server of the simulated fleet: its list entry and how it behaves."""

    def __init__(self, entry: Json, behaviour: tuple[float, float, float, float]) -> None:
        self.entry = entry
        self.down, self.error, self.reset, self.slow = behaviour
        self.busy = 0


class RequestModel:
    """A client's request, as far as the simulation knows it."""

    def __init__(self, node: str, ends_ms: float, stream: bool) -> None:
        self.node, self.ends_ms, self.stream = node, ends_ms, stream
        self.attempts = 0
        self.finished = False


class Simulation:
    """Clients, servers and discovery around the adapter; it is both the adapter's input and its output."""

    def __init__(self, session: Session) -> None:
        self.session, self.rng = session, random.Random(session.seed)
        self.lines: list[str] = []
        self.now, self.round = 1000.0, 0
        self.serial = itertools.count()
        self.events: list[Event] = []  # a heap
        self.requests: dict[str, RequestModel] = {}
        self.nodes = [f"n{number}" for number in range(session.nodes)]
        self.subscribed: set[str] = set()
        self.stamp, self.bank = 1, 0
        self.servers = {entry["server"]: self.server(entry) for entry in session.initial_entries(self.rng)}
        for node in self.nodes:
            self.schedule(0.0, "", partial(self.launch, node))
            self.schedule(session.node_restart_after_ms, "", partial(self.relaunch, node))
        for after_ms, node, cls in session.arrivals(self.rng, self.nodes):
            self.schedule(after_ms, "", partial(self.arrive, node, cls))
        for step in range(1, session.list_updates + 1):
            self.schedule(step * session.arrival_span_ms / (session.list_updates + 1), "", self.change_list)

    # The adapter's side: a text source and a text sink

    def readline(self) -> str:
        """The next batch: all that is due at the next tick; none once all is over."""
        self.events = [event for event in self.events if event[0] < self.session.end_at_ms]
        heapq.heapify(self.events)
        if not self.events:
            return ""
        self.now = max(self.now, self.session.next_tick(self.events[0][0]))
        items: list[Json] = []
        while self.events and self.events[0][0] <= self.now:
            items.extend(heapq.heappop(self.events)[3]())
        self.round += 1
        self.lines.append(encoded({"ts_ms": self.now, "round": self.round, "items": items}))
        return self.lines[-1]

    def write(self, text: str) -> None:
        """A reply: note it and do what it says."""
        self.lines.append(text)
        for action in json.loads(text)["actions"]:
            match action["kind"]:
                case "SubmitTo":
                    self.submit(action)
                case "WakeAt":
                    fired = {"kind": "Fired", "node": action["node"], "nonce": action["nonce"]}
                    delay_ms = max(action["span_ms"], self.session.tick_ms)
                    self.schedule(delay_ms, action["node"], partial(list, [fired]))
                case "Track":
                    self.schedule(3.0, action["node"], partial(self.track, action["node"]))
                case "Deny" | "RespondError":
                    self.requests[action["request_id"]].finished = True

    def flush(self) -> None:
        """Nothing is kept back."""

    def schedule(self, after_ms: float, node: str, event: Callable[[], list[Json]]) -> None:
        """Have something happen; a node's events end with the node."""
        after_ms = round(after_ms, 3)
        heapq.heappush(self.events, (self.now + after_ms, next(self.serial), node, event))

    # Nodes and discovery

    def server(self, entry: Json) -> ServerModel:
        """A server that behaves as one of the session's kinds does."""
        return ServerModel(entry, self.rng.choices(*self.session.behaviours)[0])

    def page(self, entries: list[Json]) -> Json:
        """A list page under the next number."""
        self.bank = (self.bank + 1) % 16
        elements = [dict(entry) for entry in entries]
        for element in elements[4:]:  # absent is as good as what is usual; it keeps long lists short
            if element["boot_time_ms"] is None and element["share"] == 1:
                del element["boot_time_ms"], element["share"], element["sku"]
        return {"kind": "Page", "bank": self.bank, "elements": elements}

    def view(self, node: str, form: str) -> Json:
        """The event that tells a node of the last page."""
        return {"kind": "View", "node": node, "form": form, "stamp": self.stamp, "bank": self.bank}

    def whole(self) -> list[Json]:
        """All entries that are listed."""
        return [server.entry for server in self.servers.values() if server.entry["health"] != "terminated"]

    def launch(self, node: str) -> list[Json]:
        """Start a node with the list it held last."""
        if self.session.settings["membership_mode"] == "pushed":
            self.subscribed.add(node)
        salt = self.rng.randrange(2**63)
        start = {"kind": "Launch", "node": node, "salt": salt, "env": self.session.settings}
        return [start, self.page(self.whole()), self.view(node, "SAVED")]

    def relaunch(self, node: str) -> list[Json]:
        """Kill a node and start it anew in the same batch."""
        self.events = [event for event in self.events if event[2] != node]
        heapq.heapify(self.events)
        self.subscribed.discard(node)
        for request in self.requests.values():
            request.finished |= request.node == node
        for server in self.servers.values():
            server.busy = 0
        return [{"kind": "PowerOff", "node": node}, *self.launch(node)]

    def track(self, node: str) -> list[Json]:
        """Discovery's answer to a subscription."""
        if self.rng.random() < self.session.list_failure_fraction:
            return [{"kind": "View", "node": node, "form": "FAILED", "stamp": 0, "bank": 0}]
        self.subscribed.add(node)
        return [self.page(self.whole()), self.view(node, "FULL")]

    def change_list(self) -> list[Json]:
        """Change some entries and tell those who subscribe; now and then break a subscription instead."""
        self.stamp += 1
        changed = self.session.change_entries(
            self.rng, [server.entry for server in self.servers.values()], self.now
        )
        for entry in changed:
            if entry["server"] not in self.servers:
                self.servers[entry["server"]] = self.server(entry)
        told = [node for node in self.nodes if node in self.subscribed]
        if told and self.rng.random() < self.session.list_failure_fraction:
            self.subscribed.discard(told[0])
            return [{"kind": "View", "node": told[0], "form": "FAILED", "stamp": 0, "bank": 0}]
        form = "FULL" if self.rng.random() < self.session.full_list_fraction else "INCREMENTAL"
        page = self.page(self.whole() if form == "FULL" else changed)
        return [page, *(self.view(node, form) for node in told)]

    # Clients

    def arrive(self, node: str, cls: Json) -> list[Json]:
        """A request comes in; its client may leave early, and has left once an answer is overdue."""
        request_id = f"{node}-{len(self.requests)}"
        ttl_ms = round(cls["give_up_ms"] * self.rng.choice((0.3, 0.6, 1.0)), 3)
        request = self.requests[request_id] = RequestModel(node, self.now + ttl_ms, cls["stream"])
        leaves = self.rng.random() < self.session.client_leave_fraction
        gone_ms = ttl_ms * self.rng.random() if leaves else ttl_ms + self.session.tick_ms * 2
        self.schedule(gone_ms, node, partial(self.leave, request_id, request))
        item = {
            "kind": "JobIn",
            "node": node,
            "request_id": request_id,
            "type": cls["name"],
            "ttl_ms": ttl_ms,
        }
        owners = [tenant["name"] for tenant in self.session.settings["tenants"]]
        item["owner"] = self.rng.choice(owners) if owners else self.rng.choice((0, None))
        if self.rng.random() < 0.1:
            item |= {"again_by_client": True, "update": True, "entity": "acct/k1", "size_hint_ms": 12.0}
        return [item, *self.heard(node)]

    def heard(self, node: str) -> list[Json]:
        """Now and then, an event that a node which neither probes nor tells has no use for."""
        if self.rng.random() < 0.95:
            return []
        server = self.rng.choice(list(self.servers))
        status = {"kind": "StatusBack", "node": node, "server": server, "disposition": OK}
        status |= {"duration_ms": 1.4, "report": None}
        return [status, {"kind": "NeighbourSays", "node": node, "src": 2, "msg": "68692037"}]

    def leave(self, request_id: str, request: RequestModel) -> list[Json]:
        """The client goes, unless it has been answered."""
        if request.finished:
            return []
        request.finished = True
        return [{"kind": "ClientGone", "node": request.node, "request_id": request_id}]

    # Attempts

    def submit(self, action: Json) -> None:
        """An attempt begins: its outcome is drawn now and delivered when it is due."""
        request, server = self.requests[action["request_id"]], self.servers[action["server"]]
        code, duration_ms = self.outcome(request, server, action.get("within_ms") or 0.0)
        number, request.attempts = request.attempts, request.attempts + 1
        server.busy += 1
        ended = {"kind": "Completed", "node": action["node"], "request_id": action["request_id"]}
        ended |= {"settled": False, "disposition": code, "duration_ms": duration_ms}
        ended |= {"server": action["server"], "send_no": number}
        if request.stream and code == OK:
            names = ("node", "request_id", "server", "send_no")
            started = {"kind": "Streaming", **{name: ended[name] for name in names}}
            started["duration_ms"] = round(duration_ms / 2.0, 3)
            self.schedule(duration_ms / 2.0, action["node"], partial(list, [started]))
        self.schedule(duration_ms, action["node"], partial(self.complete, request, server, ended))

    def outcome(self, request: RequestModel, server: ServerModel, within_ms: float) -> tuple[int, float]:
        """How an attempt ends, and how long it takes."""
        limit_ms = max(0.0, request.ends_ms - self.now)
        limit_ms = round(min(limit_ms, within_ms) if within_ms > 0.0 else limit_ms, 3)
        luck, session = self.rng.random(), self.session
        if request.finished or luck > NOT_SENT:
            return NEVER_SENT, 0.0
        if luck > UNANSWERED:
            return TIMEOUT, limit_ms
        failure = self.failure(server, luck, limit_ms)
        if failure is not None:
            return failure
        work_ms = session.work_ms * server.slow * (0.5 + self.rng.random()) * (1.0 + server.busy / 2.0)
        return (OK, round(work_ms, 3)) if work_ms < limit_ms else (TIMEOUT, limit_ms)

    def failure(self, server: ServerModel, luck: float, limit_ms: float) -> tuple[int, float] | None:
        """How an attempt fails at a server, and how long that takes; None if the server works on it."""
        session = self.session
        if luck < server.down or server.entry["health"] == "terminated":
            return CONNECT_FAILED, min(limit_ms, session.settings["permissions"]["connect_timeout_ms"])
        if server.busy >= session.server_capacity or server.entry["health"] == "terminating":
            return FULL, min(limit_ms, 1.0)
        if luck < server.down + server.error:
            return ERROR, min(limit_ms, 2.0)
        if luck < server.down + server.error + server.reset:
            return RESET, min(limit_ms, self.rng.choice((0.5, 25.0)))
        return None

    def complete(self, request: RequestModel, server: ServerModel, ended: Json) -> list[Json]:
        """An attempt ends; a success is the request's answer."""
        server.busy = max(0, server.busy - 1)
        request.finished |= ended["disposition"] == OK
        fields = {"inflight": server.busy, "queue": self.rng.randrange(-1, 4), "util": None}
        reported = self.session.settings["stats"]["how"] == "piggyback"
        return [ended | {"settled": request.finished} | ({"report": fields} if reported else {})]
