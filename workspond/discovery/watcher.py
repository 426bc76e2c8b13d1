"""Discovery: the list of servers, kept up to date by a watch.

One call is out at a time, beside earlier ones that have been overtaken: a reload names another agent, or an
answer is late. What these still say is taken until the call that overtook them is answered, so that neither
reloads in quick succession nor a slow agent keep news away. When a call fails the node is told, and it says
when to ask again.
"""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from workspond.address import Address
from workspond.clock import now_ms
from workspond.discovery.agent_client import CONNECT_TIMEOUT_S, AgentClient
from workspond.discovery.endpoint_list import EndpointList
from workspond.discovery.endpoint_list_reader import EndpointListReader
from workspond.json_fields import MalformedInputError

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
# Calls that a reload or their own silence has overtaken: so many may still be answered, for so long.
MOST_EARLIER, EARLIER_S = 4, 5.0


def longest_news_ms(pause_ms: float) -> float:
    """How long news may take to come if `FAILURES_BORNE` calls fail before the one that brings it, in ms.

    `pause_ms` is the longest wait between a failure and the next call. A call's limit holds its dial too;
    the last one is answered as soon as it is up. An answer that stops coming fails no later than one that
    has not begun, counted from when there was something to tell.
    """
    call_ms = max(WATCH_MS + GRACE_MS, CALL_MS)
    return FAILURES_BORNE * (call_ms + pause_ms) + CONNECT_TIMEOUT_S * 1000.0


class EndpointListener(Protocol):
    """Whoever wants the endpoint list."""

    def endpoints_received(self, endpoints: EndpointList) -> None:
        """Take a complete list, or the changes to the last one; they come in order."""

    def watch_failed(self, reason: str) -> None:
        """A call has failed; `EndpointWatcher.subscribe` makes the next one."""


class EndpointWatcher:
    """Keeps the list up to date; its listener gets each part of it in order, and hears of failed calls."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, listener: EndpointListener) -> None:
        self._loop = loop
        self._listener = listener
        self._reader = EndpointListReader()
        self._link = AgentClient(loop, address, self)
        self._earlier: list[AgentClient] = []  # overtaken, the oldest first
        self._heard_ms = -math.inf  # when the last good answer came
        self._closed = False

    def subscribe(self) -> None:
        """Watch from the list as held; nothing if a watch is on."""
        if not self._link.is_busy and not self._closed:
            self._ask()

    def change_address(self, address: Address) -> None:
        """Ask at this address from now on; where it is another one, for the whole list first.

        Versions there need not be those of the old address, whose call counts as overtaken.
        """
        if self._closed or (address == self._link.address and self._link.is_busy):
            return
        if address != self._link.address:
            self._overtake()
            returned = [link for link in self._earlier if link.address == address and not link.is_overdue]
            if returned:  # its call goes on
                self._earlier.remove(returned[0])
                self._link = returned[0]
                return
            self._link = AgentClient(self._loop, address, self)
        self._ask()

    def close(self) -> None:
        """Stop for good."""
        self._closed = True
        self._link.close()
        self._end_earlier()

    def _overtake(self) -> None:
        """Let the call that is out go on beside the next one, for a while."""
        link = self._link
        if not link.is_busy:
            return link.close()
        if len(self._earlier) >= MOST_EARLIER:  # the newest goes: the oldest is the next to be answered
            self._earlier.pop().close()
        self._earlier.append(link)
        self._loop.call_later(EARLIER_S, self._forget, link)

    def _forget(self, link: AgentClient) -> None:
        if link in self._earlier:
            self._earlier.remove(link)
            link.close()

    def _end_earlier(self) -> None:
        for link in self._earlier:
            link.close()
        self._earlier.clear()

    def _ask(self) -> None:
        link = self._link
        query = "" if link.needs_complete_list else f"?index={link.last_index}&wait={WATCH_MS}"
        limit_ms = CALL_MS if link.needs_complete_list else WATCH_MS + GRACE_MS
        link.call(f"/api/targets{query}", limit_ms / 1000.0)

    def call_failed(self, link: AgentClient, why: str) -> None:
        """A call has failed: the node says when to make another."""
        if link is self._link:
            self._listener.watch_failed(why)
        else:
            self._forget(link)

    def response_received(self, link: AgentClient, status: int, body: bytes) -> None:
        """Take an answer, and ask for what comes next before it is worked through."""
        if status != 200:
            return self._unusable(link, f"status {status}")
        try:
            listing = self._reader.read(body)
        except (ValueError, RecursionError, MalformedInputError) as problem:
            return self._unusable(link, f"a list that can't be read: {problem!s:.100}")
        if link.address == self._link.address and (listing.complete or listing.endpoints):
            self._restore(link)  # what the other would have told comes by version
        current = link is self._link
        if not listing.complete and (link.needs_complete_list or listing.index < link.last_index):
            link.needs_complete_list = True  # changes to a list that we don't hold
            return self._ask() if current else self._forget(link)
        link.last_index, link.needs_complete_list = listing.index, False
        listing.previous_response_at_ms, self._heard_ms = self._heard_ms, now_ms()
        if current:
            self._end_earlier()
            self._ask()  # a watch goes on only if the next call comes within 200 ms
        else:
            self._forget(link)
            if (
                listing.complete
            ):  # the changes that other watches would tell are to the list that this replaces
                self._link.needs_complete_list = True
                self._end_watches()
        if listing.complete or listing.endpoints:
            self._listener.endpoints_received(listing)

    def _restore(self, link: AgentClient) -> None:
        """Go on with a link whose answer has come, late or not, in place of the one that overtook it."""
        if link is not self._link:
            self._link.close()
            self._earlier.remove(link)
            self._link = link

    def call_overdue(self, link: AgentClient) -> None:
        """A call's time is over: it goes on beside the next one, which the node says when to make."""
        if link is self._link:
            self._overtake()
            self._link = AgentClient(self._loop, link.address, self)
            self._link.last_index, self._link.needs_complete_list = link.last_index, link.needs_complete_list
            self._listener.watch_failed("no answer in time")

    def _end_watches(self) -> None:
        for link in [link for link in self._earlier if not link.needs_complete_list]:
            self._forget(link)

    def _unusable(self, link: AgentClient, why: str) -> None:
        link.close()
        self.call_failed(link, why)
