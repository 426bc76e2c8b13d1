"""Records the messages between a seeded simulation and the simulator adapter, one file for each session.

`python -m tests.record_decisions OUT` writes the recordings of all sessions in `tests/recorded_sessions.py`
to the directory OUT. In a recording, each line of input is followed by the adapter's reply.
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
    """Run a session; return its lines, alternately an input and its reply."""
    simulation, errors = Simulation(session), io.StringIO()
    loop = cast(Any, simulation)
    if serve(loop, loop, errors):
        raise SystemExit(errors.getvalue())
    return simulation.lines


if __name__ == "__main__":
    for recorded_session in SESSIONS:
        Path(sys.argv[1], f"{recorded_session.name}.jsonl").write_text(
            "".join(record(recorded_session)), encoding="utf-8"
        )
