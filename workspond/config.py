"""The node's configuration, read from the JSON file that NODE_CONFIG names."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass

from workspond.address import Address, parse_address
from workspond.discovery.endpoint_list import EndpointList, read_endpoint_list
from workspond.json_fields import Json, MalformedInputError, optional_field, required_field
from workspond.policy.settings import Settings
from workspond.settings_reader import read_settings

# Used if the file sets no limit
DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_MAX_MEMORY_MB = 192
HEX_DIGITS = re.compile("[0-9a-fA-F]+")


class InvalidConfigError(Exception):
    """The configuration can't be used."""


class UnreadableConfigError(InvalidConfigError):
    """The configuration file can't be opened or read now; a later attempt may succeed."""


@dataclass(slots=True)
class Config:
    """The configuration of a node.

    Attributes:
        name: The node's name, for its log.
        listen: The address at which the node accepts clients.
        discovery: The address of the discovery agent.
        seed: The seed of the node's random numbers.
        max_descriptors: The maximum number of file descriptors that the node may have open.
        max_memory_mb: The memory over which the platform kills the node.
        cached_endpoints: The last endpoint list that the node had; it may be out of date.
        settings: The settings of the load-balancing policy.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    max_memory_mb: int
    cached_endpoints: EndpointList
    settings: Settings


def read_config(path: str) -> Config:
    """Read the configuration file.

    Raises:
        UnreadableConfigError: If the file can't be opened or read now.
        InvalidConfigError: If it is not a valid configuration; the message is a single line.
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
        raise InvalidConfigError(f"{path}: the configuration must be a JSON object")
    return value


def _read_fields(fields: Json) -> Config:
    limits = optional_field(fields, "limits", dict, {})
    return Config(
        name=required_field(fields, "name", str),
        listen=parse_address(required_field(fields, "listen", str)),
        discovery=parse_address(required_field(fields, "discovery", str)),
        seed=_read_seed(fields),
        max_descriptors=optional_field(limits, "sockets", int, DEFAULT_MAX_DESCRIPTORS),
        max_memory_mb=optional_field(limits, "memory_mb", int, DEFAULT_MAX_MEMORY_MB),
        cached_endpoints=_read_cached_endpoints(fields),
        settings=read_settings(required_field(fields, "settings", dict)),
    )


def _read_seed(fields: Json) -> int:
    text = required_field(fields, "seed", str)
    if not HEX_DIGITS.fullmatch(text):
        raise MalformedInputError(f"'seed' must be hex digits, not {text!r:.60}")
    return int(text, 16)


def _read_cached_endpoints(fields: Json) -> EndpointList:
    empty_list: Json = {"index": 0, "snapshot": True, "endpoints": []}
    return read_endpoint_list(optional_field(fields, "known", dict, empty_list))
