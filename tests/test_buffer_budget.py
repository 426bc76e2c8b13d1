"""The data that all client connections keep together is bounded by a part of the memory limit."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from tests.client_helpers import ready_node
from tests.peers import HANG, Client, Server, node_environment, request, run, until
from workspond.downstream.buffer_budget import BufferBudget, BufferUse
from workspond.downstream.client_socket import MAX_READ_BYTES, MAX_READ_BYTES_WHILE_SHORT
from workspond.memory_limits import MIN_CLIENT_BUFFER_BYTES

MEMORY_MB = 4
BODY_BYTES = 60_000
UNFINISHED_REQUEST = request("q", "pay", body=b"x" * BODY_BYTES)[:-1]
# The process of the tests is over this limit, so that its clients get the least budget.
BUDGET_BYTES = MIN_CLIENT_BUFFER_BYTES
FITTING_COUNT = BUDGET_BYTES // BODY_BYTES
EXCESS_COUNT = 5
MANY_CLIENTS = 100


class BufferingClient:
    """A connection whose use of memory the test sets."""

    def __init__(
        self,
        budget: BufferBudget[BufferingClient],
        waiting: int,
        served: int,
        *,
        drops_last: bool = False,
    ) -> None:
        self.drops_last = drops_last
        self.has_dropped = False
        self._budget = budget
        self._use = BufferUse(waiting, served)
        self.report_buffer_use()

    def report_buffer_use(self) -> None:
        self._budget.update(self, self._use)

    def drop_waiting_data(self) -> None:
        self.has_dropped = True
        self._use = BufferUse(0, self._use.served_bytes)
        self.report_buffer_use()


def test_connections_with_the_most_waiting_data_drop_it_first_and_only_as_many_as_needed() -> None:
    async def test() -> None:
        budget: BufferBudget[BufferingClient] = BufferBudget(100)
        uses = [(40, 0), (10, 0), (30, 0), (0, 50)]
        clients = [BufferingClient(budget, waiting, served) for waiting, served in uses]
        assert budget.is_exceeded
        await asyncio.sleep(0)
        assert [client.has_dropped for client in clients] == [True, False, False, False]
        assert not budget.is_exceeded

    run(test())


def test_connections_that_drop_last_keep_their_data_while_others_have_any() -> None:
    async def test() -> None:
        budget: BufferBudget[BufferingClient] = BufferBudget(100)
        server = BufferingClient(budget, 80, 0, drops_last=True)
        clients = [BufferingClient(budget, 15, 0) for _ in range(3)]
        await asyncio.sleep(0)
        assert sum(client.has_dropped for client in clients) == 2 and not server.has_dropped
        BufferingClient(budget, 0, 90)
        await asyncio.sleep(0)
        assert server.has_dropped

    run(test())


def test_data_of_requests_being_served_is_never_dropped() -> None:
    async def test() -> None:
        budget: BufferBudget[BufferingClient] = BufferBudget(100)
        clients = [BufferingClient(budget, waiting, 60) for waiting in (0, 0, 5)]
        await asyncio.sleep(0)
        assert [client.has_dropped for client in clients] == [False, False, True]

    run(test())


class FailingClient(BufferingClient):
    """A connection that can't drop its data because of a fault."""

    def drop_waiting_data(self) -> None:
        raise RuntimeError


def test_parsing_goes_on_after_a_connection_has_failed_to_drop_its_data() -> None:
    """Guards against a node that parses nothing any more because of a fault in one connection."""

    async def test() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        budget: BufferBudget[BufferingClient] = BufferBudget(100)
        FailingClient(budget, 200, 0)
        await asyncio.sleep(0)
        assert not budget.is_exceeded

    run(test())


async def rejected_count(clients: list[Client]) -> int:
    """Return how many clients were sent an error because memory is short."""
    responses = await asyncio.gather(*(client.read() for client in clients))
    return sum(response.status == 413 for response in responses)


def test_a_short_request_is_served_while_unfinished_ones_exceed_the_budget(tmp_path: Path) -> None:
    """The excess is rejected at once, the rest only when its time to send the request is over."""

    async def test() -> None:
        async with node_environment(tmp_path, Server(), memory_mb=MEMORY_MB) as environment:
            node = await ready_node(environment)
            clients = [await environment.client() for _ in range(FITTING_COUNT + EXCESS_COUNT)]
            for client in clients:
                client.write(UNFINISHED_REQUEST)
            assert (await environment.send_request("a")).status == 200
            counts = node.counters.total
            await until(lambda: sum(counts.values()) >= EXCESS_COUNT)
            assert await rejected_count(clients) == EXCESS_COUNT

    run(test())


def test_little_is_read_while_the_budget_is_exceeded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a node that is killed for what all connections read in one turn of the event loop."""
    highest_bytes = 0
    update = BufferBudget.update

    def update_and_record(budget: BufferBudget[Any], connection: Any, use: BufferUse) -> None:
        nonlocal highest_bytes
        update(budget, connection, use)
        highest_bytes = max(highest_bytes, budget.total_bytes)

    monkeypatch.setattr(BufferBudget, "update", update_and_record)

    async def test() -> None:
        async with node_environment(tmp_path, Server(), memory_mb=MEMORY_MB) as environment:
            await ready_node(environment)
            clients = [await environment.client() for _ in range(MANY_CLIENTS)]
            for client in clients:
                client.write(UNFINISHED_REQUEST)
            await rejected_count(clients)
            allowed_bytes = MAX_READ_BYTES + MANY_CLIENTS * MAX_READ_BYTES_WHILE_SHORT
            assert highest_bytes <= BUDGET_BYTES + allowed_bytes

    run(test())


def test_the_use_of_closed_connections_is_given_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with node_environment(tmp_path, Server(default=HANG)) as environment:
            node = await ready_node(environment)
            clients = [await environment.client() for _ in range(4)]
            clients[0].write(UNFINISHED_REQUEST)
            clients[1].write(request("b", "pay", body=b"x" * BODY_BYTES) + request("c", "pay", body=b"y"))
            await until(lambda: node.frontend.buffers.total_bytes >= 2 * BODY_BYTES)
            for client in clients:
                client.writer.close()
            await until(lambda: node.frontend.buffers.total_bytes == 0)

    run(test())
