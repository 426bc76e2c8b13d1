"""The states of the servers that `decisions` measures."""

from __future__ import annotations

from enum import Enum


class ServerState(Enum):
    """The state of the servers in a run."""

    WARM = "warm"
    HALF_COLD = "half-cold"  # every second server has just started
    EJECTED = "ejected"  # every third server can't be reached
    DRAINING = "draining"  # every second server is draining
    ZONE_GONE = "zone-gone"  # the servers of one of the five zones do not answer
    QUEUES = "queues"  # all servers report queue lengths, some of them above 0
    WEIGHTED = "weighted"  # the servers have different weights
