"""The node's configuration: the JSON file that NODE_CONFIG names, as typed values."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass

from workspond.address import Address, parse_address
from workspond.discovery.endpoint_list import EndpointList, read_endpoint_list
from workspond.json_fields import Json, MalformedInputError, get, optional
from workspond.policy.settings import Settings
from workspond.settings_reader import read_settings

DEFAULT_MAX_DESCRIPTORS = 1024  # where the file sets no limit
HEX_DIGITS = re.compile("[0-9a-fA-F]+")


class InvalidConfigError(Exception):
    """A configuration that no node can be started with."""


class UnreadableConfigError(InvalidConfigError):
    """A configuration whose file can't be opened or read now; later it may be."""


@dataclass(slots=True)
class Config:
    """The configuration that a node starts with.

    Attributes:
        name: The node's name, for its log.
        listen: Where the node accepts clients.
        discovery: Where the discovery agent is called.
        seed: The seed of the node's random numbers.
        max_descriptors: How many file descriptors the node may hold.
        cached_endpoints: The endpoint list as the node last had it, perhaps long ago.
        settings: The settings of the load-balancing policy.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    cached_endpoints: EndpointList
    settings: Settings


def read_config(path: str) -> Config:
    """Read the configuration file.

    Raises:
        UnreadableConfigError: If the file can't be opened or read now.
        InvalidConfigError: If its contents are no configuration; the text is one line that says why.
    """
    try:
        return _read_fields(_load_object(path))
    except (MalformedInputError, ValueError) as error:
        raise InvalidConfigError(f"{path}: {error}") from None


def _load_object(path: str) -> Json:
    try:
        with open(path, encoding="utf-8") as file:
            value = json.load(file)
    except OSError as error:
        raise UnreadableConfigError(f"can't read the configuration: {error}") from None
    except (ValueError, RecursionError) as error:
        raise InvalidConfigError(f"{path}: not JSON: {error!s:.100}") from None
    if not isinstance(value, dict):
        raise InvalidConfigError(f"{path}: must be an object")
    return value


def _read_fields(fields: Json) -> Config:
    limits = optional(fields, "limits", dict, {})
    return Config(
        name=get(fields, "name", str),
        listen=parse_address(get(fields, "listen", str)),
        discovery=parse_address(get(fields, "discovery", str)),
        seed=_read_seed(fields),
        max_descriptors=optional(limits, "sockets", int, DEFAULT_MAX_DESCRIPTORS),
        cached_endpoints=_read_cached_endpoints(fields),
        settings=read_settings(get(fields, "settings", dict)),
    )


def _read_seed(fields: Json) -> int:
    text = get(fields, "seed", str)
    if not HEX_DIGITS.fullmatch(text):
        raise MalformedInputError(f"'seed' must be hex digits, not {text!r:.60}")
    return int(text, 16)


def _read_cached_endpoints(fields: Json) -> EndpointList:
    empty_list: Json = {"index": 0, "snapshot": True, "endpoints": []}
    return read_endpoint_list(optional(fields, "known", dict, empty_list))
