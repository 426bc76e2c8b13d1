"""Builds the shim and controls it: steps a node's wall clock and makes its system calls fail."""

from __future__ import annotations

import mmap
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
WORD = struct.Struct("=q")
NS_PER_S = 1_000_000_000


class NoCompilerError(Exception):
    """Raised if there is no C compiler to build the shim."""


class Field(IntEnum):
    """The fields of `struct control` in shim.c, in order."""

    WALL_OFFSET_NS = 0
    ACCEPT_ERRNO = 1
    SOCKET_ERRNO = 2
    LOG_ERRNO = 3
    CALLS_FAILED = 4


def build_shim(folder: Path) -> Path:
    """Compile the shim into `folder` and return the library's path; raises `NoCompilerError`."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise NoCompilerError(
            "no C compiler found (cc, gcc): faults of clocks and system calls have no effect"
        )
    library = folder / "shim.so"
    subprocess.run(
        [compiler, "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(SOURCE), "-ldl"],
        check=True,
        capture_output=True,
    )
    return library


class ShimControl:
    """The mapped control structure of one node's shim."""

    def __init__(self, path: Path) -> None:
        self.path = path
        size = WORD.size * len(Field)
        path.write_bytes(bytes(size))
        with path.open("r+b") as file:
            self._words = mmap.mmap(file.fileno(), size)

    def set(self, field: Field, value: int) -> None:
        """Set a field; it takes effect at the node's next system call."""
        WORD.pack_into(self._words, field * WORD.size, value)

    def get(self, field: Field) -> int:
        """Return the current value of a field."""
        value: int = WORD.unpack_from(self._words, field * WORD.size)[0]
        return value

    def environment(self, library: Path) -> dict[str, str]:
        """Return the environment variables that make a node use the shim."""
        return {"LD_PRELOAD": str(library), "SOAK_SHIM": str(self.path)}
