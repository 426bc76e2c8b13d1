"""Reads the lists that discovery writes; of a whole list only what is new is worked through.

A whole list of some thousand servers comes again and again with little or nothing new. Its entries are
compared as text, and only those whose text is new are parsed. A list of another form is parsed as a whole.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass

from workspond.discovery.endpoint_list import EndpointList, read_endpoint_list
from workspond.json_fields import Json, MalformedInputError
from workspond.policy.endpoint import EndpointState

ENDPOINTS = re.compile(r'"endpoints"\s*:\s*\[')
ENTRY = re.compile(r"\s*(\{[^{}]*\})\s*([,\]])")  # with what follows it


@dataclass(slots=True)
class SplitList:
    """A list's text in parts."""

    around: Json  # the object, with no entries
    entries: list[str]


def split(text: str) -> SplitList | None:
    """Take a list's text apart; None where it is not of the usual form, or no list at all."""
    start = ENDPOINTS.search(text)
    if start is None:
        return None
    entries, position = [], start.end()
    while True:
        entry = ENTRY.match(text, position)
        if entry is None:
            return None
        entries.append(entry[1])
        position = entry.end()
        if entry[2] == "]":
            break
    try:
        around = json.loads(text[: start.end()] + text[position - 1 :])
    except (ValueError, RecursionError):
        return None
    # Else these were the entries of something inside.
    return SplitList(around, entries) if isinstance(around, dict) and around.get("endpoints") == [] else None


class EndpointListReader:
    """Reads one node's lists in the order in which they come."""

    def __init__(self) -> None:
        self._servers: dict[str, int] = {}  # by their entries' text, as last told
        self._texts: dict[int, str] = {}  # the other way round

    def read(self, body: bytes) -> EndpointList:
        """A list; raises `ValueError`, `RecursionError` or `Malformed` if it can't be read.

        Of a whole list the entries that are as last told are named in `unchanged` only. Whoever reads a whole
        list has to take it.
        """
        try:
            parts = split(body.decode())
        except UnicodeDecodeError:
            parts = None
        whole = parts is not None and parts.around.get("snapshot") is True
        listing = self._read_whole(parts) if parts is not None and whole else None
        if listing is None:
            listing = self._read_all(body)
        if not listing.complete:
            for entry in listing.endpoints:
                self._forget(entry.server_id)
        return listing

    def _read_all(self, body: bytes) -> EndpointList:
        obj = json.loads(body)
        if not isinstance(obj, dict):
            raise MalformedInputError("not an object")
        listing = read_endpoint_list(obj)
        if listing.complete:
            self._servers.clear()
            self._texts.clear()
        return listing

    def _read_whole(self, parts: SplitList) -> EndpointList | None:
        """A whole list by its parts; None if it names a server twice, so that the order counts."""
        unchanged, new = dict[int, str](), list[str]()
        for text in parts.entries:
            server = self._servers.get(text)
            if server is None:
                new.append(text)
            else:
                unchanged[server] = text
        listing = read_endpoint_list(parts.around | {"endpoints": [json.loads(text) for text in new]})
        named = unchanged.keys() | {entry.server_id for entry in listing.endpoints}
        if len(named) < len(parts.entries):
            return None
        listing.unchanged_ids = unchanged.keys()
        self._texts = unchanged | {
            entry.server_id: text
            for entry, text in zip(listing.endpoints, new, strict=True)
            if entry.state is not EndpointState.REMOVED
        }
        self._servers = {text: server for server, text in self._texts.items()}
        return listing

    def _forget(self, server: int) -> None:
        text = self._texts.pop(server, None)
        if text is not None:
            del self._servers[text]
