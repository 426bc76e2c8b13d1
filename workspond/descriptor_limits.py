"""Division of the process's file descriptors between connections of clients and connections to servers."""

from __future__ import annotations

import resource

# These descriptors are reserved for the listener, discovery, the event loop, the log, and sockets that are
# half closed.
RESERVED_DESCRIPTORS = 24
# Connections of clients may use this fraction of the limit. The rest is for connections to servers: idle
# ones, and one per attempt in flight while about as many clients as a third of the limit have a request.
CLIENT_CONNECTION_FRACTION = 0.55
# Clients that send requests may hold this fraction of the limit, however short memory is.
MIN_CLIENT_CONNECTION_FRACTION = 1.0 / 3.0


def effective_descriptor_limit(configured: int) -> int:
    """Return the lower of the configured limit and the system's limit on open file descriptors."""
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if system_limit == resource.RLIM_INFINITY:
        return configured
    return min(configured, system_limit)


def max_client_connections(descriptor_limit: int, fitting_connections: int) -> int:
    """Return how many connections of clients may be open.

    Args:
        descriptor_limit: The limit on descriptors.
        fitting_connections: How many connections fit into memory.
    """
    minimum = int(MIN_CLIENT_CONNECTION_FRACTION * descriptor_limit)
    maximum = int(CLIENT_CONNECTION_FRACTION * descriptor_limit)
    return min(maximum, max(minimum, fitting_connections))


def available_descriptors(descriptor_limit: int, client_connections: int, server_connections: int) -> int:
    """Return how many descriptors are left for new connections to servers; the number may be negative."""
    return descriptor_limit - RESERVED_DESCRIPTORS - client_connections - server_connections
