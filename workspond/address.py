"""Addresses of the form host:port."""

from __future__ import annotations

import re

from workspond.json_fields import MalformedInputError

Address = tuple[str, int]

# Only hosts that the resolver accepts match. For other texts the resolver raises exceptions that are not
# OSError, and callers handle only OSError.
HOST_PATTERN = re.compile(r"\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*\.?")
PORT_PATTERN = re.compile("[0-9]{1,5}")
MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """Split an address into its host, without the brackets of an IPv6 address, and its port.

    Raises:
        MalformedInputError: If the text is not of the form host:port.
    """
    host, _, port = text.rpartition(":")
    if not HOST_PATTERN.fullmatch(host) or not PORT_PATTERN.fullmatch(port) or int(port) > MAX_PORT:
        raise MalformedInputError(f"{text!r:.60} is not an address of the form host:port")
    return host.strip("[]"), int(port)


def format_address(address: Address) -> str:
    """Format an address as host:port for messages; an IPv6 address gets no brackets."""
    host, port = address
    return f"{host}:{port}"
