"""What this copy knows of one server: its list entry, the calls out to it, and its delay."""

from __future__ import annotations

import math
import random

from nickelbridge import interface as api
from nickelbridge.bucket import Bucket
from nickelbridge.interface import Group, Health

SLOW_FROM = 1.5  # times its peers' delay, from which a server counts as slow,
SLOW_POWER = 4.0  # and how steeply its weight falls then, so that it gets rest
SLOW_MOST = 10.0  # times its peers' delay that one answer may count for at most
SLOW_SAMPLES, SLOW_FADE_MS = 3.0, 10_000.0  # answers that a delay is averaged over; how soon that fades
REPORT_FADE_MS = 5_000.0  # the time in which a reported queue fades, by whose cube the weight is divided
OVERDUE = 1.5  # a call out for so many times the usual delay makes its server look as slow as one answer
LOST = 4.0  # times its usual delay: a call out for so long that later ones overtook takes no room any more
RESTART_MS = 100.0  # between two starts of a server at least; clocks that are read anew differ by less


class Server:
    """One server of the list."""

    __slots__ = (
        "budget", "calls", "cell", "ejected_until_ms", "ejections", "error_log_odds", "id", "in_service",
        "inflight_limit", "latest_served_ms", "part", "queue", "report_ms", "share", "slow_ms", "slowness",
        "started_ms", "turn", "used_ms", "zone",
    )  # fmt: skip

    def __init__(self, entry: api.ServerEntry, now: float, rng: random.Random) -> None:
        self.id = entry.server
        self.calls: dict[str, tuple[float, float]] = {}  # when each call out was sent, and its aim
        self.latest_served_ms = -math.inf  # when the latest sent of the calls that it served was sent
        self.turn: float | None = None  # its place in the rotation; None: new to it
        self.queue, self.report_ms = 0.0, now  # requests it last said were waiting there, and when it did
        self.slowness, self.slow_ms = 1.0, now  # its delay over its peers', averaged, and when that was
        self.ejected_until_ms, self.ejections = -math.inf, 0  # how often in a row
        self.used_ms = now  # when a connection to it was last in use
        self.error_log_odds = 0.0  # that it fails much more often than its peers
        self.inflight_limit = math.inf  # once it has turned an attempt away
        self.budget = Bucket(rng.random(), now)  # while cold; random, as all copies learn of it at once
        self.update(entry)

    def update(self, entry: api.ServerEntry) -> None:
        """Take what the list now says of it."""
        self.zone, self.cell, self.share = entry.zone, entry.cell, max(entry.share, 0.0)
        self.part = self.share  # of it that is this copy's to use
        self.in_service, self.started_ms = entry.health is Health.IN_SERVICE, entry.started_ms

    def restarted(self, entry: api.ServerEntry) -> bool:
        """Whether the entry tells of a later start than the one known."""
        return entry.started_ms is not None and entry.started_ms > (self.started_ms or -math.inf) + RESTART_MS

    @property
    def inflight(self) -> int:
        """Calls of this copy that are out to it."""
        return len(self.calls)

    def _slowness_at(self, now: float) -> float:
        return 1.0 + (self.slowness - 1.0) * math.exp((self.slow_ms - now) / SLOW_FADE_MS)

    def judge_delay(self, ratio: float, now: float) -> None:
        """Take the delay of one answer over its peers'."""
        slowness = self._slowness_at(now)
        self.slowness, self.slow_ms = slowness + (min(ratio, SLOW_MOST) - slowness) / SLOW_SAMPLES, now

    def speed(self, now: float, usual_share: float) -> float:
        """What is left of its weight, once it is clearly slower than its peers, or keeps a call waiting."""
        # A silent, hung or choked server shows by the oldest call it holds long before a time-out does. Not
        # by one that later ones overtook: it is the connection that died, or that call alone that is long.
        # sulcast-porto-alegre 3646: two dead connections kept two sound servers of four from work for 6 s. It
        # hides a server that answers few and loses the rest, until these time out.
        waiting = (call for call in self.calls.values() if call[0] >= self.latest_served_ms)
        sent_ms, aim_ms = next(waiting, (now, 1.0))
        overdue = (now - sent_ms) / (usual_share * aim_ms) / OVERDUE if usual_share else 0.0
        queue = self.queue * math.exp((self.report_ms - now) / REPORT_FADE_MS)
        slowness = max(self._slowness_at(now), overdue, SLOW_FROM)
        return math.pow(SLOW_FROM / slowness, SLOW_POWER) / (1.0 + queue) ** 3

    def lost_calls(self, now: float, usual_share: float) -> int:
        """How many of its calls out it can't be working on, as far as can be told."""
        return sum(
            sent_ms < self.latest_served_ms and now - sent_ms > LOST * usual_share * aim_ms
            for sent_ms, aim_ms in self.calls.values()
        )

    def load(self, now: float, usual_share: float) -> float:
        """How many calls it works on for this copy, for the part of it that is this copy's to use."""
        return (self.inflight - self.lost_calls(now, usual_share)) / self.part if self.part else math.inf

    def group(self, group: Group) -> str | int | None:
        """The group that drops repeats here, as a value to compare; None where all do."""
        return self.zone if group is Group.ZONE else self.cell if group is Group.CELL else None
