"""Division of the process's memory between the data of clients and everything else."""

from __future__ import annotations

# The rest is for the program, the endpoint list, the responses of servers and the sockets' own objects.
CLIENT_BUFFER_FRACTION = 0.2
BYTES_PER_MB = 1024 * 1024


def max_client_buffer_bytes(memory_limit_mb: int) -> int:
    """Return how much data of all clients together may be kept under a limit on memory."""
    return int(CLIENT_BUFFER_FRACTION * memory_limit_mb * BYTES_PER_MB)
