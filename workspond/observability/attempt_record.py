"""What is remembered of a request's attempts, for the log line of a request that ends badly."""

from __future__ import annotations

from dataclasses import dataclass

from workspond.address import Address, format_address
from workspond.policy.events import Outcome


@dataclass(slots=True)
class EndedAttempt:
    """An attempt that was begun and has ended.

    Attributes:
        number: The attempt's number within its request, from 0.
        address: The address of the server.
        outcome: How the attempt ended.
        start_ms: When it was begun, counted from when its request was received.
        duration_ms: How long it took.
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
    """An attempt that the send guard stopped before it was written.

    Attributes:
        reason: Why it was stopped.
    """

    reason: str

    def __str__(self) -> str:
        return f'blocked reason="{self.reason}"'
