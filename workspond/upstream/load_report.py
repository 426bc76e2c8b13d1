"""Parses load reports, which servers send in the X-Load-Report header of a response."""

from __future__ import annotations

import math

MAX_REPORTED_VALUE = 1e6
"""The maximum of a figure; larger figures are reduced to it.

The policy raises figures to powers, and an overflow would make every selection of a server fail.
"""


def parse_load_report(header_value: bytes) -> dict[str, float] | None:
    """Parse a load report such as `inflight=7,queue=2`.

    Servers may report inaccurate figures, so the figures are clamped to the range from 0 to
    `MAX_REPORTED_VALUE`.

    Args:
        header_value: The value of the header.

    Returns:
        The figures by name, or None if any part of the report is invalid.
    """
    try:
        pairs = [part.split("=") for part in header_value.decode("ascii").split(",")]
        report = {name.strip(): float(value) for name, value in pairs}
    except ValueError:
        return None
    if not all(map(math.isfinite, report.values())):
        return None
    return {name: min(max(0.0, value), MAX_REPORTED_VALUE) for name, value in report.items()}
