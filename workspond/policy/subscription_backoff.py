"""How long to wait before discovery is asked again after a failure. Ours."""

from __future__ import annotations

import random

ASK_SHARE, ASK_MOST_MS = 0.1, 300.0  # of the asking interval: the mean wait, and its most
ASK_JITTER = 0.5  # by what share of it a wait is shorter or longer
ASK_LONGEST_MS = (1.0 + ASK_JITTER) * ASK_MOST_MS  # workspond/discovery/watcher.py counts on it


def subscription_backoff_ms(poll_interval_ms: float, rng: random.Random) -> float:
    """A wait with jitter, so that copies do not ask in step.

    What a silent subscription leaves unsaid counts as told after 6 s, however seldom one may ask.
    """
    mean_ms = min(ASK_SHARE * poll_interval_ms, ASK_MOST_MS)
    return mean_ms * rng.uniform(1.0 - ASK_JITTER, 1.0 + ASK_JITTER)
