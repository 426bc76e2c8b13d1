"""Log lines that never hold the process up.

Standard error may be a pipe that nobody reads, a full disk, or closed. A line that can't be written at once
is dropped and counted; the next one that can be written is preceded by the count.
"""

from __future__ import annotations

import logging
import os
import select
import socket
import stat

STANDARD_ERROR = 2
PIECE_BYTES = (
    4096  # of a pipe: a write of no more than that is whole or not at all, and fits if it is writable
)


def open_standard_descriptors() -> None:
    """Have descriptors 0 to 2 open: one that is not would be given to the first socket, and written to."""
    while True:
        descriptor = os.open(os.devnull, os.O_RDWR)
        if descriptor > STANDARD_ERROR:
            return os.close(descriptor)


class LineWriter:
    """Writes lines to a descriptor without ever waiting for it."""

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        self.dropped = 0  # lines, since the last one that was written
        self._socket: socket.socket | None = None
        mode = os.fstat(descriptor).st_mode
        self._descriptor = _reopened(descriptor) if stat.S_ISFIFO(mode) else descriptor
        if stat.S_ISSOCK(mode):
            self._socket = socket.socket(fileno=os.dup(descriptor))
        self._poll = select.poll()
        self._poll.register(self._descriptor, select.POLLOUT)

    def write(self, line: str) -> None:
        """Write a line, or count it as dropped."""
        text = f"({self.dropped} log lines dropped)\n{line}\n" if self.dropped else f"{line}\n"
        if self._write_bytes(text.encode("utf-8", "backslashreplace")):
            self.dropped = 0
        else:
            self.dropped += 1

    def _write_bytes(self, data: bytes) -> bool:
        try:
            while data:
                if not self._poll.poll(0):
                    return False
                piece = data[:PIECE_BYTES]
                if self._socket is not None:
                    written = self._socket.send(piece, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
                else:
                    written = os.write(self._descriptor, piece)
                data = data[written:]
        except OSError:  # full, closed, or broken: whatever it is, the node goes on
            return False
        return True


def _reopened(descriptor: int) -> int:
    """The same pipe by a descriptor that does not block, where it can be had.

    Others may write to it too: between asking whether it has room and writing they may fill it. The mode of
    the descriptor itself is shared with them, and not ours to change.
    """
    try:
        return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        return descriptor


class LineHandler(logging.Handler):
    """Gives formatted records to a `LineWriter`."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record; one that can't be formatted is told by its plain message."""
        try:
            line = self.format(record)
        except Exception as problem:
            line = f"{record.levelname} {record.msg!r:.200} (not formatted: {problem!r:.100})"
        self._writer.write(line)


def set_up_logging(writer: LineWriter, name: str) -> None:
    """Have all log records of the process written by `writer`, with the node's name."""
    handler = LineHandler(writer)
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.INFO)
