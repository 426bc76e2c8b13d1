"""Log output that never blocks the process.

Standard error may be a pipe that nobody reads, a full disk, or closed. A line that can't be written at once
is dropped and counted; the next line that can be written is preceded by the count.
"""

from __future__ import annotations

import logging
import os
import select
import socket
import stat

STANDARD_ERROR = 2
# A write of no more than this to a pipe is done completely or not at all, and fits if the pipe is writable.
MAX_WRITE_BYTES = 4096


def open_standard_descriptors() -> None:
    """Open those of the descriptors 0 to 2 that are closed, on /dev/null.

    The first sockets would get a closed descriptor's number, and what is meant for the log.
    """
    descriptor = os.open(os.devnull, os.O_RDWR)
    while descriptor <= STANDARD_ERROR:
        descriptor = os.open(os.devnull, os.O_RDWR)
    os.close(descriptor)


class LineWriter:
    """Writes lines to a descriptor without ever waiting for it.

    Attributes:
        dropped_count: How many lines were dropped since the last one that was written.
    """

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        self.dropped_count = 0
        self._socket: socket.socket | None = None
        mode = os.fstat(descriptor).st_mode
        self._descriptor = _reopen_nonblocking(descriptor) if stat.S_ISFIFO(mode) else descriptor
        if stat.S_ISSOCK(mode):
            self._socket = socket.socket(fileno=os.dup(descriptor))
        self._poll = select.poll()
        self._poll.register(self._descriptor, select.POLLOUT)

    def write(self, line: str) -> None:
        """Write a line, or count it as dropped."""
        text = f"{line}\n"
        if self.dropped_count:
            text = f"({self.dropped_count} log lines dropped)\n{text}"
        if self._write_bytes(text.encode("utf-8", "backslashreplace")):
            self.dropped_count = 0
        else:
            self.dropped_count += 1

    def _write_bytes(self, data: bytes) -> bool:
        """Write all the bytes now; returns False if that can't be done."""
        try:
            while data:
                if not self._poll.poll(0):
                    return False
                data = data[self._write_piece(data[:MAX_WRITE_BYTES]) :]
        except OSError:  # full, closed, or broken: whatever it is, the node goes on
            return False
        return True

    def _write_piece(self, piece: bytes) -> int:
        """Write what can be written; returns the number of bytes."""
        if self._socket is not None:
            return self._socket.send(piece, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
        return os.write(self._descriptor, piece)


def _reopen_nonblocking(descriptor: int) -> int:
    """Return a descriptor of the same pipe that does not block, or the same descriptor if that can't be had.

    Others may write to the pipe too, and may fill it between our poll and our write. The mode of the
    descriptor itself is shared with them and not ours to change.
    """
    try:
        return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        return descriptor


class LineHandler(logging.Handler):
    """A handler of log records that gives them to a `LineWriter`."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record; of one that can't be formatted, write the message as it is."""
        try:
            line = self.format(record)
        except Exception as error:
            line = f"{record.levelname} {record.msg!r:.200} (not formatted: {error!r:.100})"
        self._writer.write(line)


def set_up_logging(writer: LineWriter, name: str) -> None:
    """Have all log records of the process written by a writer, with the node's name."""
    handler = LineHandler(writer)
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.INFO)
