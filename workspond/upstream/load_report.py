"""Load reports of servers, which come in the X-Load-Report header of a response."""

from __future__ import annotations

import math

MAX_REPORTED_VALUE = 1e6
"""The largest figure taken. The policy raises them to powers, and an overflow would stop every selection."""


def parse_load_report(header_value: bytes) -> dict[str, float] | None:
    """Parse a load report such as `inflight=7,queue=2`.

    Servers' figures are noisy: negative ones count as 0, and those above `MAX_REPORTED_VALUE` as that.

    Args:
        header_value: The value of the header.

    Returns:
        The figures by their names, or None if any of the report can't be read.
    """
    try:
        pairs = [part.split("=") for part in header_value.decode("ascii").split(",")]
        report = {name.strip(): float(value) for name, value in pairs}
    except ValueError:
        return None
    if not all(map(math.isfinite, report.values())):
        return None
    return {name: min(max(0.0, value), MAX_REPORTED_VALUE) for name, value in report.items()}
