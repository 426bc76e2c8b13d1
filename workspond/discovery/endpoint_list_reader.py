"""Reads the endpoint lists that discovery writes and parses only those entries that have changed.

A complete list of some thousand servers comes again and again with little or nothing new in it. So its text
is cut into entries, which are compared as text with those of the list before; only entries whose text is new
are parsed. A list that is not of the usual form is parsed in full.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass

from workspond.discovery.endpoint_list import EndpointList, read_endpoint_list
from workspond.json_fields import Json, MalformedInputError
from workspond.policy.endpoint import EndpointState

ENDPOINTS_PATTERN = re.compile(r'"endpoints"\s*:\s*\[')
ENTRY_PATTERN = re.compile(r"\s*(\{[^{}]*\})\s*([,\]])")  # an entry, and the comma or bracket behind it


class InvalidEndpointListError(Exception):
    """A text that is not an endpoint list."""


@dataclass(frozen=True, slots=True)
class SplitList:
    """The text of a list, cut into entries."""

    envelope: Json  # the parsed list, with no entries
    entry_texts: list[str]  # not parsed


def split_list(text: str) -> SplitList | None:
    """Cut the text of a list into its entries without parsing them.

    Returns:
        The parts; None if the list is not of the usual form, or is not a list at all.
    """
    start = ENDPOINTS_PATTERN.search(text)
    if start is None:
        return None
    entry_texts: list[str] = []
    position = start.end()
    at_end = False
    while not at_end:
        match = ENTRY_PATTERN.match(text, position)
        if match is None:
            return None
        entry_texts.append(match[1])
        position = match.end()
        at_end = match[2] == "]"
    envelope = _parse_envelope(text[: start.end()] + text[position - 1 :])
    return None if envelope is None else SplitList(envelope, entry_texts)


def _parse_envelope(text: str) -> Json | None:
    """Parse a list without its entries; None if other entries than its own were cut out."""
    try:
        envelope = json.loads(text)
    except (ValueError, RecursionError):
        return None
    # If "endpoints" is not empty here, or not there, the entries belonged to an object inside.
    if not isinstance(envelope, dict) or envelope.get("endpoints") != []:
        return None
    return envelope


class EndpointListReader:
    """Reads the lists of one node, in the order in which they come."""

    def __init__(self) -> None:
        # The entries of the list as known, where their text is known too. The two maps are inverse.
        self._text_by_id: dict[int, str] = {}
        self._id_by_text: dict[str, int] = {}

    def read(self, body: bytes) -> EndpointList:
        """Read a list.

        Entries of a complete list that have not changed are named in `unchanged_ids` only. So the caller has
        to take every complete list that is read: the next one is compared with it.

        Raises:
            InvalidEndpointListError: If the text is not a list; lists to come are not affected.
        """
        try:
            endpoints = self._read(body)
        except (ValueError, RecursionError, MalformedInputError) as error:
            raise InvalidEndpointListError(str(error)) from error
        if not endpoints.complete:
            for endpoint in endpoints.endpoints:
                self._forget(endpoint.server_id)
        return endpoints

    def _read(self, body: bytes) -> EndpointList:
        try:
            parts = split_list(body.decode())
        except UnicodeDecodeError:
            parts = None
        if parts is not None and parts.envelope.get("snapshot") is True:
            endpoints = self._read_changed_entries(parts)
            if endpoints is not None:
                return endpoints
        return self._read_in_full(body)

    def _read_in_full(self, body: bytes) -> EndpointList:
        """Parse all of a list, of any form."""
        document = json.loads(body)
        if not isinstance(document, dict):
            raise MalformedInputError("not an object")
        endpoints = read_endpoint_list(document)
        if endpoints.complete:
            self._text_by_id.clear()
            self._id_by_text.clear()
        return endpoints

    def _read_changed_entries(self, parts: SplitList) -> EndpointList | None:
        """Parse those entries of a complete list whose text is new.

        Returns:
            The list; None if it names a server twice, so that the order of the entries counts.
        """
        unchanged_texts: dict[int, str] = {}
        new_texts: list[str] = []
        for text in parts.entry_texts:
            known_id = self._id_by_text.get(text)
            if known_id is None:
                new_texts.append(text)
            else:
                unchanged_texts[known_id] = text
        new_entries = [json.loads(text) for text in new_texts]
        endpoints = read_endpoint_list(parts.envelope | {"endpoints": new_entries})
        named_ids = unchanged_texts.keys() | {endpoint.server_id for endpoint in endpoints.endpoints}
        if len(named_ids) < len(parts.entry_texts):
            return None
        endpoints.unchanged_ids = unchanged_texts.keys()
        self._text_by_id = unchanged_texts | {
            endpoint.server_id: text
            for endpoint, text in zip(endpoints.endpoints, new_texts, strict=True)
            if endpoint.state is not EndpointState.REMOVED
        }
        self._id_by_text = {text: known_id for known_id, text in self._text_by_id.items()}
        return endpoints

    def _forget(self, server_id: int) -> None:
        """Have the server's entry in the next complete list parsed, as an update has changed it."""
        text = self._text_by_id.pop(server_id, None)
        if text is not None:
            del self._id_by_text[text]
