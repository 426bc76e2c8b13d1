"""How the node divides the file descriptors that it may hold."""

from __future__ import annotations

import resource

# Of the limit: for the listener, discovery, the event loop, the log, and sockets that are half closed.
RESERVED_DESCRIPTORS = 24
# Of the limit: the rest is for attempts (one for each client of about a third of it) and idle connections.
CLIENT_CONNECTION_FRACTION = 0.55


def usable_descriptors(configured: int) -> int:
    """Return how many descriptors the process may hold, by its configuration and the system's limit."""
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if system_limit == resource.RLIM_INFINITY:
        return configured
    return min(configured, system_limit)


def max_client_connections(descriptors: int) -> int:
    """Return how many connections of clients may be open, of so many descriptors."""
    return int(CLIENT_CONNECTION_FRACTION * descriptors)


def available_descriptors(descriptors: int, client_connections: int, server_connections: int) -> int:
    """Return how many descriptors are left for new connections to servers; may be negative."""
    return descriptors - RESERVED_DESCRIPTORS - client_connections - server_connections
