"""Division of the process's memory between the data of peers and everything else."""

from __future__ import annotations

# The rest is for the program, the endpoint list, the objects of connections and the data in transit.
MAX_CLIENT_BUFFER_FRACTION = 0.2
# Below this, requests of usual length would be rejected; a limit that leaves less can't be kept in any case.
MIN_CLIENT_BUFFER_BYTES = 512 * 1024
DATA_RESERVE_BYTES = 3 * 1024 * 1024  # memory that connections leave for data
# A client's connection, its request in flight and the connection to a server, without data
CONNECTION_BYTES = 13 * 1024
# Buffered data takes more memory than its length: copies in transit, and what the allocator can't use again.
MEMORY_PER_BUFFERED_BYTE = 3.0
BYTES_PER_MB = 1024 * 1024


def max_client_buffer_bytes(memory_limit_mb: int) -> int:
    """Return the most data of all clients together that may be kept under a limit on memory."""
    return int(MAX_CLIENT_BUFFER_FRACTION * memory_limit_mb * BYTES_PER_MB)


def fitting_client_connections(memory_limit_mb: int, resident_bytes: int) -> int:
    """Return how many connections of clients fit beside some memory for data; may be negative.

    Args:
        memory_limit_mb: The memory over which the process is killed.
        resident_bytes: The resident memory of the process without clients; 0 if it is unknown.
    """
    free_bytes = memory_limit_mb * BYTES_PER_MB - resident_bytes - DATA_RESERVE_BYTES
    return free_bytes // CONNECTION_BYTES


def client_buffer_limit_bytes(memory_limit_mb: int, resident_bytes: int, max_connections: int) -> int:
    """Return how much data of all clients together a process may keep.

    Args:
        memory_limit_mb: The memory over which the process is killed.
        resident_bytes: The resident memory of the process without clients; 0 if it is unknown.
        max_connections: The maximum number of connections of clients.
    """
    used_bytes = resident_bytes + max_connections * CONNECTION_BYTES
    free_bytes = memory_limit_mb * BYTES_PER_MB - used_bytes
    fitting_bytes = max(MIN_CLIENT_BUFFER_BYTES, int(free_bytes / MEMORY_PER_BUFFERED_BYTE))
    return min(max_client_buffer_bytes(memory_limit_mb), fitting_bytes)
