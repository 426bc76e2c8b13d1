"""What the selection of servers keeps for each server between two picks."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Generic

from workspond.policy.weighted_round_robin import ItemT, RotationEntry


@dataclass(slots=True)
class SelectionState(Generic[ItemT]):
    """What `ServerSelector` last worked out for a server.

    Attributes:
        rotation_entry: The server's membership in a rotation; None while it is in none.
        current_weight: Its current weight while it is in no rotation.
        effective_weight: Its weight in a rotation; 0 if it has not been in any yet.
        counted_weight: Its part of the selector's total weight.
        stalled_calls: Its part of the selector's count of stalled calls.
        is_ejected: Whether it is one of the selector's count of ejected servers.
        refresh_at_ms: The moment at which all this has to be worked out anew.
    """

    rotation_entry: RotationEntry[ItemT] | None = None
    current_weight: float = 0.0
    effective_weight: float = 0.0
    counted_weight: float = 0.0
    stalled_calls: int = 0
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
