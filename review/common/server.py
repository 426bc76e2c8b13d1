"""A cell of server stand-ins: a process with servers that answer as the protocol page describes.

It prints the servers' ports, appends JSON lines on each request to its log, and names in each body the
request that the body answers. The servers drop repeats of a keyed request: a repeat gets the answer of the
first run. With `--second-after-ms` they send some answers once more, that much later. With `--full-for-s`
they are full for a while and turn each request away.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import time

HOST = "127.0.0.1"


def read_options() -> argparse.Namespace:
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--names", required=True, help="the servers' names, with commas between them")
    parser.add_argument("--log", required=True)
    parser.add_argument("--work-ms", required=True, help="JSON: the work of a request by its class")
    parser.add_argument("--cores", type=int, default=1)
    parser.add_argument("--second-after-ms", type=float, default=0.0)
    parser.add_argument("--second-share", type=float, default=1.0, help="share of the answers sent twice")
    parser.add_argument("--full-from", type=float, default=0.0, help="Unix time")
    parser.add_argument("--full-for-s", type=float, default=0.0)
    return parser.parse_args()


class Cell:
    """What the servers of a cell share: the runs of keyed requests, by key, and the log."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.work_s = {name: value / 1000.0 for name, value in json.loads(options.work_ms).items()}
        self.runs: dict[str, asyncio.Task[bytes]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self._log = open(options.log, "a", buffering=1, encoding="utf-8")  # noqa: SIM115

    def note(self, server: str, event: str, request_id: str) -> None:
        """Write a line to the log."""
        line = {"at": time.time(), "server": server, "event": event, "id": request_id}
        self._log.write(json.dumps(line) + "\n")

    def is_full(self) -> bool:
        """Return whether the servers turn requests away now."""
        return 0.0 <= time.time() - self.options.full_from < self.options.full_for_s


class Server:
    """Answers requests, as many at a time as it has cores."""

    def __init__(self, cell: Cell, name: str) -> None:
        self.cell = cell
        self.name = name
        self.rng = random.Random(name)
        self.cores = asyncio.Semaphore(cell.options.cores)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection, one after the other."""
        try:
            while True:
                await self.answer_next(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer_next(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read a request, run it and answer it."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        await reader.readexactly(int(headers.get("content-length", "0")))
        request_id = headers["x-call-id"]
        class_name = lines[0].split()[1].strip("/").partition("?")[0]
        if self.cell.is_full():
            self.cell.note(self.name, "turned away", request_id)
            writer.write(b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
            return
        body = await self.run_once(class_name, request_id, headers.get("idempotency-key", ""))
        answer = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        if writer.is_closing():
            return
        writer.write(answer)
        self.cell.note(self.name, "answered", request_id)
        options = self.cell.options
        if options.second_after_ms and self.rng.random() < options.second_share:
            task = asyncio.create_task(self.answer_again(writer, answer, request_id))
            self.cell.tasks.add(task)
            task.add_done_callback(self.cell.tasks.discard)

    async def run_once(self, class_name: str, request_id: str, key: str) -> bytes:
        """Run a request, or wait for the first run if it is a repeat; work that was begun is not stopped."""
        runs = self.cell.runs
        if key and key in runs:
            self.cell.note(self.name, "dropped a repeat of", request_id)
            return await asyncio.shield(runs[key])
        run = asyncio.create_task(self.run(class_name, request_id))
        if key:
            runs[key] = run
        return await asyncio.shield(run)

    async def run(self, class_name: str, request_id: str) -> bytes:
        """Do the work of a request and return the body of its answer."""
        self.cell.note(self.name, "runs", request_id)
        async with self.cores:
            await asyncio.sleep(self.cell.work_s[class_name])
        return f"answer to {request_id} from {self.name}".encode()

    async def answer_again(self, writer: asyncio.StreamWriter, answer: bytes, request_id: str) -> None:
        """Send the same answer a second time."""
        await asyncio.sleep(self.cell.options.second_after_ms / 1000.0)
        if not writer.is_closing():
            writer.write(answer)
            self.cell.note(self.name, "sent a second answer to", request_id)


async def main() -> None:
    """Listen on free ports until the process is ended."""
    cell = Cell(read_options())
    listeners = [
        await asyncio.start_server(Server(cell, name).serve, HOST, 0, backlog=512)
        for name in cell.options.names.split(",")
    ]
    print(*(listener.sockets[0].getsockname()[1] for listener in listeners), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
