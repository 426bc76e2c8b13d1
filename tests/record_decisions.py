"""Records sessions of the simulator's wire: a seeded closed loop around the adapter, one file a session.

`python -m tests.record_decisions OUT` writes every session of `tests/recorded_sessions.py` into the directory
OUT. A recording alternates a line of input with the adapter's reply to it.
"""

from __future__ import annotations

import io
import sys
from pathlib import Path
from typing import Any, cast

from tests.recorded_sessions import SESSIONS, Session
from tests.wire_simulation import Simulation
from workspond.simulator_adapter import serve


def record(session: Session) -> list[str]:
    """The lines of a session: input and reply in turn."""
    simulation, errors = Simulation(session), io.StringIO()
    loop = cast(Any, simulation)
    if serve(loop, loop, errors):
        raise SystemExit(errors.getvalue())
    return simulation.lines


if __name__ == "__main__":
    for one in SESSIONS:
        Path(sys.argv[1], f"{one.name}.jsonl").write_text("".join(record(one)), encoding="utf-8")
