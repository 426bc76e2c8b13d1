"""The state that the server selection keeps for each server between picks."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Generic

from workspond.policy.weighted_round_robin import ItemT, RotationEntry


@dataclass(slots=True)
class SelectionState(Generic[ItemT]):
    """The values that `ServerSelector` last computed for a server.

    Attributes:
        rotation_entry: The server's entry in a rotation; None while it is in no rotation.
        current_weight: The server's current weight while it is in no rotation.
        effective_weight: The server's effective weight; 0 until it is computed for the first time.
        counted_weight: The weight that the selector's total includes for the server.
        stalled_attempts: The number of stalled attempts that the selector's total includes for the server.
        is_ejected: Whether the selector's number of ejected servers includes the server.
        refresh_at_ms: The time at which these values have to be computed again; infinite if none is known.
    """

    rotation_entry: RotationEntry[ItemT] | None = None
    current_weight: float = 0.0
    effective_weight: float = 0.0
    counted_weight: float = 0.0
    stalled_attempts: int = 0
    is_ejected: bool = False
    refresh_at_ms: float = math.inf

    def leave_rotation(self) -> None:
        """Remove the server from its rotation, if it is in one; it keeps its current weight."""
        entry = self.rotation_entry
        if entry is not None:
            self.current_weight = entry.current_weight
            self.rotation_entry = None
            entry.rotation.remove(entry)

    def latest_current_weight(self) -> float:
        """Return the current weight, whether or not the server is in a rotation."""
        return self.current_weight if self.rotation_entry is None else self.rotation_entry.current_weight

    def add_current_weight(self, weight: float) -> None:
        """Add to the current weight, whether or not the server is in a rotation."""
        entry = self.rotation_entry
        if entry is not None:
            entry.rotation.add_current_weight(entry, weight)
        else:
            self.current_weight += weight
