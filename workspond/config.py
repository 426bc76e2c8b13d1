"""What a node is told at its start: NODE_CONFIG's JSON as typed values.

Lists of servers have the same form here and at discovery, so they are read here for both.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass

from workspond.address import Address, parse_address
from workspond.discovery.endpoint_list import EndpointList, read_endpoint_list
from workspond.json_fields import MalformedInputError, get, optional
from workspond.policy.settings import Settings
from workspond.settings_reader import read_settings


class InvalidConfigError(Exception):
    """A configuration that no node can be started with."""


class UnreadableConfigError(InvalidConfigError):
    """A configuration whose file can't be opened or read now; later it may be."""


@dataclass(slots=True)
class Config:
    """All that a node knows when it starts."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    cached_endpoints: EndpointList
    settings: Settings


def hex_digits(text: str) -> int:
    """A number written in hex digits and nothing else."""
    if not re.fullmatch("[0-9a-fA-F]+", text):
        raise MalformedInputError(f"'seed' must be hex digits, not {text!r:.60}")
    return int(text, 16)


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
        limits = optional(obj, "limits", dict, {})
        return Config(
            name=get(obj, "name", str),
            listen=parse_address(get(obj, "listen", str)),
            discovery=parse_address(get(obj, "discovery", str)),
            seed=hex_digits(get(obj, "seed", str)),
            max_descriptors=optional(limits, "sockets", int, 1024),
            cached_endpoints=read_endpoint_list(
                optional(obj, "known", dict, {"index": 0, "snapshot": True, "endpoints": []})
            ),
            settings=read_settings(get(obj, "settings", dict)),
        )
    except (MalformedInputError, ValueError) as problem:
        raise InvalidConfigError(f"{path}: {problem}") from None
