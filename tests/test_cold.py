"""Servers that start cold under what all replicas send: 3, 10, 20 and 30 of them, over several seeds.

The scenarios are what may go wrong: replicas that restart in the middle of the ramp, that learn of the start
seconds apart, that get a complete list again and again; a lull and then a burst; heavy calls among light
ones; all servers cold at once, under a load that they can serve or not. Each test prints the worst window.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.coldfleet import HEAVY, ColdFleet, Scenario

SEEDS = (1, 2, 3)
# Of what was sent to cold servers before the sum over all replicas was limited: they are not to be starved.
MIN_SENT_FRACTION = 2.0 / 3.0


def lull(at_ms: float) -> float:
    """Return little load, then more than the warm servers can serve, then the usual one."""
    if 1000.0 <= at_ms < 5000.0:
        return 0.05
    return 1.6 if 5000.0 <= at_ms < 8000.0 else 0.6


ALL_COLD = Scenario(warm=0, cold=6)
SCENARIOS = {
    "a join": Scenario(),
    "copies start anew": Scenario(replica_restarts_at_ms=(1500.0, 3000.0, 4500.0)),
    "copies hear seconds apart": Scenario(update_spread_ms=4000.0),
    "a lull and a burst": Scenario(load=lull),
    "heavy calls, a lull and a burst": Scenario(load=lull, work_classes=HEAVY),
    "a list each 0.3 s, a lull and a burst": Scenario(load=lull, update_interval_ms=300.0),
    "all at once": Scenario(
        load=lull, update_spread_ms=2000.0, replica_restarts_at_ms=(2000.0, 5200.0), work_classes=HEAVY
    ),
    "all cold, less load": replace(ALL_COLD, load=lambda at_ms: 0.3 if at_ms > 0.0 else 0.6),
    "all cold": replace(ALL_COLD, load=lambda _: 0.9),
    "all cold, and copies start anew": replace(ALL_COLD, replica_restarts_at_ms=(10.0, 200.0, 400.0)),
}
REPLICAS = (3, 10, 20, 30)
# What cold servers were sent in these scenarios and seeds, as a ratio of what they could serve, before the
# budget was limited to what all replicas send; by number of replicas.
SENT_RATIO_BEFORE = {
    "a join": (0.41, 0.50, 0.49, 0.46),
    "copies start anew": (0.42, 0.49, 0.49, 0.44),
    "copies hear seconds apart": (0.40, 0.46, 0.45, 0.43),
    "a lull and a burst": (0.63, 0.74, 0.78, 0.76),
    "heavy calls, a lull and a burst": (0.66, 0.67, 0.67, 0.65),
    "a list each 0.3 s, a lull and a burst": (0.63, 0.73, 0.77, 0.72),
    "all at once": (0.64, 0.64, 0.63, 0.60),
    "all cold, less load": (0.51, 0.54, 0.54, 0.50),
    "all cold": (1.50, 1.45, 1.47, 1.41),
    "all cold, and copies start anew": (0.87, 0.77, 0.75, 0.61),
}


@pytest.mark.parametrize("replicas", REPLICAS)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_all_copies_together_keep_a_cold_server_up_and_do_not_starve_it(scenario: str, replicas: int) -> None:
    """With all servers cold the worst window had 1.03 to 1.34 times what is allowed."""
    fleets = [ColdFleet(SCENARIOS[scenario], replicas, seed) for seed in SEEDS]
    worst = max(fleet.worst_window() for fleet in fleets)
    sent = sum(fleet.sent_ratio() for fleet in fleets) / len(SEEDS)
    print(f"{scenario}, {replicas} replicas: worst window {worst:.2f} of what is allowed, sent {sent:.2f}")
    assert worst <= 1.0
    assert sent >= MIN_SENT_FRACTION * SENT_RATIO_BEFORE[scenario][REPLICAS.index(replicas)]
