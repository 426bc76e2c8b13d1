"""Whether and when a request may be retried, and how long each attempt may take.

From the paper: the backoff T1, which doubles with each attempt. Additions: its jitter, its limit relative to
the latency objective, and the timeouts of attempts.
"""

from __future__ import annotations

import math
import random

from workspond.policy.call import Call
from workspond.policy.events import Outcome
from workspond.policy.moving_averages import SlidingWindowCounter
from workspond.policy.settings import DeduplicationScope, Idempotency, Settings

MAX_BASE_BACKOFF_MS = 500.0  # T1, the backoff before the first retry
BASE_BACKOFF_FRACTION = 0.05  # of the latency objective, where that is less than T1
# An attempt that can be followed by another times out after this fraction of the time left.
TIMEOUT_FRACTION = 0.95
MAX_TIMEOUT_DELAYS = 8.0  # multiple of the usual delay after which an attempt times out
# The same for a first attempt, where a second one can be answered in time.
FIRST_TIMEOUT_DELAYS = 4.0
# "In time" for that second attempt: within this multiple of the latency objective. A later answer has little
# value.
SECOND_ANSWER_OBJECTIVE_RATIO = 1.25
# Outcomes that prove that an attempt never ran; without `REJECTED` where the settings say so.
NEVER_RAN_OUTCOMES = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class RetryPolicy:
    """What the settings allow, by the class of the request.

    Methods take the usual delay as `objective_ratio`: a fraction of the latency objective, see
    `request_statistics.TypicalDelay`.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        # A tick to spare at both ends of the window of the retry budget.
        self._requests = SlidingWindowCounter(settings.retry_budget_window_ms - settings.tick_ms)
        self._retries = SlidingWindowCounter(settings.retry_budget_window_ms + settings.tick_ms)
        rejected = {Outcome.REJECTED} if settings.rejected_may_have_run else set()
        self._never_ran_outcomes = NEVER_RAN_OUTCOMES - rejected
        # The objective is that of the whole chain of tiers, so each tier has a part of it. Otherwise a later
        # tier would cut its attempts while its servers go on working for them.
        self._second_answer_objective_ratio = SECOND_ANSWER_OBJECTIVE_RATIO / (1 + settings.tier)

    def count_request(self, now_ms: float) -> None:
        """Count a new request for the retry budget."""
        self._requests.add(now_ms)

    def count_retry(self, now_ms: float) -> None:
        """Count an attempt beyond a request's first for the retry budget."""
        self._retries.add(now_ms)

    def within_retry_budget(self, now_ms: float) -> bool:
        """Whether one more retry now stays within the retry budget of the settings, if there is one."""
        ratio = self._settings.retry_budget_ratio
        if ratio is None:
            return True
        allowed = self._settings.retry_budget_floor + ratio * self._requests.count(now_ms)
        return self._retries.count(now_ms) + 1 <= allowed

    def may_have_run(self, outcome: Outcome) -> bool:
        """Whether an attempt with this outcome may have run on the server."""
        return outcome not in self._never_ran_outcomes

    def may_be_repeated(self, call: Call, now_ms: float) -> bool:
        """Whether the class lets the request be sent (again) at this moment."""
        return now_ms < self.repeat_deadline_at_ms(call)

    def repeat_deadline_at_ms(self, call: Call) -> float:
        """Return from when on the request must not be sent (again)."""
        if call.first_possible_run_at_ms is None or call.request_class.idempotency is Idempotency.IDEMPOTENT:
            return math.inf
        if call.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return -math.inf
        deduplicated_until_ms = call.first_possible_run_at_ms + call.request_class.deduplication_window_ms
        return deduplicated_until_ms - self._settings.tick_ms

    def is_client_retry_harmless(self, call: Call) -> bool:
        """Whether the client may send the request again without running it twice (rule 6).

        A client's retry may go to any server. So a request with an idempotency key that may have run is only
        harmless if all servers drop its repeats.
        """
        if call.attempt_in_flight:
            return False
        if call.first_possible_run_at_ms is None:
            return True
        request_class = call.request_class
        if request_class.idempotency is Idempotency.KEYED:
            return request_class.deduplication_scope is DeduplicationScope.ALL
        return request_class.idempotency is Idempotency.IDEMPOTENT

    def _backoff_ms(self, call: Call) -> float:
        """Return the backoff after the last attempt, without jitter."""
        base_ms = min(MAX_BASE_BACKOFF_MS, BASE_BACKOFF_FRACTION * call.request_class.objective_ms)
        return base_ms * 2.0 ** max(0, call.attempts - 1)

    def next_wait_ms(
        self, call: Call, now_ms: float, objective_ratio: float, waited_ms: float
    ) -> float | None:
        """Draw the wait before the next attempt.

        Args:
            call: The request.
            now_ms: The present moment.
            objective_ratio: The usual delay over the latency objective.
            waited_ms: The part of the backoff that has passed already.

        Returns:
            The wait in milliseconds; None if no further attempt is allowed, or none can be answered in time.
        """
        wait_ms = max(0.0, self._backoff_ms(call) * (0.5 + self._rng.random()) - waited_ms)
        # An attempt is only worth its work if there is time left for its answer.
        usual_delay_ms = objective_ratio * call.request_class.objective_ms
        answered_at_ms = now_ms + wait_ms + max(2.0 * self._settings.tick_ms, usual_delay_ms)
        is_allowed = call.attempts < self._settings.max_attempts and self.may_be_repeated(
            call, answered_at_ms
        )
        return wait_ms if answered_at_ms < call.useful_until_ms and is_allowed else None

    def attempt_timeout_ms(
        self, call: Call, remaining_ms: float, objective_ratio: float, *, is_delay_known: bool
    ) -> float:
        """Return the timeout of the attempt that has just been counted in `call.attempts`.

        Args:
            call: The request.
            remaining_ms: The time to the deadline of the request.
            objective_ratio: The usual delay over the latency objective.
            is_delay_known: Whether there are enough samples for the usual delay.
        """
        is_repeatable = call.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        is_last = not is_repeatable or call.attempts == self._settings.max_attempts
        longest_ms = remaining_ms if is_last else TIMEOUT_FRACTION * remaining_ms
        if not is_delay_known:
            return min(remaining_ms, longest_ms)
        # Attempts to servers that are lost must not wait for the whole deadline, as they occupy the tier
        # above meanwhile. So a first attempt times out early, but only if a second one can still be answered
        # in time: in a slow tier, attempts would be cut for others that meet the same delay.
        second_answer_ratio = (FIRST_TIMEOUT_DELAYS + 1.0) * objective_ratio
        is_second_in_time = second_answer_ratio <= self._second_answer_objective_ratio
        is_early = call.attempts == 1 and is_repeatable and is_second_in_time
        delays = FIRST_TIMEOUT_DELAYS if is_early else MAX_TIMEOUT_DELAYS
        # The retry waits its backoff from the send of this attempt in any case. To give the attempt up sooner
        # than that loses it for nothing.
        timeout_ms = max(delays * objective_ratio * call.request_class.objective_ms, self._backoff_ms(call))
        return min(timeout_ms, longest_ms)
