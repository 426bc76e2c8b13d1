"""Divides the time of the event loop between connections that have more to process than one message.

A connection processes one message at once. If it has more, it waits for its turn behind the other connections
that wait, so that sockets and timers are handled after at most `MAX_TURNS_S` of such work.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

MAX_TURNS_S = 0.002  # limits each iteration of the event loop; the last turn may pass it


class WaitingConnection(Protocol):
    """A connection with more data or messages to process."""

    def take_turn(self) -> None:
        """Process the next message; schedule another turn if there are more."""


class TurnScheduler:
    """Gives connections their turns in the order in which they asked for them."""

    def __init__(self, is_suspended: Callable[[], bool]) -> None:
        """`is_suspended` returns whether the remaining turns have to wait for the next iteration."""
        self._is_suspended = is_suspended
        self._waiting: deque[WaitingConnection] = deque()
        self._is_scheduled = False

    def schedule(self, connection: WaitingConnection) -> None:
        """Call `take_turn` of a connection once, in a later iteration or behind the others of this one."""
        self._waiting.append(connection)
        self._ensure_scheduled()

    def _ensure_scheduled(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Give turns until the time of this iteration is over."""
        end_at_s = time.monotonic() + MAX_TURNS_S
        try:
            while self._waiting and not self._is_suspended():
                self._waiting.popleft().take_turn()
                if time.monotonic() >= end_at_s:
                    break
        finally:
            self._is_scheduled = False
            self._ensure_scheduled()
