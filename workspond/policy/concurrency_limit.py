"""How many attempts a replica may have in flight, by Little's law.

Little's law: the mean number of requests in a system is their arrival rate times the mean time that each
stays. A replica that gets `response_rate` responses per second, and wants each delay to stay within a
fraction of the latency objective, should therefore have no more than `response_rate * fraction * objective`
attempts in flight.

On its own this limit could only shrink, because fewer attempts in flight give a lower response rate. So a few
attempts per server are added; they let the limit grow as long as the servers answer faster for it.
"""

from __future__ import annotations

from workspond.policy.retry_controller import RetryController

DELAY_OBJECTIVE_RATIO = 0.3  # the delay that Little's law is applied to, as a fraction of the objective
# Attempts added for each server that falls to this replica: by server, so that the limits of all replicas
# grow alike.
ADDED_PER_SERVER = 2.0
# While retries are allowed the limit is at least this, as the few attempts of a quiet replica come in
# bunches.
MIN_LIMIT = 3.0
INITIAL_PER_SERVER = 4.0  # the limit for each server before the response rate is known
MIN_MEASURED_S = 1.0  # time after which the response rate counts as known


def concurrency_limit(controller: RetryController, servers: float, now_ms: float) -> float:
    """Return how many attempts may be in flight; also advances the time of the response rate.

    Args:
        controller: The controller that measures response rate and delay.
        servers: How many servers fall to this replica, with the fleet divided evenly among all replicas.
        now_ms: The present moment.
    """
    response_rate = controller.response_rate
    if response_rate.span_s < MIN_MEASURED_S:
        # A replica without a limit in its first second can choke a whole tier. Each response raises the limit
        # by one and ends an attempt, so that two more can be sent.
        return INITIAL_PER_SERVER * servers + response_rate.events
    response_rate.record(0.0, now_ms)
    # With nothing added, the limit spirals down where the normal delay is over its fraction of the objective.
    # With the full addition at any delay, the addition alone can hold the delay over the target: two attempts
    # are too many for a server that works on one at a time.
    added = ADDED_PER_SERVER * servers / max(1.0, controller.delay_over_target())
    limit = added + response_rate.per_s() * DELAY_OBJECTIVE_RATIO * controller.mean_objective_s()
    return limit + max(0.0, MIN_LIMIT - limit) * controller.retry_fraction()
