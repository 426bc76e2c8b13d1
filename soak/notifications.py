"""What discovery has notified each node of, as far as the rules depend on it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Notification:
    """An entry that a node has been sent, or that counts as sent.

    Attributes:
        node: The node's number.
        server: The server's name.
        is_active: Whether the entry says that the server takes requests.
        server_started_at_s: The start that the entry states; None for servers up from the beginning.
        counts_from_s: From when on the node must act by it.
    """

    node: int
    server: str
    is_active: bool
    server_started_at_s: float | None
    counts_from_s: float


class NotificationLog:
    """The last state of each server that each node has been notified of."""

    def __init__(self) -> None:
        self._inactive_from_s: dict[tuple[int, str], float] = {}  # by node and server
        self._starts_s: dict[tuple[int, str], float] = {}

    def add(self, notification: Notification) -> None:
        """Record a notification; of several that a server is inactive the first counts."""
        key = notification.node, notification.server
        if notification.is_active:
            self._inactive_from_s.pop(key, None)
        else:
            earlier_s = self._inactive_from_s.get(key, notification.counts_from_s)
            self._inactive_from_s[key] = min(notification.counts_from_s, earlier_s)
        if notification.server_started_at_s is not None:
            self._starts_s[key] = notification.server_started_at_s

    def forget_node(self, node: int) -> None:
        """A new process of a node knows only what it is notified of from now on."""
        for times_s in (self._inactive_from_s, self._starts_s):
            for key in [key for key in times_s if key[0] == node]:
                del times_s[key]

    def inactive_from_s(self, node: int, server: str) -> float | None:
        """From when on a node must know that a server is draining or removed; None if it is neither."""
        return self._inactive_from_s.get((node, server))

    def knows_start(self, node: int, server: str, started_at_s: float) -> bool:
        """Whether a node has been notified of this start of a server."""
        return self._starts_s.get((node, server)) == started_at_s
