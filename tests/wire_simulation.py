"""A seeded simulation of clients, servers and discovery that drives the simulator adapter over its wire."""

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
# Time in ms, order of scheduling, node, and the function that runs the event and returns the batch items.
Event = tuple[float, int, str, Callable[[], list[Json]]]
TIMEOUT_ABOVE, NOT_SENT_ABOVE = 0.98, 0.99  # an attempt with a higher random draw times out, or is not sent
# Dispositions of attempts on the wire
OK, ERROR, REJECTED, TIMEOUT, CONNECT_FAILED, RESET, NOT_SENT = 100, 301, 302, 303, 304, 305, 307


def encode_line(value: Json) -> str:
    """Encode a message as a line of the wire."""
    return json.dumps(value, separators=(",", ":")) + "\n"


class ServerModel:
    """A simulated server: its list entry and its behaviour."""

    def __init__(self, entry: Json, behaviour: tuple[float, float, float, float]) -> None:
        self.entry = entry
        self.unreachable_fraction, self.error_fraction, self.reset_fraction, self.slowdown = behaviour
        self.in_flight = 0


class RequestModel:
    """A client's request and its state in the simulation."""

    def __init__(self, node: str, deadline_ms: float, is_stream: bool) -> None:
        self.node, self.deadline_ms, self.is_stream = node, deadline_ms, is_stream
        self.attempts = 0
        self.finished = False


class Simulation:
    """Simulates clients, servers and discovery; it is the adapter's input and output stream."""

    def __init__(self, session: Session) -> None:
        self.session, self.rng = session, random.Random(session.seed)
        self.lines: list[str] = []
        self.now_ms, self.round = 1000.0, 0
        self.event_order = itertools.count()
        self.events: list[Event] = []  # a heap
        self.requests: dict[str, RequestModel] = {}
        self.nodes = [f"n{number}" for number in range(session.nodes)]
        self.subscribed: set[str] = set()
        self.list_version, self.page_number = 1, 0
        self.servers = {
            entry["server"]: self.make_server(entry) for entry in session.initial_entries(self.rng)
        }
        for node in self.nodes:
            self.schedule(0.0, "", partial(self.launch, node))
            self.schedule(session.node_restart_after_ms, "", partial(self.restart, node))
        for after_ms, node, request_class in session.arrivals(self.rng, self.nodes):
            self.schedule(after_ms, "", partial(self.create_request, node, request_class))
        for step in range(1, session.list_updates + 1):
            self.schedule(step * session.arrival_span_ms / (session.list_updates + 1), "", self.change_list)

    # The input and output streams of the adapter

    def readline(self) -> str:
        """Return a batch of the events due at the next tick, as a line; empty at the end of the session."""
        self.events = [event for event in self.events if event[0] < self.session.end_at_ms]
        heapq.heapify(self.events)
        if not self.events:
            return ""
        self.now_ms = max(self.now_ms, self.session.next_tick(self.events[0][0]))
        items: list[Json] = []
        while self.events and self.events[0][0] <= self.now_ms:
            items.extend(heapq.heappop(self.events)[3]())
        self.round += 1
        self.lines.append(encode_line({"ts_ms": self.now_ms, "round": self.round, "items": items}))
        return self.lines[-1]

    def write(self, text: str) -> None:
        """Record a reply of the adapter and perform its actions."""
        self.lines.append(text)
        for action in json.loads(text)["actions"]:
            match action["kind"]:
                case "SubmitTo":
                    self.begin_attempt(action)
                case "WakeAt":
                    fired = {"kind": "Fired", "node": action["node"], "nonce": action["nonce"]}
                    delay_ms = max(action["span_ms"], self.session.tick_ms)
                    self.schedule(delay_ms, action["node"], partial(list, [fired]))
                case "Track":
                    self.schedule(3.0, action["node"], partial(self.answer_subscription, action["node"]))
                case "Deny" | "RespondError":
                    self.requests[action["request_id"]].finished = True

    def flush(self) -> None:
        """Do nothing: replies are not buffered."""

    def schedule(self, after_ms: float, node: str, event: Callable[[], list[Json]]) -> None:
        """Schedule an event; an event of a node is cancelled when the node restarts."""
        after_ms = round(after_ms, 3)
        heapq.heappush(self.events, (self.now_ms + after_ms, next(self.event_order), node, event))

    # Nodes and discovery

    def make_server(self, entry: Json) -> ServerModel:
        """Create a server with one of the session's behaviours."""
        return ServerModel(entry, self.rng.choices(*self.session.behaviours)[0])

    def page_event(self, entries: list[Json]) -> Json:
        """Build a list page with the next page number."""
        self.page_number = (self.page_number + 1) % 16
        elements = [dict(entry) for entry in entries]
        for element in elements[4:]:  # omitted defaults keep long lists short
            if element["boot_time_ms"] is None and element["share"] == 1:
                del element["boot_time_ms"], element["share"], element["sku"]
        return {"kind": "Page", "bank": self.page_number, "elements": elements}

    def view_event(self, node: str, form: str) -> Json:
        """Build the event that refers a node to the last page."""
        return {
            "kind": "View",
            "node": node,
            "form": form,
            "stamp": self.list_version,
            "bank": self.page_number,
        }

    def listed_entries(self) -> list[Json]:
        """Return the entries of all servers that are not terminated."""
        return [server.entry for server in self.servers.values() if server.entry["health"] != "terminated"]

    def launch(self, node: str) -> list[Json]:
        """Start a node with a saved list."""
        if self.session.settings["membership_mode"] == "pushed":
            self.subscribed.add(node)
        salt = self.rng.randrange(2**63)
        start = {"kind": "Launch", "node": node, "salt": salt, "env": self.session.settings}
        return [start, self.page_event(self.listed_entries()), self.view_event(node, "SAVED")]

    def restart(self, node: str) -> list[Json]:
        """Kill a node and start it again in the same batch."""
        self.events = [event for event in self.events if event[2] != node]
        heapq.heapify(self.events)
        self.subscribed.discard(node)
        for request in self.requests.values():
            request.finished |= request.node == node
        for server in self.servers.values():
            server.in_flight = 0
        return [{"kind": "PowerOff", "node": node}, *self.launch(node)]

    def answer_subscription(self, node: str) -> list[Json]:
        """Answer a subscription to the list with a complete list or a failure."""
        if self.rng.random() < self.session.list_failure_fraction:
            return [{"kind": "View", "node": node, "form": "FAILED", "stamp": 0, "bank": 0}]
        self.subscribed.add(node)
        return [self.page_event(self.listed_entries()), self.view_event(node, "FULL")]

    def change_list(self) -> list[Json]:
        """Change some entries, then notify the subscribers or make one subscription fail."""
        self.list_version += 1
        changed = self.session.change_entries(
            self.rng, [server.entry for server in self.servers.values()], self.now_ms
        )
        for entry in changed:
            if entry["server"] not in self.servers:
                self.servers[entry["server"]] = self.make_server(entry)
        subscribers = [node for node in self.nodes if node in self.subscribed]
        if subscribers and self.rng.random() < self.session.list_failure_fraction:
            self.subscribed.discard(subscribers[0])
            return [{"kind": "View", "node": subscribers[0], "form": "FAILED", "stamp": 0, "bank": 0}]
        form = "FULL" if self.rng.random() < self.session.full_list_fraction else "INCREMENTAL"
        page = self.page_event(self.listed_entries() if form == "FULL" else changed)
        return [page, *(self.view_event(node, form) for node in subscribers)]

    # Clients

    def create_request(self, node: str, request_class: Json) -> list[Json]:
        """Create a request; its client disconnects after the deadline, or earlier at random."""
        request_id = f"{node}-{len(self.requests)}"
        ttl_ms = round(request_class["give_up_ms"] * self.rng.choice((0.3, 0.6, 1.0)), 3)
        request = self.requests[request_id] = RequestModel(
            node, self.now_ms + ttl_ms, request_class["stream"]
        )
        disconnects_early = self.rng.random() < self.session.client_leave_fraction
        disconnect_after_ms = (
            ttl_ms * self.rng.random() if disconnects_early else ttl_ms + self.session.tick_ms * 2
        )
        self.schedule(disconnect_after_ms, node, partial(self.disconnect, request_id, request))
        item = {
            "kind": "JobIn",
            "node": node,
            "request_id": request_id,
            "type": request_class["name"],
            "ttl_ms": ttl_ms,
        }
        owners = [tenant["name"] for tenant in self.session.settings["tenants"]]
        item["owner"] = self.rng.choice(owners) if owners else self.rng.choice((0, None))
        if self.rng.random() < 0.1:
            item |= {"again_by_client": True, "update": True, "entity": "acct/k1", "size_hint_ms": 12.0}
        return [item, *self.ignored_events(node)]

    def ignored_events(self, node: str) -> list[Json]:
        """Return, at random, a status answer and a neighbour's message, which the node must ignore.

        The node neither probes servers nor exchanges messages with its neighbours.
        """
        if self.rng.random() < 0.95:
            return []
        server = self.rng.choice(list(self.servers))
        status = {"kind": "StatusBack", "node": node, "server": server, "disposition": OK}
        status |= {"duration_ms": 1.4, "report": None}
        return [status, {"kind": "NeighbourSays", "node": node, "src": 2, "msg": "68692037"}]

    def disconnect(self, request_id: str, request: RequestModel) -> list[Json]:
        """Disconnect the client of a request, unless the request is finished."""
        if request.finished:
            return []
        request.finished = True
        return [{"kind": "ClientGone", "node": request.node, "request_id": request_id}]

    # Attempts

    def begin_attempt(self, action: Json) -> None:
        """Begin an attempt: draw its outcome and schedule its end."""
        request, server = self.requests[action["request_id"]], self.servers[action["server"]]
        disposition, duration_ms = self.draw_outcome(request, server, action.get("within_ms") or 0.0)
        number, request.attempts = request.attempts, request.attempts + 1
        server.in_flight += 1
        ended = {"kind": "Completed", "node": action["node"], "request_id": action["request_id"]}
        ended |= {"settled": False, "disposition": disposition, "duration_ms": duration_ms}
        ended |= {"server": action["server"], "send_no": number}
        if request.is_stream and disposition == OK:
            names = ("node", "request_id", "server", "send_no")
            started = {"kind": "Streaming", **{name: ended[name] for name in names}}
            started["duration_ms"] = round(duration_ms / 2.0, 3)
            self.schedule(duration_ms / 2.0, action["node"], partial(list, [started]))
        self.schedule(duration_ms, action["node"], partial(self.end_attempt, request, server, ended))

    def draw_outcome(self, request: RequestModel, server: ServerModel, within_ms: float) -> tuple[int, float]:
        """Draw the outcome of an attempt, and its duration in milliseconds."""
        limit_ms = max(0.0, request.deadline_ms - self.now_ms)
        limit_ms = round(min(limit_ms, within_ms) if within_ms > 0.0 else limit_ms, 3)
        draw, session = self.rng.random(), self.session
        if request.finished or draw > NOT_SENT_ABOVE:
            return NOT_SENT, 0.0
        if draw > TIMEOUT_ABOVE:
            return TIMEOUT, limit_ms
        failure = self.find_failure(server, draw, limit_ms)
        if failure is not None:
            return failure
        work_ms = (
            session.work_ms * server.slowdown * (0.5 + self.rng.random()) * (1.0 + server.in_flight / 2.0)
        )
        return (OK, round(work_ms, 3)) if work_ms < limit_ms else (TIMEOUT, limit_ms)

    def find_failure(self, server: ServerModel, draw: float, limit_ms: float) -> tuple[int, float] | None:
        """Return how an attempt fails, and after how many milliseconds; None if it does not fail."""
        session = self.session
        if draw < server.unreachable_fraction or server.entry["health"] == "terminated":
            return CONNECT_FAILED, min(limit_ms, session.settings["permissions"]["connect_timeout_ms"])
        if server.in_flight >= session.server_capacity or server.entry["health"] == "terminating":
            return REJECTED, min(limit_ms, 1.0)
        if draw < server.unreachable_fraction + server.error_fraction:
            return ERROR, min(limit_ms, 2.0)
        if draw < server.unreachable_fraction + server.error_fraction + server.reset_fraction:
            return RESET, min(limit_ms, self.rng.choice((0.5, 25.0)))
        return None

    def end_attempt(self, request: RequestModel, server: ServerModel, ended: Json) -> list[Json]:
        """End an attempt; a success finishes the request."""
        server.in_flight = max(0, server.in_flight - 1)
        request.finished |= ended["disposition"] == OK
        report = {"inflight": server.in_flight, "queue": self.rng.randrange(-1, 4), "util": None}
        has_report = self.session.settings["stats"]["how"] == "piggyback"
        return [ended | {"settled": request.finished} | ({"report": report} if has_report else {})]
