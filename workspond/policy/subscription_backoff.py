"""The backoff before the node subscribes to the endpoint list again after a failure.

The paper does not cover discovery; this is an addition.
"""

from __future__ import annotations

import random

POLL_INTERVAL_FRACTION = 0.1  # mean backoff, as a fraction of the poll interval
MAX_MEAN_BACKOFF_MS = 300.0
JITTER_FRACTION = 0.5  # a backoff differs from the mean by up to this fraction of it
# The longest possible backoff. The discovery watcher's timing relies on this limit.
MAX_SUBSCRIPTION_BACKOFF_MS = (1.0 + JITTER_FRACTION) * MAX_MEAN_BACKOFF_MS


def subscription_backoff_ms(poll_interval_ms: float, rng: random.Random) -> float:
    """Return a backoff in milliseconds, with random jitter so that replicas do not all subscribe at once.

    The backoff is short even if the poll interval is long. The reason is that the replica is expected to know
    of an update after 6 s, even if its subscription silently failed to deliver the update.

    Args:
        poll_interval_ms: The poll interval from the settings.
        rng: The random number generator for the jitter.
    """
    mean_ms = min(POLL_INTERVAL_FRACTION * poll_interval_ms, MAX_MEAN_BACKOFF_MS)
    return mean_ms * rng.uniform(1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION)
