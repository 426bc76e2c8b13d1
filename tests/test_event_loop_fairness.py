"""Clients that send much at once do not keep the node from answering the others in time."""

from __future__ import annotations

import asyncio
import itertools
import time
from pathlib import Path

from tests.peers import NodeEnvironment, Server, node_environment, run
from tests.program import Program

DESCRIPTORS = 608
PEER_COUNT = 100
BUDGET_S = 0.2
# An answer that comes later after the client's time is over counts as lost.
MAX_LATENESS_S = 0.5
REQUEST_INTERVAL_S = 0.02


UNFINISHED_REQUEST = (
    b"POST /pay HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: q\r\nX-Budget: 9\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nab\r\n" * 30_000
)


async def answer_delays(environment: NodeEnvironment, until_done: asyncio.Task[None]) -> list[float]:
    """Send one request after another until a task is done, and return how long each answer took, in s."""
    client = await environment.client()
    delays = []
    for number in itertools.count():
        started_at_s = time.monotonic()
        await client.send_request(f"sound-{number}", budget=f"{BUDGET_S}")
        delays.append(time.monotonic() - started_at_s)
        if until_done.done():
            break
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return delays


def test_answers_are_in_time_while_many_clients_send_small_chunks(tmp_path: Path) -> None:
    """Guards against requests that are lost while the event loop parses what others sent in one turn."""

    async def test() -> None:
        async with node_environment(tmp_path, Server(), start=False, sockets=DESCRIPTORS) as environment:
            program = await Program.start(environment)
            await program.wait_until_ready()
            peers = [await environment.client() for _ in range(PEER_COUNT)]

            async def send_all() -> None:
                for peer in peers:
                    peer.write(UNFINISHED_REQUEST)
                await asyncio.gather(*(peer.read() for peer in peers))

            delays = await answer_delays(environment, asyncio.create_task(send_all()))
            assert max(delays) < BUDGET_S + MAX_LATENESS_S

    run(test())
