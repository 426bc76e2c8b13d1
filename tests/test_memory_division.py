"""How the memory of a process is divided between the data of clients and everything else."""

from __future__ import annotations

import pytest

from workspond.descriptor_limits import max_client_connections
from workspond.memory_limits import (
    client_buffer_limit_bytes,
    fitting_client_connections,
    max_client_buffer_bytes,
)

MB = 1024 * 1024


def test_client_data_gets_what_the_process_and_its_connections_leave() -> None:
    assert client_buffer_limit_bytes(32, 26 * MB, 0) == 2 * MB
    assert client_buffer_limit_bytes(32, 23 * MB, 300) == 3 * MB - 1300 * 1024


def test_client_data_gets_at_most_its_fraction_of_the_memory_limit() -> None:
    assert client_buffer_limit_bytes(128, 26 * MB, 500) == max_client_buffer_bytes(128)
    assert client_buffer_limit_bytes(64, 0, 0) == max_client_buffer_bytes(64)


def test_memory_limits_connections_to_those_that_leave_memory_for_data() -> None:
    connections = fitting_client_connections(32, 26 * MB)
    assert client_buffer_limit_bytes(32, 26 * MB, connections) == pytest.approx(1 * MB, rel=0.01)
    assert max_client_connections(1024, connections) == 341
    assert max_client_connections(1024, 400) == 400
    assert max_client_connections(1024, 4000) == 563


def test_client_data_gets_a_minimum_even_if_the_process_is_over_its_limit() -> None:
    assert client_buffer_limit_bytes(32, 40 * MB, 500) == MB // 2
