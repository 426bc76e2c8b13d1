"""What a node is told at its start: NODE_CONFIG's JSON as typed values.

Lists of servers have the same form here and at discovery, so they are read here for both.
"""

from __future__ import annotations

import hashlib
import json
import math
import re
import time
from collections.abc import Set
from dataclasses import dataclass

from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.settings import Settings
from workspond.settings_reader import (
    NUMBER,
    Json,
    MalformedInputError,
    get,
    objects,
    opt,
    read_settings,
    word,
)

Address = tuple[str, int]

# What the resolver takes: with anything else it raises no OSError, as for a host that can't be reached.
HOST = re.compile(r"\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*\.?")
PORT = re.compile("[0-9]{1,5}")

STATUSES = {
    "active": EndpointState.IN_SERVICE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}


class InvalidConfigError(Exception):
    """A configuration that no node can be started with."""


class UnreadableConfigError(InvalidConfigError):
    """A configuration whose file can't be opened or read now; later it may be."""


@dataclass(slots=True)
class EndpointList:
    """A list of servers, or the part of it that changed."""

    index: int
    complete: bool
    endpoints: list[Endpoint]
    addresses: dict[int, Address]
    start_times_ms: dict[int, float]  # when each last started: Unix time in ms, 0 for long ago
    previous_response_at_ms: float = -math.inf  # when the answer before it came, by `now_ms`
    unchanged_ids: Set[int] = frozenset()  # of a whole list: servers that are named as before, and no entries


@dataclass(slots=True)
class Config:
    """All that a node knows when it starts."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: EndpointList
    settings: Settings


def now_ms() -> float:
    """The node's clock: monotonic, in milliseconds."""
    return time.monotonic() * 1000.0


def server_id(name: str) -> int:
    """A server's number, the same at every node: the module cuts the fleet among the nodes by it.

    Of 64 bits, so that two names never share one; `hash()` differs from one process to the next.
    """
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def address(text: str) -> Address:
    """Split host:port."""
    host, _, port = text.rpartition(":")
    if not HOST.fullmatch(host) or not PORT.fullmatch(port) or int(port) > 65535:
        raise MalformedInputError(f"{text!r:.60} is no address of the form host:port")
    return host.strip("[]"), int(port)


def hex_digits(text: str) -> int:
    """A number written in hex digits and nothing else."""
    if not re.fullmatch("[0-9a-fA-F]+", text):
        raise MalformedInputError(f"'seed' must be hex digits, not {text!r:.60}")
    return int(text, 16)


def read_endpoint_list(obj: Json) -> EndpointList:
    """Read a list as discovery writes it; `StartTimes` turns `since_ms` into the entries' starts."""
    entries: list[Endpoint] = []
    addresses: dict[int, Address] = {}
    since_ms: dict[int, float] = {}
    for item in objects(obj, "endpoints"):
        server = server_id(get(item, "name", str))
        since_ms[server] = opt(item, "since_ms", NUMBER, 0)
        entries.append(
            Endpoint(
                server_id=server,
                zone=opt(item, "zone", str, ""),
                machine_type=opt(item, "type", str, ""),
                cell=opt(item, "group", int, 0),
                state=word(item, "status", STATUSES),
                weight=opt(item, "weight", NUMBER, 1.0),
            )
        )
        addresses[server] = address(get(item, "address", str))
    return EndpointList(get(obj, "index", int), get(obj, "snapshot", bool), entries, addresses, since_ms)


def read_config(path: str) -> Config:
    """Read the file; `BadConfig` says in one line what is wrong with it."""
    try:
        with open(path, encoding="utf-8") as file:
            obj = json.load(file)
    except OSError as problem:
        raise UnreadableConfigError(f"can't read the configuration: {problem}") from None
    except (ValueError, RecursionError) as problem:
        raise InvalidConfigError(f"{path}: not JSON: {problem!s:.100}") from None
    if not isinstance(obj, dict):
        raise InvalidConfigError(f"{path}: must be an object")
    try:
        limits = opt(obj, "limits", dict, {})
        return Config(
            name=get(obj, "name", str),
            listen=address(get(obj, "listen", str)),
            discovery=address(get(obj, "discovery", str)),
            seed=hex_digits(get(obj, "seed", str)),
            sockets=opt(limits, "sockets", int, 1024),
            known=read_endpoint_list(
                opt(obj, "known", dict, {"index": 0, "snapshot": True, "endpoints": []})
            ),
            settings=read_settings(get(obj, "settings", dict)),
        )
    except (MalformedInputError, ValueError) as problem:
        raise InvalidConfigError(f"{path}: {problem}") from None
