"""Servers that start cold get what they can bear: a weight by warm-up, and a token bucket each.

Ours; the stated figures come from the rules in the settings.
"""

from __future__ import annotations

from nickelbridge import interface as api
from nickelbridge.averages import Mean
from nickelbridge.retry_controller import RATE_WINDOW_MS, RetryController
from nickelbridge.server import Server

COLD_SHARE = 0.5  # of the stated cold budget that all copies together use


class SlowStart:
    """How warm servers are, and what cold ones may be sent from here."""

    def __init__(self, settings: api.Settings, controller: RetryController) -> None:
        self._settings, self._controller = settings, controller
        self._longest_aim_ms = max(cls.aim_ms for cls in settings.classes)
        # Of the ready servers, what is warm, in the mean over the time that the answer rate is of; and the
        # calls a ms that a warm one answered, over the time in which one warms up.
        self._warm = Mean(RATE_WINDOW_MS)
        self._bears = Mean(max(RATE_WINDOW_MS, settings.ramp_time_ms))

    def warmth(self, server: Server, now: float) -> float:
        """The share of its capacity that a server surely has by now."""
        settings = self._settings
        if server.started_ms is None or not settings.ramp_time_ms:
            return 1.0
        ramp = min(1.0, max(0.0, (now - server.started_ms) / settings.ramp_time_ms))
        return settings.start_capacity + (1.0 - settings.start_capacity) * ramp

    def note_warm_share(self, share: float, now: float) -> None:
        """Take what share of the ready servers' weight there is now."""
        self._warm.note(share, now)

    def budget(self, server: Server, warmth: float, parts: float, now: float) -> float:
        """This copy's part of a cold server's budget, in attempts; its capacity is guessed from its peers.

        From what they answered, over the weight they had meanwhile: over the weight they have now, servers
        that all start anew at once looked five times as able as they were. `parts` is what is this copy's to
        use of all servers.
        """
        warm = max(self._warm.value * parts, server.part)
        answered = self._controller.answers.per_s() / warm / 1000.0
        self._bears.note(answered, now)
        bearable = max(answered, self._bears.value) * server.part  # a lull takes nothing from what they can
        # A new copy has no answers to guess from, and where all are cold it never got any. A server that can
        # answer within the aim at all works off a call in each.
        bearable = max(bearable, server.part / self._longest_aim_ms)
        per_ms = COLD_SHARE * self._settings.overload_factor * warmth * bearable
        return server.budget.refill(per_ms, max(1.0, per_ms * self._settings.overload_for_ms), now)
