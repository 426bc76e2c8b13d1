"""Keeps the endpoint list up to date by calls to the discovery agent.

There are two kinds of call. A poll asks for the complete list and is answered at once. A watch names the
version of the list that the node holds; the agent answers it when something changes, or when the watch ends.

Only one call at a time is current. A newer call supersedes it when a reload names another agent, or when its
answer does not begin in time. The superseded call stays open beside the newer one, and its answer still
counts until the newer one is answered. Otherwise reloads in quick succession, or an agent that is slow to
answer, could keep updates from the node for ever.

When the current call fails, the listener is notified and decides when to make the next one.
"""

from __future__ import annotations

import asyncio
import math
from http import HTTPStatus
from typing import Protocol

from workspond.address import Address
from workspond.clock import now_ms
from workspond.discovery.agent_client import CONNECT_TIMEOUT_S, AgentClient
from workspond.discovery.endpoint_list import EndpointList
from workspond.discovery.endpoint_list_reader import EndpointListReader, InvalidEndpointListError
from workspond.discovery.superseded_calls import SupersededCalls

ENDPOINTS_PATH = "/api/targets"

# How long the agent may hold a watch open while nothing changes. An agent that has fallen silent is noticed
# only after this time: with 20 s all nodes used the list of their start through a whole release. To renew a
# watch does not count as a new call, so short watches cost discovery next to nothing.
WATCH_MS = 800
# How long after the end of a watch its answer may begin at the latest.
WATCH_GRACE_MS = 500
# How long the answer to a poll may take to begin. The agent answers polls at once. The list of a new agent
# counts as received 4 s after SIGHUP, so a poll that stays without an answer must leave time for another one.
POLL_TIMEOUT_MS = 1_000
# How many calls in a row may fail, each in the way that takes longest, before an update comes too late: it
# counts as received 6 s after discovery had it and could be reached, whatever became of the calls.
MAX_CONSECUTIVE_FAILURES = 3


def max_update_latency_ms(retry_wait_ms: float) -> float:
    """Return the longest time until an update arrives if `MAX_CONSECUTIVE_FAILURES` calls fail first, in ms.

    The timeout of a call includes the time to connect. The call that succeeds is answered as soon as it is
    connected. An answer that stops halfway fails no later than one that has not begun, counted from the
    moment when there was an update to send.

    Args:
        retry_wait_ms: The longest wait between a failed call and the next one, in ms.
    """
    call_ms = max(WATCH_MS + WATCH_GRACE_MS, POLL_TIMEOUT_MS)
    return MAX_CONSECUTIVE_FAILURES * (call_ms + retry_wait_ms) + CONNECT_TIMEOUT_S * 1000.0


class UnusableResponseError(Exception):
    """An answer of the agent that holds no endpoint list."""


class EndpointListener(Protocol):
    """Receives the endpoint list and its updates."""

    def endpoints_received(self, endpoints: EndpointList) -> None:
        """Take a complete list or the changes to the last one; they come in order."""

    def watch_failed(self, reason: str) -> None:
        """Handle a failed call; `EndpointWatcher.subscribe` makes the next one."""


class EndpointWatcher:
    """Watches the endpoint list and passes each update to a listener, in order."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, listener: EndpointListener) -> None:
        self._loop = loop
        self._listener = listener
        self._reader = EndpointListReader()
        self._client = AgentClient(loop, address, self)  # of the current call
        self._superseded = SupersededCalls(loop)
        self._last_response_at_ms = -math.inf  # the last answer that could be used
        self._closed = False

    def subscribe(self) -> None:
        """Make the next call, unless one is in flight."""
        if not self._client.is_busy and not self._closed:
            self._make_call()

    def change_address(self, address: Address) -> None:
        """Call the agent at this address from now on.

        The first call to another agent is for the complete list, since the versions of two agents need not
        agree. The call to the former agent is superseded.
        """
        if self._closed:
            return
        if address == self._client.address:
            self.subscribe()
            return
        self._supersede_current()
        reclaimed = self._superseded.reclaim(address)
        if reclaimed is not None:  # its call is still in flight
            self._client = reclaimed
            return
        self._client = AgentClient(self._loop, address, self)
        self._make_call()

    def close(self) -> None:
        """Close all connections; no more calls are made."""
        self._closed = True
        self._client.close()
        self._superseded.close_all()

    def response_received(self, client: AgentClient, status: int, body: bytes) -> None:
        """Take the answer to a call.

        The next call is made before the list is passed on: the agent takes a watch for renewed only if the
        next call comes within 200 ms.
        """
        try:
            endpoints = self._read_response(status, body)
        except UnusableResponseError as error:
            client.close()
            self.call_failed(client, str(error))
            return
        if client.address == self._client.address and _has_content(endpoints):
            self._make_current(client)
        if _lacks_base_list(client, endpoints):
            client.needs_complete_list = True
            self._continue_after(client)
            return
        self._record_response(client, endpoints)
        if client is self._client:
            self._superseded.close_all()
        self._continue_after(client)
        if client is not self._client and endpoints.complete:
            self._restart_from_complete_list()
        if _has_content(endpoints):
            self._listener.endpoints_received(endpoints)

    def call_failed(self, client: AgentClient, reason: str) -> None:
        """Handle a failed call; if it is the current one, the listener says when to make the next."""
        if client is self._client:
            self._listener.watch_failed(reason)
        else:
            self._superseded.close(client)

    def call_overdue(self, client: AgentClient) -> None:
        """Supersede a call whose answer has not begun in time; the listener says when to make the next."""
        if client is not self._client:
            return
        self._supersede_current()
        self._client = AgentClient(self._loop, client.address, self)
        self._client.last_index = client.last_index
        self._client.needs_complete_list = client.needs_complete_list
        self._listener.watch_failed("no answer in time")

    def _make_call(self) -> None:
        """Make a poll or a watch on the current client."""
        client = self._client
        if client.needs_complete_list:
            client.call(ENDPOINTS_PATH, POLL_TIMEOUT_MS / 1000.0)
        else:
            target = f"{ENDPOINTS_PATH}?index={client.last_index}&wait={WATCH_MS}"
            client.call(target, (WATCH_MS + WATCH_GRACE_MS) / 1000.0)

    def _read_response(self, status: int, body: bytes) -> EndpointList:
        """Read an answer.

        Raises:
            UnusableResponseError: If it is not an endpoint list.
        """
        if status != HTTPStatus.OK:
            raise UnusableResponseError(f"status {status}")
        try:
            return self._reader.read(body)
        except InvalidEndpointListError as error:
            raise UnusableResponseError(f"a list that can't be read: {error!s:.100}") from error

    def _record_response(self, client: AgentClient, endpoints: EndpointList) -> None:
        """Note the version that the client has, and when the answer came and the one before it."""
        client.last_index = endpoints.index
        client.needs_complete_list = False
        endpoints.previous_response_at_ms = self._last_response_at_ms
        self._last_response_at_ms = now_ms()

    def _continue_after(self, client: AgentClient) -> None:
        """Make the next call after the current one was answered, or close a superseded one."""
        if client is self._client:
            self._make_call()
        else:
            self._superseded.close(client)

    def _supersede_current(self) -> None:
        """Let the current call go on for a while, if there is one, beside the one that is made next."""
        if self._client.is_busy:
            self._superseded.add(self._client)
        else:
            self._client.close()

    def _make_current(self, client: AgentClient) -> None:
        """Let the answered client take the place of the one that superseded it.

        Nothing is lost with that one: the next call names the version that this one holds, so the agent sends
        all that is newer.
        """
        if client is not self._client:
            self._client.close()
            self._superseded.remove(client)
            self._client = client

    def _restart_from_complete_list(self) -> None:
        """Have the current call followed by a poll, and end the other watches.

        Another agent's list has just replaced the one that they would report changes to.
        """
        self._client.needs_complete_list = True
        self._superseded.close_watches()


def _has_content(endpoints: EndpointList) -> bool:
    """Whether the answer tells anything; a watch that ends without a change does not."""
    return endpoints.complete or bool(endpoints.endpoints)


def _lacks_base_list(client: AgentClient, endpoints: EndpointList) -> bool:
    """Whether these are changes to a list that the client does not hold, or holds in a later version."""
    return not endpoints.complete and (client.needs_complete_list or endpoints.index < client.last_index)
