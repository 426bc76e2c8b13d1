"""Backoff before the node subscribes to the endpoint list again after a failure.

The paper does not cover discovery; this is an addition.
"""

from __future__ import annotations

import random

POLL_INTERVAL_FRACTION = 0.1  # mean backoff, as a fraction of the poll interval
MAX_MEAN_BACKOFF_MS = 300.0  # upper limit of the mean backoff
JITTER_FRACTION = 0.5  # a backoff is shorter or longer than the mean by up to this fraction of it
# The longest backoff that can be drawn. The discovery watcher's own timing relies on this limit.
MAX_SUBSCRIPTION_BACKOFF_MS = (1.0 + JITTER_FRACTION) * MAX_MEAN_BACKOFF_MS


def subscription_backoff_ms(poll_interval_ms: float, rng: random.Random) -> float:
    """Draw a backoff in milliseconds, with jitter so that replicas do not subscribe in step.

    The backoff is short however rarely polling is allowed: an update that a silent subscription fails to
    deliver counts as received after 6 s.
    """
    mean_ms = min(POLL_INTERVAL_FRACTION * poll_interval_ms, MAX_MEAN_BACKOFF_MS)
    return mean_ms * rng.uniform(1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION)
