"""A client that sends requests at a steady rate and measures how long their responses take."""

from __future__ import annotations

import asyncio
import time

from standins.messages import read_response, render_head
from standins.sockets import HOST


class SteadyClient:
    """Sends requests at a steady rate, without waiting for earlier responses."""

    def __init__(self, port: int, budget_s: float) -> None:
        """`budget_s` is the X-Budget of each request."""
        self._port = port
        self._budget_s = budget_s
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.elapsed_s: list[float] = []  # duration of each request
        self.send_delays_s: list[float] = []  # actual less scheduled send time of each request
        self.failed = 0

    async def send(self, number: int) -> None:
        """Send one request and read its response; a request without a 200 counts as failed."""
        began_s = time.perf_counter()
        try:
            connection = self._idle.pop() if self._idle else await asyncio.open_connection(HOST, self._port)
            reader, writer = connection
            headers = {"Host": "b", "X-Call-Id": f"c{number}", "X-Budget": f"{self._budget_s}"}
            writer.write(render_head("GET", "/read", headers))
            succeeded = (await read_response(reader)).status == 200
        except (OSError, asyncio.IncompleteReadError):
            succeeded = False
        else:
            self._idle.append(connection)
        self.failed += not succeeded
        self.elapsed_s.append(time.perf_counter() - began_s)

    async def run(self, rate_per_s: float, seconds: float) -> None:
        """Send requests for `seconds` seconds and wait for all responses."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        requests = []
        for number in range(int(rate_per_s * seconds)):
            due_s = began_s + number / rate_per_s
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            self.send_delays_s.append(loop.time() - due_s)
            requests.append(loop.create_task(self.send(number)))
        await asyncio.gather(*requests)
