"""Discovery: the list of servers, kept up to date by a watch.

One call is out at a time. When a call fails the node is told, and it says when to ask again.
"""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import Callable

from nickelbridge.settings import Malformed
from orchidferry.agent_link import CONNECT_S, AgentLink
from orchidferry.config import Address, Listing, now_ms, read_listing

# How long discovery may keep a watch open, and what it gets beyond that. Its silence shows only then. In
# incident r32b5e5, at 20 s, all nodes sent through a whole release by the list they had started with. A watch
# that goes on is no new call, so short ones cost discovery next to nothing.
WATCH_MS = 800
GRACE_MS = 500
# For a call that need not wait for news: the agent answers such at once. What it says counts as told 4 s
# after SIGHUP, so a call that stays silent must leave time for another.
CALL_MS = 1_000
# Whatever becomes of calls, news counts as told 6 s after discovery had it and could be reached. So many in a
# row may fail then, each in the way that takes longest.
FAILURES_BORNE = 3


def longest_news_ms(pause_ms: float) -> float:
    """How long news may take to come if `FAILURES_BORNE` calls fail before the one that brings it, in ms.

    `pause_ms` is the longest wait between a failure and the next call. A call's limit holds its dial too;
    the last one is answered as soon as it is up. An answer that stops coming fails no later than one that
    has not begun, counted from when there was something to tell.
    """
    call_ms = max(WATCH_MS + GRACE_MS, CALL_MS)
    return FAILURES_BORNE * (call_ms + pause_ms) + CONNECT_S * 1000.0


class Discovery:
    """Keeps the list; `news` gets each part of it in order, or None when a call has failed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        news: Callable[[Listing | None, str], None],
    ) -> None:
        self._loop, self._news = loop, news
        self._link = AgentLink(loop, address, self)
        self._index = 0
        self._heard_ms = -math.inf  # when the last good answer came
        # The next call asks for the whole list. The first does: versions need not be those that an earlier
        # process heard, and unlike a watch it is answered at once also where nothing has changed.
        self._whole = True
        self._closed = False

    def subscribe(self) -> None:
        """Watch from the list as held; nothing if a watch is on."""
        if not self._link.busy and not self._closed:
            self._ask()

    def move(self, address: Address) -> None:
        """Ask at another address from now on, for the whole list first.

        Versions there need not be those of the old address, and what the old one had still to say is
        never heard: its call ends here.
        """
        if not self._closed:
            self._link.close()
            self._link, self._whole = AgentLink(self._loop, address, self), True
            self._ask()

    def close(self) -> None:
        """Stop for good."""
        self._closed = True
        self._link.close()

    def _ask(self) -> None:
        query = "" if self._whole else f"?index={self._index}&wait={WATCH_MS}"
        limit_ms = CALL_MS if self._whole else WATCH_MS + GRACE_MS
        self._link.call(f"/api/targets{query}", limit_ms / 1000.0)

    def failed(self, link: AgentLink, why: str) -> None:
        """A call has failed: the node says when to make another."""
        self._news(None, why)

    def answered(self, link: AgentLink, status: int, body: bytes) -> None:
        """Take an answer, and ask for what comes next before it is worked through."""
        if status != 200:
            return self._unusable(link, f"status {status}")
        try:
            obj = json.loads(body)
            if not isinstance(obj, dict):
                raise Malformed("not an object")
            listing = read_listing(obj)
        except (ValueError, RecursionError, Malformed) as problem:
            return self._unusable(link, f"a list that can't be read: {problem!s:.100}")
        if not listing.whole and (self._whole or listing.index < self._index):
            self._whole = True  # changes to a list that we don't hold
            return self._ask()
        self._index, self._whole = listing.index, False
        listing.previous_ms, self._heard_ms = self._heard_ms, now_ms()
        # A watch goes on only if the next call comes within 200 ms.
        self._ask()
        if listing.whole or listing.entries:
            self._news(listing, "")

    def _unusable(self, link: AgentLink, why: str) -> None:
        link.close()
        self.failed(link, why)
