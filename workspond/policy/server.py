"""What this copy knows of one server: its list entry, the calls out to it, and its delay."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from workspond.policy.endpoint import Endpoint, EndpointState
from workspond.policy.settings import DeduplicationScope
from workspond.policy.token_bucket import TokenBucket

if TYPE_CHECKING:
    from workspond.policy.weighted_round_robin import RotationEntry

SLOW_FROM = 1.5  # times its peers' delay, from which a server counts as slow,
SLOW_POWER = 4.0  # and how steeply its weight falls then, so that it gets rest
SLOW_MOST = 10.0  # times its peers' delay that one answer may count for at most
SLOW_SAMPLES, SLOW_FADE_MS = 3.0, 10_000.0  # answers that a delay is averaged over; how soon that fades
REPORT_FADE_MS = 5_000.0  # the time in which a reported queue fades,
QUEUE_POWER = 3  # and by what power of it a weight falls
OVERDUE = 1.5  # a call out for so many times the usual delay makes its server look as slow as one answer
LOST = 4.0  # times its usual delay: a call out for so long that later ones overtook takes no room any more
LEAST_QUEUE = 0.01  # requests: a reported queue that has faded to less counts as none
WEIGHT_STEP = 0.1  # by which a weight may be off before its server is looked at again
RESTART_MS = 100.0  # between two starts of a server at least; clocks that are read anew differ by less


class Server:
    """One server of the list."""

    __slots__ = (
        "cold_budget",
        "cold_budget_per_ms",
        "calls_in_flight",
        "cell",
        "counted_weight",
        "current_weight",
        "refresh_at_ms",
        "ejected",
        "ejected_until_ms",
        "ejections",
        "error_log_odds",
        "id",
        "in_service",
        "in_flight_limit",
        "latest_served_sent_at_ms",
        "stalled_calls",
        "subset_weight",
        "rotation_entry",
        "reported_queue",
        "reported_at_ms",
        "listed_weight",
        "relative_latency_at_ms",
        "relative_latency",
        "started_at_ms",
        "last_used_at_ms",
        "effective_weight",
        "zone",
    )

    def __init__(self, entry: Endpoint, now_ms: float, rng: random.Random) -> None:
        self.id = entry.server_id
        self.calls_in_flight: dict[str, tuple[float, float]] = {}  # when each call out was sent, and its aim
        self.latest_served_sent_at_ms = -math.inf  # when the latest sent of the calls that it served was sent
        self.reported_queue, self.reported_at_ms = (
            0.0,
            now_ms,
        )  # requests it last said were waiting there, and when it did
        self.relative_latency, self.relative_latency_at_ms = (
            1.0,
            now_ms,
        )  # its delay over its peers', averaged, and when that was
        self.ejected_until_ms, self.ejections = -math.inf, 0  # how often in a row
        self.last_used_at_ms = now_ms  # when a connection to it was last in use
        self.error_log_odds = 0.0  # that it fails much more often than its peers
        self.in_flight_limit = math.inf  # once it has turned an attempt away
        self.cold_budget = TokenBucket(
            rng.random(), now_ms
        )  # while cold; random, as all copies learn of it at once
        self.cold_budget_per_ms = 0.0  # what came into it when it was last looked at
        self._read(entry)
        self.subset_weight = self.listed_weight  # of it that is this copy's to use
        # What the selection of servers last found, see `server_selection`.
        self.rotation_entry: RotationEntry | None = None  # in a rotation
        self.current_weight = 0.0  # in rounds of the rotation, while it has no place
        self.effective_weight = 0.0  # 0: not in any rotation yet
        self.counted_weight = 0.0  # of it in the sum of all
        self.stalled_calls, self.ejected = 0, False
        self.refresh_at_ms = math.inf  # when it has to be looked at again

    def update(self, entry: Endpoint) -> bool:
        """Take what the list now says of it; whether anything is new."""
        known = self.zone, self.cell, self.listed_weight, self.in_service, self.started_at_ms
        self._read(entry)
        return known != (self.zone, self.cell, self.listed_weight, self.in_service, self.started_at_ms)

    def _read(self, entry: Endpoint) -> None:
        self.zone, self.cell, self.listed_weight = entry.zone, entry.cell, max(entry.weight, 0.0)
        self.in_service, self.started_at_ms = entry.state is EndpointState.IN_SERVICE, entry.started_at_ms

    def restarted(self, entry: Endpoint) -> bool:
        """Whether the entry tells of a later start than the one known."""
        return (
            entry.started_at_ms is not None
            and entry.started_at_ms > (self.started_at_ms or -math.inf) + RESTART_MS
        )

    @property
    def in_flight(self) -> int:
        """Calls of this copy that are out to it."""
        return len(self.calls_in_flight)

    def _slowness_at(self, now_ms: float) -> float:
        return 1.0 + (self.relative_latency - 1.0) * math.exp(
            (self.relative_latency_at_ms - now_ms) / SLOW_FADE_MS
        )

    def record_latency(self, ratio: float, now_ms: float) -> None:
        """Take the delay of one answer over its peers'."""
        slowness = self._slowness_at(now_ms)
        self.relative_latency, self.relative_latency_at_ms = (
            slowness + (min(ratio, SLOW_MOST) - slowness) / SLOW_SAMPLES,
            now_ms,
        )

    def _waiting_call(self) -> tuple[float, float] | None:
        """The oldest call out that no later one has overtaken: when it was sent, and its aim."""
        # A silent, hung or choked server shows by the oldest call it holds long before a time-out does. Not
        # by one that later ones overtook: it is the connection that died, or that call alone that is long.
        # sulcast-porto-alegre 3646: two dead connections kept two sound servers of four from work for 6 s. It
        # hides a server that answers few and loses the rest, until these time out.
        for call in self.calls_in_flight.values():
            if call[0] >= self.latest_served_sent_at_ms:
                return call
        return None

    def speed_factor(self, now_ms: float, usual_share: float) -> float:
        """What is left of its weight, once it is clearly slower than its peers, or keeps a call waiting."""
        slowness = (
            max(self._slowness_at(now_ms), SLOW_FROM) if self.relative_latency > SLOW_FROM else SLOW_FROM
        )
        if self.calls_in_flight and usual_share and (waiting := self._waiting_call()) is not None:
            slowness = max(slowness, (now_ms - waiting[0]) / (usual_share * waiting[1]) / OVERDUE)
        speed = math.pow(SLOW_FROM / slowness, SLOW_POWER) if slowness > SLOW_FROM else 1.0
        queue = self._queue_at(now_ms) if self.reported_queue else 0.0
        return speed / (1.0 + queue) ** QUEUE_POWER if queue else speed

    def _queue_at(self, now_ms: float) -> float:
        queue = self.reported_queue * math.exp((self.reported_at_ms - now_ms) / REPORT_FADE_MS)
        return queue if queue >= LEAST_QUEUE else 0.0

    def next_speed_change_ms(self, now_ms: float, usual_share: float) -> float:
        """When its speed, or the calls that count as lost, will be another by more than a little."""
        due_ms = math.inf
        slowness = self._slowness_at(now_ms) if self.relative_latency > SLOW_FROM else 1.0
        if slowness > SLOW_FROM:
            due_ms = now_ms + WEIGHT_STEP * SLOW_FADE_MS * slowness / (slowness - 1.0) / SLOW_POWER
        if self.reported_queue and (queue := self._queue_at(now_ms)):
            due_ms = min(due_ms, now_ms + WEIGHT_STEP * REPORT_FADE_MS * (1.0 + queue) / queue / QUEUE_POWER)
        if not self.calls_in_flight or not usual_share:
            return due_ms
        waiting = self._waiting_call()
        if waiting is not None:
            overdue_ms = waiting[0] + OVERDUE * max(slowness, SLOW_FROM) * usual_share * waiting[1]
            step_ms = now_ms + max(1.0, WEIGHT_STEP / SLOW_POWER * (now_ms - waiting[0]))
            due_ms = min(due_ms, max(overdue_ms, step_ms))
        for sent_at_ms, objective_ms in self.calls_in_flight.values():
            lost_ms = sent_at_ms + LOST * usual_share * objective_ms
            if sent_at_ms < self.latest_served_sent_at_ms and now_ms <= lost_ms:
                due_ms = min(due_ms, lost_ms + 1.0)
        return due_ms

    def count_stalled_calls(self, now_ms: float, usual_share: float) -> int:
        """How many of its calls out it can't be working on, as far as can be told."""
        return sum(
            sent_at_ms < self.latest_served_sent_at_ms
            and now_ms - sent_at_ms > LOST * usual_share * objective_ms
            for sent_at_ms, objective_ms in self.calls_in_flight.values()
        )

    def deduplication_group(self, group: DeduplicationScope) -> str | int | None:
        """The group that drops repeats here, as a value to compare; None where all do."""
        return (
            self.zone
            if group is DeduplicationScope.ZONE
            else self.cell
            if group is DeduplicationScope.CELL
            else None
        )
