"""Cuts a schedule short: fewer faults that still break a rule."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from soak.schedule import Fault, Schedule


def shrink(schedule: Schedule, breaks: Callable[[Schedule], bool], most_plays: int) -> tuple[Schedule, int]:
    """The smallest schedule found that still breaks a rule, and how many plays it took.

    Delta debugging: ever smaller parts are left out as long as what remains still breaks one.
    """
    faults = list(schedule.faults)
    plays, part = 0, max(1, len(faults) // 2)
    while faults and plays < most_plays:
        cut = _cut_once(schedule, faults, part, breaks, most_plays - plays)
        plays += cut.plays
        if cut.faults is not None:
            faults = cut.faults
            part = min(part, max(1, len(faults) // 2))
        elif part == 1:
            break
        else:
            part = part // 2
    return replace(schedule, faults=tuple(faults)), plays


class _Cut:
    """What one round of leaving parts out came to."""

    def __init__(self, faults: list[Fault] | None, plays: int) -> None:
        self.faults, self.plays = faults, plays


def _cut_once(
    schedule: Schedule, faults: list[Fault], part: int, breaks: Callable[[Schedule], bool], most_plays: int
) -> _Cut:
    plays = 0
    for start in range(0, len(faults), part):
        if plays >= most_plays:
            break
        kept = faults[:start] + faults[start + part :]
        plays += 1
        if breaks(replace(schedule, faults=tuple(kept))):
            return _Cut(kept, plays)
    return _Cut(None, plays)
