"""Records of the attempts of a request, for the log line that is written if the request fails."""

from __future__ import annotations

from dataclasses import dataclass

from workspond.address import Address, format_address
from workspond.policy.events import Outcome


@dataclass(slots=True)
class EndedAttempt:
    """The record of an attempt that was started and has ended.

    Attributes:
        number: The number of the attempt within its request, starting at 0.
        address: The address of the server.
        outcome: The outcome of the attempt.
        start_ms: The time from the receipt of the request to the start of the attempt.
        duration_ms: The duration of the attempt.
    """

    number: int
    address: Address
    outcome: Outcome
    start_ms: float
    duration_ms: float

    def __str__(self) -> str:
        return (
            f"attempt={self.number} endpoint={format_address(self.address)} outcome={self.outcome.name}"
            f" start_ms={self.start_ms:.1f} duration_ms={self.duration_ms:.1f}"
        )


@dataclass(slots=True)
class BlockedAttempt:
    """The record of an attempt that was blocked before it was written.

    Attributes:
        reason: The value of the `SendRefusal`.
    """

    reason: str

    def __str__(self) -> str:
        return f'blocked reason="{self.reason}"'
