"""Keeps the endpoint list up to date by calls to the discovery agent.

There are two kinds of calls. A poll requests the complete list and is answered at once. A watch states the
version of the list that the node has; the agent answers when the list changes or when the watch times out.

Only one call is current at a time. It is superseded by a newer call when a reload names another agent, or
when its response does not begin in time. The superseded call stays open, and its response is still used if it
arrives before the newer call is answered. Otherwise, reloads in quick succession or an agent that answers
slowly could keep the node from ever receiving updates.

When the current call fails, the listener is notified and decides when to make the next call.
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

# How long the agent may hold a watch open while nothing changes. An agent that has stopped responding is
# detected only after this time: with 20 s, all nodes kept using the list from their start during a whole
# release. Renewing a watch does not count as a new call, so short watches cost discovery almost nothing.
WATCH_MS = 800
# How long after the end of a watch its response may still begin.
WATCH_GRACE_MS = 500
# How long the response to a poll may take to begin. The agent answers polls at once. The node must have the
# list of a new agent within 4 s after SIGHUP, so a poll that is not answered must leave time for another one.
POLL_TIMEOUT_MS = 1_000
# How many calls in a row may fail, each in the slowest way, without making an update late. An update must be
# received within 6 s after it is available from a reachable agent, even if calls fail.
MAX_CONSECUTIVE_FAILURES = 3


def max_update_latency_ms(retry_wait_ms: float) -> float:
    """Return the longest time until an update arrives if `MAX_CONSECUTIVE_FAILURES` calls fail first, in ms.

    The timeout of a call includes the time to connect. The call that succeeds is answered as soon as it is
    connected. A response that stalls halfway fails no later than one that never begins, counted from the time
    when the update became available.

    Args:
        retry_wait_ms: The longest wait between a failed call and the next one, in ms.
    """
    call_ms = max(WATCH_MS + WATCH_GRACE_MS, POLL_TIMEOUT_MS)
    return MAX_CONSECUTIVE_FAILURES * (call_ms + retry_wait_ms) + CONNECT_TIMEOUT_S * 1000.0


class UnusableResponseError(Exception):
    """The agent's response contains no endpoint list."""


class EndpointListener(Protocol):
    """Receives the endpoint list and its updates."""

    def endpoints_received(self, endpoints: EndpointList) -> None:
        """Apply a complete list or the changes to the previous one; they are passed in order."""

    def discovery_call_failed(self, reason: str) -> None:
        """Handle a failed call, and later call `EndpointWatcher.subscribe` to make the next one."""


class EndpointWatcher:
    """Watches the endpoint list and passes each update to a listener, in order."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, listener: EndpointListener) -> None:
        self._loop = loop
        self._listener = listener
        self._reader = EndpointListReader()
        self._client = AgentClient(loop, address, self)  # makes the current call
        self._superseded = SupersededCalls(loop)
        self._last_response_at_ms = -math.inf  # time of the last usable response
        self._closed = False

    @property
    def awaits_late_response(self) -> bool:
        """Whether a call that was superseded, because it is late, may still be answered."""
        return not self._superseded.is_empty

    def subscribe(self) -> None:
        """Make the next call, unless one is in flight."""
        if not self._client.is_busy and not self._closed:
            self._make_call()

    def change_address(self, address: Address) -> None:
        """Call the agent at this address from now on.

        The first call to another agent requests the complete list, because the agents may number versions
        differently. The call to the previous agent is superseded.
        """
        if self._closed:
            return
        if address == self._client.address:
            self.subscribe()
            return
        self._supersede_current()
        reclaimed = self._superseded.reclaim(address)
        if reclaimed is not None:  # the call of this client is still in flight
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
        """Handle the response to a call.

        The next call is made before the list is passed on, because the agent counts a watch as renewed only
        if the next call arrives within 200 ms.
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
        """Handle a failed call.

        If it is the current one, the listener decides when to make the next; a superseded one is closed.
        """
        if client is self._client:
            self._listener.discovery_call_failed(reason)
        else:
            self._superseded.close(client)

    def call_overdue(self, client: AgentClient) -> None:
        """Supersede a call whose response has not begun in time, and notify the listener."""
        if client is not self._client:
            return
        self._supersede_current()
        self._client = AgentClient(self._loop, client.address, self)
        self._client.last_index = client.last_index
        self._client.needs_complete_list = client.needs_complete_list
        self._listener.discovery_call_failed("no answer in time")

    def _make_call(self) -> None:
        """Make a poll or a watch on the current client."""
        client = self._client
        if client.needs_complete_list:
            client.call(ENDPOINTS_PATH, POLL_TIMEOUT_MS / 1000.0)
        else:
            target = f"{ENDPOINTS_PATH}?index={client.last_index}&wait={WATCH_MS}"
            client.call(target, (WATCH_MS + WATCH_GRACE_MS) / 1000.0)

    def _read_response(self, status: int, body: bytes) -> EndpointList:
        """Read the endpoint list of a response.

        Raises:
            UnusableResponseError: If the response contains no endpoint list.
        """
        if status != HTTPStatus.OK:
            raise UnusableResponseError(f"status {status}")
        try:
            return self._reader.read(body)
        except InvalidEndpointListError as error:
            raise UnusableResponseError(f"a list that can't be read: {error!s:.100}") from error

    def _record_response(self, client: AgentClient, endpoints: EndpointList) -> None:
        """Record the version of a list, and when it and the previous response were received."""
        client.last_index = endpoints.index
        client.needs_complete_list = False
        endpoints.previous_response_at_ms = self._last_response_at_ms
        self._last_response_at_ms = now_ms()

    def _continue_after(self, client: AgentClient) -> None:
        """Make the next call if the current call was answered; close the client of a superseded call."""
        if client is self._client:
            self._make_call()
        else:
            self._superseded.close(client)

    def _supersede_current(self) -> None:
        """Keep the current call open, if there is one, while a newer one is made."""
        if self._client.is_busy:
            self._superseded.add(self._client)
        else:
            self._client.close()

    def _make_current(self, client: AgentClient) -> None:
        """Replace the current client by a superseded one whose call has been answered.

        No update is lost: the next call states the version of the answered call, so the agent sends all newer
        changes.
        """
        if client is not self._client:
            self._client.close()
            self._superseded.remove(client)
            self._client = client

    def _restart_from_complete_list(self) -> None:
        """Poll after the current call, and close the superseded watches.

        A complete list of another agent has just replaced the list whose changes these watches would report.
        """
        self._client.needs_complete_list = True
        self._superseded.close_watches()


def _has_content(endpoints: EndpointList) -> bool:
    """Return whether a response contains anything new; a watch that ends without a change does not."""
    return endpoints.complete or bool(endpoints.endpoints)


def _lacks_base_list(client: AgentClient, endpoints: EndpointList) -> bool:
    """Return whether a response has changes to a list that the client lacks or has in a later version."""
    return not endpoints.complete and (client.needs_complete_list or endpoints.index < client.last_index)
