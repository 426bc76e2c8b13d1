"""The load that all replicas together send to cold servers, with 3 to 30 replicas and several seeds.

The scenarios are difficult cases: replicas that restart during the ramp, that learn of the cold servers
seconds apart, or that get a complete list again and again; low load followed by a burst; heavy requests among
light ones; all servers cold at once, with a load that they can or can't serve. Each test prints the maximum
window ratio.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.cold_start_simulation import MIXED_CLASSES, ColdStartSimulation, Scenario

SEEDS = (1, 2, 3)
# The minimum work sent to cold servers, as a fraction of `SENT_RATIO_WITHOUT_SHARED_LIMIT`: the limit on the
# sum over all replicas must not starve them.
MIN_SENT_FRACTION = 2.0 / 3.0


def lull_then_burst(at_ms: float) -> float:
    """Return 0.6, but 0.05 from 1 s to 5 s, and 1.6, too much for the warm servers, from 5 s to 8 s."""
    if 1000.0 <= at_ms < 5000.0:
        return 0.05
    return 1.6 if 5000.0 <= at_ms < 8000.0 else 0.6


ALL_COLD = Scenario(warm=0, cold=6)
SCENARIOS = {
    "servers join": Scenario(),
    "replicas restart": Scenario(replica_restarts_at_ms=(1500.0, 3000.0, 4500.0)),
    "replicas learn seconds apart": Scenario(update_spread_ms=4000.0),
    "a lull and a burst": Scenario(load=lull_then_burst),
    "heavy requests, a lull and a burst": Scenario(load=lull_then_burst, work_classes=MIXED_CLASSES),
    "a list every 0.3 s, a lull and a burst": Scenario(load=lull_then_burst, update_interval_ms=300.0),
    "all of these at once": Scenario(
        load=lull_then_burst,
        update_spread_ms=2000.0,
        replica_restarts_at_ms=(2000.0, 5200.0),
        work_classes=MIXED_CLASSES,
    ),
    "all servers cold, low load": replace(ALL_COLD, load=lambda at_ms: 0.3 if at_ms > 0.0 else 0.6),
    "all servers cold, high load": replace(ALL_COLD, load=lambda _: 0.9),
    "all servers cold, replicas restart": replace(ALL_COLD, replica_restarts_at_ms=(10.0, 200.0, 400.0)),
}
REPLICA_COUNTS = (3, 10, 20, 30)
# The work sent to cold servers in these scenarios and seeds before the budget limited the sum over all
# replicas, as a ratio of the work that the servers could have done; by number of replicas.
SENT_RATIO_WITHOUT_SHARED_LIMIT = {
    "servers join": (0.41, 0.50, 0.49, 0.46),
    "replicas restart": (0.42, 0.49, 0.49, 0.44),
    "replicas learn seconds apart": (0.40, 0.46, 0.45, 0.43),
    "a lull and a burst": (0.63, 0.74, 0.78, 0.76),
    "heavy requests, a lull and a burst": (0.66, 0.67, 0.67, 0.65),
    "a list every 0.3 s, a lull and a burst": (0.63, 0.73, 0.77, 0.72),
    "all of these at once": (0.64, 0.64, 0.63, 0.60),
    "all servers cold, low load": (0.51, 0.54, 0.54, 0.50),
    "all servers cold, high load": (1.50, 1.45, 1.47, 1.41),
    "all servers cold, replicas restart": (0.87, 0.77, 0.75, 0.61),
}


@pytest.mark.parametrize("replicas", REPLICA_COUNTS)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_replicas_together_neither_overload_nor_starve_a_cold_server(scenario: str, replicas: int) -> None:
    """With all servers cold, the maximum window once had 1.03 to 1.34 times the allowed work."""
    simulations = [ColdStartSimulation(SCENARIOS[scenario], replicas, seed) for seed in SEEDS]
    max_window_ratio = max(simulation.max_window_ratio() for simulation in simulations)
    sent_ratio = sum(simulation.sent_work_ratio() for simulation in simulations) / len(SEEDS)
    print(
        f"{scenario}, {replicas} replicas: maximum window ratio {max_window_ratio:.2f}, sent {sent_ratio:.2f}"
    )
    assert max_window_ratio <= 1.0
    sent_ratio_before = SENT_RATIO_WITHOUT_SHARED_LIMIT[scenario][REPLICA_COUNTS.index(replicas)]
    assert sent_ratio >= MIN_SENT_FRACTION * sent_ratio_before
