"""Reduces a schedule to fewer faults that still break a rule."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from soak.schedule import Fault, Schedule


def shrink(
    schedule: Schedule, breaks_rule: Callable[[Schedule], bool], max_plays: int
) -> tuple[Schedule, int]:
    """Reduce a schedule by delta debugging.

    Removes ever smaller parts of the faults as long as the rest still breaks a rule.

    Args:
        schedule: A schedule that breaks a rule.
        breaks_rule: Plays a schedule and returns whether it breaks a rule.
        max_plays: The maximum number of plays.

    Returns:
        The smallest schedule found that breaks a rule, and the number of plays.
    """
    faults = list(schedule.faults)
    plays = 0
    part_size = max(1, len(faults) // 2)
    while faults and plays < max_plays:
        reduction = _remove_part(schedule, faults, part_size, breaks_rule, max_plays=max_plays - plays)
        plays += reduction.plays
        if reduction.faults is not None:
            faults = reduction.faults
            part_size = min(part_size, max(1, len(faults) // 2))
        elif part_size == 1:
            break
        else:
            part_size = part_size // 2
    return replace(schedule, faults=tuple(faults)), plays


@dataclass(frozen=True, slots=True)
class _Reduction:
    """The result of one attempt to remove a part."""

    faults: list[Fault] | None  # remaining faults; None if no part can be removed
    plays: int


def _remove_part(
    schedule: Schedule,
    faults: list[Fault],
    part_size: int,
    breaks_rule: Callable[[Schedule], bool],
    *,
    max_plays: int,
) -> _Reduction:
    """Remove the first part of the faults without which a rule is still broken."""
    plays = 0
    for start in range(0, len(faults), part_size):
        if plays >= max_plays:
            break
        remaining = faults[:start] + faults[start + part_size :]
        plays += 1
        if breaks_rule(replace(schedule, faults=tuple(remaining))):
            return _Reduction(remaining, plays)
    return _Reduction(None, plays)
