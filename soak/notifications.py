"""Records which server states each node has been notified of, for the rules that depend on them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Notification:
    """A list entry that a node has been sent, or that counts as sent.

    Attributes:
        node: The node's number.
        server: The server's name.
        is_active: Whether the server may get requests according to the entry.
        server_started_at_s: The start time in the entry; None for servers running since the soak's start.
        counts_from_s: The time from which the node must act on the entry.
    """

    node: int
    server: str
    is_active: bool
    server_started_at_s: float | None
    counts_from_s: float


class NotificationLog:
    """The last state of each server, as each node has been notified of it."""

    def __init__(self) -> None:
        self._inactive_from_s: dict[tuple[int, str], float] = {}  # by node and server
        self._starts_s: dict[tuple[int, str], float] = {}  # by node and server

    def add(self, notification: Notification) -> None:
        """Record a notification; a server is inactive from the first notification that says so."""
        key = notification.node, notification.server
        if notification.is_active:
            self._inactive_from_s.pop(key, None)
        else:
            earlier_s = self._inactive_from_s.get(key, notification.counts_from_s)
            self._inactive_from_s[key] = min(notification.counts_from_s, earlier_s)
        if notification.server_started_at_s is not None:
            self._starts_s[key] = notification.server_started_at_s

    def forget_node(self, node: int) -> None:
        """Discard the notifications of a node: its new process has received none of them."""
        for times_s in (self._inactive_from_s, self._starts_s):
            for key in [key for key in times_s if key[0] == node]:
                del times_s[key]

    def inactive_from_s(self, node: int, server: str) -> float | None:
        """Return when a node must know that a server is draining or removed; None if the server is active."""
        return self._inactive_from_s.get((node, server))

    def knows_start(self, node: int, server: str, started_at_s: float) -> bool:
        """Return whether a node has been notified of this start of a server."""
        return self._starts_s.get((node, server)) == started_at_s
