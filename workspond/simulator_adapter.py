"""Connects the policy to the simulator: runs one `Balancer` per simulated node.

Each line on standard input is a JSON batch of events, and each line on standard output is the JSON reply with
the actions. docs/glossary.md lists the names on the wire and the corresponding names in the code. Malformed
input ends the process with one line on standard error and exit status 2.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TextIO

from workspond.json_fields import (
    NUMBER,
    Json,
    MalformedInputError,
    choice_field,
    object_list_field,
    optional_field,
    required_field,
)
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

ENDPOINT_STATES = {
    "in_service": EndpointState.IN_SERVICE,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
UPDATE_KINDS = {
    "INCREMENTAL": UpdateKind.INCREMENTAL,
    "FULL": UpdateKind.COMPLETE,
    "SAVED": UpdateKind.CACHED,
    "FAILED": UpdateKind.FAILED,
}
OUTCOMES = {
    100: Outcome.SUCCESS,
    301: Outcome.ERROR,
    302: Outcome.REJECTED,
    303: Outcome.TIMEOUT,
    304: Outcome.CONNECT_FAILED,
    305: Outcome.RESET,
    306: Outcome.CANCELLED,
    307: Outcome.NOT_SENT,
}
NO_TENANT = 0  # `owner` of a request if the deployment has no tenants
# The policy uses neither messages from other nodes nor results of health checks.
IGNORED_EVENT_KINDS = {"NeighbourSays", "StatusBack"}


def _read_endpoint(entry: Json) -> Endpoint:
    return Endpoint(
        server_id=required_field(entry, "server", int),
        zone=optional_field(entry, "failure_domain", str, ""),
        machine_type=optional_field(entry, "sku", str, ""),
        cell=optional_field(entry, "group", int, 0),
        state=choice_field(entry, "health", ENDPOINT_STATES),
        weight=optional_field(entry, "share", NUMBER, 1.0),
        started_at_ms=optional_field(entry, "boot_time_ms", NUMBER, 0.0) or None,
    )


def _read_request(item: Json) -> RequestReceived:
    return RequestReceived(
        request_id=required_field(item, "request_id", str),
        class_name=required_field(item, "type", str),
        ttl_ms=required_field(item, "ttl_ms", NUMBER),
        tenant=None if item.get("owner") == NO_TENANT else optional_field(item, "owner", str, None),
        is_client_retry=optional_field(item, "again_by_client", bool, False),
    )


def _read_attempt_ended(item: Json) -> AttemptEnded:
    return AttemptEnded(
        request_id=required_field(item, "request_id", str),
        attempt_number=required_field(item, "send_no", int),
        server_id=required_field(item, "server", int),
        outcome=choice_field(item, "disposition", OUTCOMES, int),
        duration_ms=required_field(item, "duration_ms", NUMBER),
        request_finished=required_field(item, "settled", bool),
        load_report=_read_load_report(item),
    )


def _read_load_report(item: Json) -> dict[str, float] | None:
    """Read a load report without its null values; noise can make a value negative, which counts as 0."""
    report = optional_field(item, "report", dict, None)
    if report is None:
        return None
    return {
        name: max(0.0, required_field(report, name, NUMBER))
        for name, value in report.items()
        if value is not None
    }


def _read_stream_started(item: Json) -> StreamStarted:
    return StreamStarted(
        request_id=required_field(item, "request_id", str),
        attempt_number=required_field(item, "send_no", int),
        server_id=required_field(item, "server", int),
    )


def _read_timer_fired(item: Json) -> TimerFired:
    return TimerFired(required_field(item, "nonce", int))


def _read_request_abandoned(item: Json) -> RequestAbandoned:
    return RequestAbandoned(required_field(item, "request_id", str))


EVENT_READERS: dict[str, Callable[[Json], PolicyEvent]] = {
    "JobIn": _read_request,
    "Completed": _read_attempt_ended,
    "Fired": _read_timer_fired,
    "ClientGone": _read_request_abandoned,
    "Streaming": _read_stream_started,
}


@dataclass(frozen=True, slots=True)
class ActionFormat:
    """How an action is written to the wire.

    Attributes:
        kind: The name of the action on the wire.
        fields: The keys on the wire, each with the name of the action's attribute that holds its value.
        constants: The keys whose values are always the same, with these values.
    """

    kind: str
    fields: dict[str, str] = field(default_factory=dict)
    constants: Json = field(default_factory=dict)


ACTION_FORMATS: dict[type[PolicyAction], ActionFormat] = {
    SendAttempt: ActionFormat(
        "SubmitTo", {"request_id": "request_id", "server": "server_id", "within_ms": "timeout_ms"}
    ),
    SetTimer: ActionFormat("WakeAt", {"nonce": "token", "span_ms": "delay_ms"}),
    FailRequest: ActionFormat("RespondError", {"request_id": "request_id"}),
    RejectRequest: ActionFormat("Deny", {"request_id": "request_id", "stay_away_ms": "retry_after_ms"}),
    CancelAttempt: ActionFormat("StopAttempt", {"request_id": "request_id", "send_no": "attempt_number"}),
    CloseIdleConnections: ActionFormat("FreeLinks", {"server": "server_id"}),
    Subscribe: ActionFormat("Track", constants={"on": True}),
    WriteLog: ActionFormat("Print", {"body_text": "text"}),
}


def _write_action(node: str, action: PolicyAction) -> Json:
    action_format = ACTION_FORMATS[type(action)]
    fields = {key: getattr(action, attribute) for key, attribute in action_format.fields.items()}
    return {"kind": action_format.kind, "node": node, **fields, **action_format.constants}


class SimulatedNodes:
    """The simulated nodes of one process. They share only the pages of endpoints."""

    def __init__(self) -> None:
        self._balancers: dict[str, Balancer] = {}  # by node name
        self._pages: dict[int, list[Endpoint]] = {}  # by page number; endpoint updates refer to it

    def handle_batch(self, message: Json) -> Json:
        """Handle one batch of events and return the reply.

        Raises:
            MalformedInputError: The batch does not follow the wire format.
        """
        now_ms: float = required_field(message, "ts_ms", NUMBER)
        batch_number = required_field(message, "round", int)
        actions: list[Json] = []
        for index, item in enumerate(object_list_field(message, "items")):
            try:
                actions += self._handle_item(item, now_ms)
            except MalformedInputError as error:
                raise MalformedInputError(f"items[{index}] ({item.get('kind')!r:.40}): {error}") from None
        return {"round": batch_number, "actions": actions}

    def _handle_item(self, item: Json, now_ms: float) -> list[Json]:
        kind = required_field(item, "kind", str)
        if kind == "Page":
            self._read_page(item)
            return []
        node = required_field(item, "node", str)
        if kind == "Launch":
            self._balancers[node] = self._launch(item)
            return self._handle_event(node, NodeStarted(), now_ms)
        if node not in self._balancers:
            raise MalformedInputError(f"node {node!r:.40} is not running")
        if kind == "PowerOff":
            del self._balancers[node]
            return []
        if kind in IGNORED_EVENT_KINDS:
            return []
        return self._handle_event(node, self._read_event(kind, item, self._balancers[node]), now_ms)

    def _handle_event(self, node: str, event: PolicyEvent, now_ms: float) -> list[Json]:
        return [_write_action(node, action) for action in self._balancers[node].handle(event, now_ms)]

    def _read_page(self, item: Json) -> None:
        endpoints = [_read_endpoint(entry) for entry in object_list_field(item, "elements")]
        self._pages[required_field(item, "bank", int)] = endpoints

    def _launch(self, item: Json) -> Balancer:
        try:
            settings = read_settings(required_field(item, "env", dict))
        except ValueError as error:
            raise MalformedInputError(f"'env' has invalid settings: {error}") from None
        return Balancer(settings, required_field(item, "salt", int))

    def _read_event(self, kind: str, item: Json, balancer: Balancer) -> PolicyEvent:
        if kind == "View":
            return self._read_endpoint_update(item)
        if kind not in EVENT_READERS:
            raise MalformedInputError("unknown kind of event")
        event = EVENT_READERS[kind](item)
        if isinstance(event, RequestReceived) and event.class_name not in balancer.classes:
            raise MalformedInputError(f"'type' must be a class of the settings, not {event.class_name!r:.40}")
        return event

    def _read_endpoint_update(self, item: Json) -> EndpointUpdate:
        kind = choice_field(item, "form", UPDATE_KINDS)
        if kind is UpdateKind.FAILED:
            return EndpointUpdate(kind)
        page_number = required_field(item, "bank", int)
        if page_number not in self._pages:
            raise MalformedInputError(
                f"'bank' must be the number of a page that was sent before, not {page_number}"
            )
        return EndpointUpdate(kind, required_field(item, "stamp", int), self._pages[page_number])


def _read_batch(source: TextIO) -> Json | None:
    """Read one batch; return None at the end of the input.

    Raises:
        MalformedInputError: The line is not a JSON object.
    """
    try:
        line = source.readline()
        message = json.loads(line) if line else None
    except (ValueError, RecursionError) as error:
        raise MalformedInputError(f"not JSON: {error!s:.200}") from None
    if not line:
        return None
    if not isinstance(message, dict):
        raise MalformedInputError(f"a batch must be an object, not {message!r:.60}")
    return message


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until the input ends, and return the exit status.

    Args:
        source: The stream that batches are read from.
        sink: The stream that replies are written to.
        errors: The stream that an error is written to before the process ends.
    """
    nodes = SimulatedNodes()
    line_number = 1
    while True:
        try:
            message = _read_batch(source)
            if message is None:
                return 0
            reply = nodes.handle_batch(message)
        except MalformedInputError as error:
            print(f"workspond: input line {line_number}: {error}", file=errors)
            return 2
        line_number += 1
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
