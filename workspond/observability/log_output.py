"""Log output that never blocks the process.

Standard error may be closed, a pipe whose reader has stopped, or a file on a full disk. A line that can't be
written at once is dropped and counted, and the next line that is written is preceded by the count.
"""

from __future__ import annotations

import logging
import os
import select
import socket
import stat

STANDARD_ERROR = 2
# This is PIPE_BUF of Linux: a longer write to a pipe may be done in part, and may not fit into a pipe that is
# reported as writable.
MAX_WRITE_BYTES = 4096


def open_standard_descriptors() -> None:
    """Open /dev/null on each of the descriptors 0 to 2 that is closed.

    Otherwise the first sockets would get these numbers, and log lines would be written to a socket.
    """
    descriptor = os.open(os.devnull, os.O_RDWR)
    while descriptor <= STANDARD_ERROR:
        descriptor = os.open(os.devnull, os.O_RDWR)
    os.close(descriptor)


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    Attributes:
        dropped_count: The number of lines dropped since the last line that was written.
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
        """Write all bytes without blocking; return whether that was possible."""
        try:
            while data:
                if not self._poll.poll(0):
                    return False
                data = data[self._write_chunk(data[:MAX_WRITE_BYTES]) :]
        except OSError:  # a failure to log must not stop the node
            return False
        return True

    def _write_chunk(self, chunk: bytes) -> int:
        """Write as much of a chunk as possible and return the number of bytes written."""
        if self._socket is not None:
            return self._socket.send(chunk, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
        return os.write(self._descriptor, chunk)


def _reopen_nonblocking(descriptor: int) -> int:
    """Open the same pipe again in non-blocking mode; return the original descriptor if that fails.

    Other processes may write to the pipe and fill it between the poll and the write. The mode of the original
    descriptor must not be changed, as it is shared with them.
    """
    try:
        return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        return descriptor


class LineHandler(logging.Handler):
    """A logging handler that writes records through a `LineWriter`."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record; if it can't be formatted, write the message without its arguments."""
        try:
            line = self.format(record)
        except Exception as error:
            line = f"{record.levelname} {record.msg!r:.200} (formatting failed: {error!r:.100})"
        self._writer.write(line)


def set_up_logging(writer: LineWriter, name: str) -> None:
    """Configure the root logger to write all records through a writer.

    Args:
        writer: Writes the lines.
        name: The name of the node, which is part of each line.
    """
    handler = LineHandler(writer)
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.INFO)
