"""Clients that send much at once do not keep the node from answering the others in time."""

from __future__ import annotations

import asyncio
import itertools
import sys
import time
from pathlib import Path

import pytest

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


# A client that writes at full speed on one connection and reads what it is answered, until it is killed. It
# connects again if the node closes the connection.
FLOOD = """
import itertools, socket, sys, threading
host, port, form = sys.argv[1], int(sys.argv[2]), sys.argv[3].encode().decode("unicode_escape")
def read(connection):
    try:
        while connection.recv(65536):
            pass
    except OSError:
        pass
def connect():
    connection = socket.create_connection((host, port))
    threading.Thread(target=read, args=(connection,), daemon=True).start()
    return connection
connection = connect()
for start in itertools.count(step=100):
    block = "".join(form.replace("NUMBER", str(start + number)) for number in range(100))
    try:
        connection.sendall(block.encode())
    except OSError:
        connection = connect()
"""
FLOODS = {
    "own paths": "GET /-/x HTTP/1.1\\r\\n\\r\\n",
    "hardly any time": (
        "POST /pay HTTP/1.1\\r\\nX-Call-Id: fNUMBER\\r\\n"
        "X-Budget: 0.000001\\r\\nContent-Length: 0\\r\\n\\r\\n"
    ),
    "an id that is open": (
        "POST /pay HTTP/1.1\\r\\nX-Call-Id: open\\r\\nX-Budget: 9\\r\\nContent-Length: 0\\r\\n\\r\\n"
    ),
    "ever new tenants": (
        "POST /pay HTTP/1.1\\r\\nX-Call-Id: fNUMBER\\r\\nX-Caller: tenant-NUMBER\\r\\n"
        "X-Budget: 0.000001\\r\\nContent-Length: 0\\r\\n\\r\\n"
    ),
}
FLOOD_S = 3.0
SOUND_CLIENTS = 4
SOUND_BUDGET_S = 0.1
MAX_LATE_FRACTION = 0.05


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


async def count_late_answers(environment: NodeEnvironment, number: int) -> tuple[int, int]:
    """Send requests for `FLOOD_S`, and return how many of how many were not served within their budget."""
    client = await environment.client()
    late = 0
    end_at_s = time.monotonic() + FLOOD_S
    for count in itertools.count(1):
        started_at_s = time.monotonic()
        response = await client.send_request(f"sound-{number}-{count}", budget=f"{SOUND_BUDGET_S}")
        delay_s = time.monotonic() - started_at_s
        assert delay_s < SOUND_BUDGET_S + MAX_LATENESS_S
        late += response.status != 200 or delay_s > SOUND_BUDGET_S
        if time.monotonic() > end_at_s:
            return late, count
        await asyncio.sleep(REQUEST_INTERVAL_S)
    raise AssertionError


@pytest.mark.parametrize("form", FLOODS.values(), ids=FLOODS.keys())
def test_answers_are_in_time_while_one_client_floods_a_connection(form: str, tmp_path: Path) -> None:
    """Guards against a node whose clients wait while it works through what one of them sent at once."""

    async def test() -> None:
        servers = [Server(name=f"s{number}") for number in range(10)]
        async with node_environment(tmp_path, *servers, start=False) as environment:
            program = await Program.start(environment)
            await program.wait_until_ready()
            host, port = environment.address
            flood = await asyncio.create_subprocess_exec(sys.executable, "-c", FLOOD, host, str(port), form)
            environment.processes.append(flood)
            counts = await asyncio.gather(
                *(count_late_answers(environment, number) for number in range(SOUND_CLIENTS))
            )
            assert flood.returncode is None
            late, answered = (sum(column) for column in zip(*counts, strict=True))
            assert late <= MAX_LATE_FRACTION * answered

    run(test())
