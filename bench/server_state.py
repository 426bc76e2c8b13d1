"""What the servers of a run of `decisions` are like."""

from __future__ import annotations

from enum import Enum


class ServerState(Enum):
    """One state of the servers of a run."""

    WARM = "warm"
    HALF_COLD = "half-cold"  # every second one has just started
    EJECTED = "ejected"  # a third can't be reached
    DRAINING = "draining"  # half are
    ZONE_GONE = "zone-gone"  # those of one zone of five are silent
    QUEUES = "queues"  # all report a queue now and then
    WEIGHTED = "weighted"  # each has a weight of its own
