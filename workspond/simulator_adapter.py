"""The adapter: hosts one `Balancer` per simulated node and speaks the bench's wire.

One JSON batch a line on standard input, one JSON reply a line on standard output. No decisions are
made here. Malformed input ends the process with one line on standard error and exit status 2.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import TextIO

from workspond.json_fields import NUMBER, Json, MalformedInputError, choice, get, objects, optional
from workspond.policy.actions import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    PolicyAction,
    RejectRequest,
    SendAttempt,
    SetTimer,
    Subscribe,
    WriteLog,
)
from workspond.policy.balancer import Balancer
from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.events import (
    AttemptEnded,
    EndpointUpdate,
    NodeStarted,
    Outcome,
    PolicyEvent,
    RequestAbandoned,
    RequestReceived,
    StreamStarted,
    TimerFired,
    UpdateKind,
)
from workspond.settings_reader import read_settings

HEALTH = {
    "in_service": EndpointState.IN_SERVICE,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
FORMS = {
    "INCREMENTAL": UpdateKind.INCREMENTAL,
    "FULL": UpdateKind.COMPLETE,
    "SAVED": UpdateKind.CACHED,
    "FAILED": UpdateKind.FAILED,
}
RESULTS = {
    100: Outcome.SUCCESS,
    301: Outcome.ERROR,
    302: Outcome.REJECTED,
    303: Outcome.TIMEOUT,
    304: Outcome.CONNECT_FAILED,
    305: Outcome.RESET,
    306: Outcome.CANCELLED,
    307: Outcome.NOT_SENT,
}


def _entries(item: Json) -> list[Endpoint]:
    return [
        Endpoint(
            server_id=get(e, "server", int),
            zone=optional(e, "failure_domain", str, ""),
            machine_type=optional(e, "sku", str, ""),
            cell=optional(e, "group", int, 0),
            state=choice(e, "health", HEALTH),
            weight=optional(e, "share", NUMBER, 1.0),
            started_at_ms=optional(e, "boot_time_ms", NUMBER, 0.0) or None,
        )
        for e in objects(item, "elements")
    ]


def _request(item: Json) -> PolicyEvent:
    return RequestReceived(
        get(item, "request_id", str),
        get(item, "type", str),
        get(item, "ttl_ms", NUMBER),
        None if item.get("owner") == 0 else optional(item, "owner", str, None),  # 0: no tenants here
        optional(item, "again_by_client", bool, False),
    )


def _report(item: Json) -> dict[str, float] | None:
    """A load report; values that are absent are left out, negative ones (they are noisy) count as 0."""
    report = optional(item, "report", dict, None)
    if report is None:
        return None
    return {name: max(0.0, get(report, name, NUMBER)) for name, value in report.items() if value is not None}


def _completed(item: Json) -> PolicyEvent:
    return AttemptEnded(
        get(item, "request_id", str),
        get(item, "send_no", int),
        get(item, "server", int),
        choice(item, "disposition", RESULTS, int),
        get(item, "duration_ms", NUMBER),
        get(item, "settled", bool),
        _report(item),
    )


def _streaming(item: Json) -> PolicyEvent:
    request, attempt = get(item, "request_id", str), get(item, "send_no", int)
    return StreamStarted(request, attempt, get(item, "server", int))


READERS: dict[str, Callable[[Json], PolicyEvent]] = {
    "JobIn": _request,
    "Completed": _completed,
    "Fired": lambda item: TimerFired(get(item, "nonce", int)),
    "ClientGone": lambda item: RequestAbandoned(get(item, "request_id", str)),
    "Streaming": _streaming,
}
IGNORED = {"NeighbourSays", "StatusBack"}  # the module neither probes nor talks to peers


def _write(node: str, action: PolicyAction) -> Json:
    match action:
        case SendAttempt():
            return {
                "kind": "SubmitTo",
                "node": node,
                "request_id": action.request_id,
                "server": action.server_id,
                "within_ms": action.timeout_ms,
            }
        case SetTimer():
            return {"kind": "WakeAt", "node": node, "nonce": action.token, "span_ms": action.delay_ms}
        case FailRequest():
            return {"kind": "RespondError", "node": node, "request_id": action.request_id}
        case RejectRequest():
            return {
                "kind": "Deny",
                "node": node,
                "request_id": action.request_id,
                "stay_away_ms": action.retry_after_ms,
            }
        case CancelAttempt():
            return {
                "kind": "StopAttempt",
                "node": node,
                "request_id": action.request_id,
                "send_no": action.attempt_number,
            }
        case CloseIdleConnections():
            return {"kind": "FreeLinks", "node": node, "server": action.server_id}
        case Subscribe():
            return {"kind": "Track", "node": node, "on": True}
        case WriteLog():
            return {"kind": "Print", "node": node, "body_text": action.text}


class Host:
    """All instances of one process, kept apart; they share the list pages only."""

    def __init__(self) -> None:
        self._nodes: dict[str, Balancer] = {}
        self._pages: dict[int, list[Endpoint]] = {}

    def batch(self, message: Json) -> Json:
        """Answer one batch."""
        now: float = get(message, "ts_ms", NUMBER)
        number = get(message, "round", int)
        actions: list[Json] = []
        for n, item in enumerate(objects(message, "items")):
            try:
                self._item(item, now, actions)
            except MalformedInputError as problem:
                raise MalformedInputError(f"items[{n}] ({item.get('kind')!r:.40}): {problem}") from None
        return {"round": number, "actions": actions}

    def _item(self, item: Json, now: float, actions: list[Json]) -> None:
        kind = get(item, "kind", str)
        if kind == "Page":
            self._pages[get(item, "bank", int)] = _entries(item)
            return
        name = get(item, "node", str)
        if kind == "Launch":
            try:
                settings = read_settings(get(item, "env", dict))
            except ValueError as problem:
                raise MalformedInputError(f"'env' has impossible settings: {problem}") from None
            self._nodes[name] = Balancer(settings, get(item, "salt", int))
            event: PolicyEvent = NodeStarted()
        elif name not in self._nodes:
            raise MalformedInputError(f"node {name!r:.40} is not running")
        elif kind == "PowerOff":
            del self._nodes[name]
            return
        elif kind == "View":
            event = self._view(item)
        elif kind in READERS:
            event = READERS[kind](item)
            if isinstance(event, RequestReceived) and event.class_name not in self._nodes[name].classes:
                raise MalformedInputError(
                    f"'type' is {event.class_name!r:.40}, which is no class of the settings"
                )
        elif kind in IGNORED:
            return
        else:
            raise MalformedInputError("unknown kind of event")
        for action in self._nodes[name].handle(event, now):
            actions.append(_write(name, action))

    def _view(self, item: Json) -> PolicyEvent:
        form = choice(item, "form", FORMS)
        if form is UpdateKind.FAILED:
            return EndpointUpdate(form)
        bank = get(item, "bank", int)
        if bank not in self._pages:
            raise MalformedInputError(f"'bank' {bank} has had no Page")
        return EndpointUpdate(form, get(item, "stamp", int), self._pages[bank])


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until input ends; the exit status."""
    host, number = Host(), 1
    while True:
        try:
            try:
                line = source.readline()
                message = json.loads(line) if line else None
            except (ValueError, RecursionError) as problem:
                raise MalformedInputError(f"not JSON: {problem!s:.200}") from None
            if not line:
                return 0
            if not isinstance(message, dict):
                raise MalformedInputError(f"a batch must be an object, not {message!r:.60}")
            reply = host.batch(message)
        except MalformedInputError as problem:
            print(f"workspond: input line {number}: {problem}", file=errors)
            return 2
        number += 1
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
