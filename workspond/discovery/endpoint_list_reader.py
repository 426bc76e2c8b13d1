"""Reads endpoint lists from discovery and parses only the entries that have changed.

Discovery sends complete lists of several thousand servers repeatedly, with few or no changes. So the text of
a list is split into entries, which are compared as text with those of the previous list. Only entries with
new text are parsed. A list that is not in the usual form is parsed in full.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass

from workspond.discovery.endpoint_list import EndpointList, read_endpoint_list
from workspond.json_fields import Json, MalformedInputError
from workspond.policy.endpoint import EndpointState

ENDPOINTS_PATTERN = re.compile(r'"endpoints"\s*:\s*\[')
ENTRY_PATTERN = re.compile(r"\s*(\{[^{}]*\})\s*([,\]])")  # an entry and the comma or bracket that follows


class InvalidEndpointListError(Exception):
    """The text is not an endpoint list."""


@dataclass(frozen=True, slots=True)
class SplitList:
    """A list whose text has been split into entries.

    Attributes:
        envelope: The parsed list without its entries.
        entry_texts: The unparsed text of each entry.
    """

    envelope: Json
    entry_texts: list[str]


def split_list(text: str) -> SplitList | None:
    """Split the text of a list into its entries without parsing them.

    Returns:
        The parts; None if the text is not a list in the usual form: at least one entry, and no braces inside
        an entry.
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
    """Parse a list whose entries have been cut out; return None if they were not those of the list itself."""
    try:
        envelope = json.loads(text)
    except (ValueError, RecursionError):
        return None
    # If "endpoints" is missing or not empty here, the entries that were cut out belong to a nested object.
    if not isinstance(envelope, dict) or envelope.get("endpoints") != []:
        return None
    return envelope


class EndpointListReader:
    """Reads all lists that a node receives, in order."""

    def __init__(self) -> None:
        # The texts of the current entries, without those changed by an update or read from a list that was
        # parsed in full. Each map is the inverse of the other.
        self._text_by_id: dict[int, str] = {}
        self._id_by_text: dict[str, int] = {}

    def read(self, body: bytes) -> EndpointList:
        """Read a list.

        Unchanged entries of a complete list are included only in `unchanged_ids`. So the caller must apply
        every complete list, because the next one is compared with it.

        Raises:
            InvalidEndpointListError: If the text is not a list; later lists are not affected.
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
        """Parse a list of any form in full."""
        document = json.loads(body)
        if not isinstance(document, dict):
            raise MalformedInputError("the endpoint list must be an object")
        endpoints = read_endpoint_list(document)
        if endpoints.complete:
            self._text_by_id.clear()
            self._id_by_text.clear()
        return endpoints

    def _read_changed_entries(self, parts: SplitList) -> EndpointList | None:
        """Parse the entries of a complete list whose text is new.

        Returns:
            The list; None if it contains a server twice, so that the order of its entries matters.
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
        listed_ids = unchanged_texts.keys() | {endpoint.server_id for endpoint in endpoints.endpoints}
        if len(listed_ids) < len(parts.entry_texts):
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
        """Forget the text of a server's entry after an update, so that its next entry is parsed."""
        text = self._text_by_id.pop(server_id, None)
        if text is not None:
            del self._id_by_text[text]
