"""The number of attempts that a replica may have in flight, by Little's law.

Little's law: the mean number of requests in a system is their arrival rate times the mean time that each of
them stays. If a replica gets `response_rate` responses per second, and the delay should stay within a
fraction of the latency objective, then at most `response_rate * fraction * objective` attempts should be in
flight.

This limit alone could only shrink, because fewer attempts in flight lead to a lower response rate. Therefore
a few attempts per server are added. They let the limit grow as long as that increases the response rate.
"""

from __future__ import annotations

from workspond.policy.retry_controller import RetryController

DELAY_OBJECTIVE_RATIO = 0.3  # the delay used in Little's law, as a fraction of the latency objective
# The addition depends on the number of servers per replica, so that the limits of all replicas grow alike.
ADDED_ATTEMPTS_PER_SERVER = 2.0
# The limit while all retries are allowed is at least this: a replica with little load sends its few attempts
# in bursts.
MIN_LIMIT = 3.0
# The limit per server while the response rate has been measured for less than `MIN_MEASURED_TIME_S`.
INITIAL_LIMIT_PER_SERVER = 4.0
MIN_MEASURED_TIME_S = 1.0


def concurrency_limit(controller: RetryController, servers: float, now_ms: float) -> float:
    """Return how many attempts may be in flight, and advance the time of the response rate.

    Args:
        controller: The controller that measures response rate and delay.
        servers: The number of servers in service divided by the number of replicas.
        now_ms: The current time.
    """
    response_rate = controller.response_rate
    if response_rate.span_s < MIN_MEASURED_TIME_S:
        # Without a limit in its first second, a replica can overload a whole tier. Each response ends an
        # attempt and raises the limit by one, so two more attempts can be sent.
        return INITIAL_LIMIT_PER_SERVER * servers + response_rate.events
    response_rate.record(0.0, now_ms)
    # Without the addition, the limit keeps shrinking where the normal delay exceeds its fraction of the
    # objective. With the full addition at any delay, the addition alone can keep the delay over the target,
    # as two attempts are too many for a server that processes one at a time.
    added = ADDED_ATTEMPTS_PER_SERVER * servers / max(1.0, controller.delay_target_ratio())
    limit = added + response_rate.per_s() * DELAY_OBJECTIVE_RATIO * controller.mean_objective_s()
    return limit + max(0.0, MIN_LIMIT - limit) * controller.retry_fraction()
