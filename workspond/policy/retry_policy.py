"""Whether and when a request may be retried, and how long each attempt may take.

The backoff T1, which doubles with each attempt, is from the paper. Its jitter, its limit relative to the
latency objective, and the timeouts of attempts are additions.
"""

from __future__ import annotations

import math
import random

from workspond.policy.call import Call
from workspond.policy.events import Outcome
from workspond.policy.moving_averages import SlidingWindowCounter
from workspond.policy.settings import DeduplicationScope, Idempotency, Settings

MAX_BASE_BACKOFF_MS = 500.0  # T1 in the paper
# The backoff before the first retry is this fraction of the latency objective, if that is less than T1.
BASE_BACKOFF_FRACTION = 0.05
# An attempt that another one can follow times out at the latest after this fraction of the remaining time.
REMAINING_TIME_FRACTION = 0.95
TIMEOUT_DELAY_RATIO = 8.0  # an attempt times out after this multiple of the typical delay
# The timeout of a first attempt, as a multiple of the typical delay, if a second one can be answered in time.
FIRST_TIMEOUT_DELAY_RATIO = 4.0
# A second attempt is answered in time if its answer comes within this multiple of the latency objective.
# Later answers have little value.
SECOND_ANSWER_OBJECTIVE_RATIO = 1.25
# The outcomes after which it is certain that an attempt never ran. `RetryPolicy` excludes `REJECTED` if
# `Settings.rejected_may_have_run` is set.
NEVER_RAN_OUTCOMES = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class RetryPolicy:
    """Decides on retries, backoffs and timeouts by the settings and the class of the request.

    Methods take the typical delay as `objective_ratio`, a fraction of the latency objective; see
    `request_statistics.TypicalDelay`.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        # The window for requests is a tick shorter than the budget's window and the one for retries a tick
        # longer, as a safety margin.
        self._requests = SlidingWindowCounter(settings.retry_budget_window_ms - settings.tick_ms)
        self._retries = SlidingWindowCounter(settings.retry_budget_window_ms + settings.tick_ms)
        rejected = {Outcome.REJECTED} if settings.rejected_may_have_run else set()
        self._never_ran_outcomes = NEVER_RAN_OUTCOMES - rejected
        # The objective applies to the whole chain of tiers, so each tier gets only a part of it. Otherwise a
        # later tier would time out its attempts while its servers continue to work on them.
        self._second_answer_objective_ratio = SECOND_ANSWER_OBJECTIVE_RATIO / (1 + settings.tier)

    def count_request(self, now_ms: float) -> None:
        """Count a new request for the retry budget."""
        self._requests.add(now_ms)

    def count_retry(self, now_ms: float) -> None:
        """Count a retry for the retry budget: any attempt of a request after the first."""
        self._retries.add(now_ms)

    def within_retry_budget(self, now_ms: float) -> bool:
        """Return whether one more retry now is within the retry budget; True if there is no budget."""
        ratio = self._settings.retry_budget_ratio
        if ratio is None:
            return True
        allowed = self._settings.retry_budget_floor + ratio * self._requests.count(now_ms)
        return self._retries.count(now_ms) + 1 <= allowed

    def may_have_run(self, outcome: Outcome) -> bool:
        """Return whether an attempt with this outcome may have run on the server."""
        return outcome not in self._never_ran_outcomes

    def may_be_repeated(self, call: Call, now_ms: float) -> bool:
        """Return whether the idempotency of the request allows an attempt at `now_ms`."""
        return now_ms < self.repeat_deadline_at_ms(call)

    def repeat_deadline_at_ms(self, call: Call) -> float:
        """Return the time from which the request must no longer be sent.

        This is infinity if there is no limit, and minus infinity if the request is not idempotent and may
        have run.
        """
        if call.first_possible_run_at_ms is None or call.request_class.idempotency is Idempotency.IDEMPOTENT:
            return math.inf
        if call.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return -math.inf
        deduplicated_until_ms = call.first_possible_run_at_ms + call.request_class.deduplication_window_ms
        return deduplicated_until_ms - self._settings.tick_ms

    def is_client_retry_harmless(self, call: Call) -> bool:
        """Return whether the client may retry the request without the risk of a duplicate run (rule 6).

        A client's retry may go to any server. So for a request with an idempotency key that may have run, a
        retry is only harmless if all servers form one deduplication group.
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
        self, call: Call, now_ms: float, objective_ratio: float, elapsed_backoff_ms: float
    ) -> float | None:
        """Return the wait before the next attempt, with random jitter.

        Args:
            call: The request.
            now_ms: The current time.
            objective_ratio: The typical delay divided by the latency objective.
            elapsed_backoff_ms: The part of the backoff that has already passed.

        Returns:
            The wait in milliseconds; None if no further attempt is allowed or can be answered in time.
        """
        wait_ms = max(0.0, self._backoff_ms(call) * (0.5 + self._rng.random()) - elapsed_backoff_ms)
        # An attempt is a waste of work if its answer is expected too late.
        typical_delay_ms = objective_ratio * call.request_class.objective_ms
        answered_at_ms = now_ms + wait_ms + max(2.0 * self._settings.tick_ms, typical_delay_ms)
        is_allowed = call.attempts < self._settings.max_attempts and self.may_be_repeated(
            call, answered_at_ms
        )
        return wait_ms if answered_at_ms < call.useful_until_ms and is_allowed else None

    def attempt_timeout_ms(
        self, call: Call, remaining_ms: float, objective_ratio: float, *, is_delay_known: bool
    ) -> float:
        """Return the timeout of an attempt that is being sent and is already counted in `call.attempts`.

        Args:
            call: The request.
            remaining_ms: The time to the deadline of the request.
            objective_ratio: The typical delay divided by the latency objective.
            is_delay_known: Whether there are enough samples of the delay.
        """
        is_repeatable = call.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        is_last = not is_repeatable or call.attempts == self._settings.max_attempts
        max_timeout_ms = remaining_ms if is_last else REMAINING_TIME_FRACTION * remaining_ms
        if not is_delay_known:
            return min(remaining_ms, max_timeout_ms)
        # Attempts to unreachable servers must not wait until the deadline, as they occupy the previous tier
        # during that time. So a first attempt times out early, but only if a second one can still be answered
        # in time. In a slow tier, the second attempt would only meet the same delay.
        second_answer_ratio = (FIRST_TIMEOUT_DELAY_RATIO + 1.0) * objective_ratio
        is_second_in_time = second_answer_ratio <= self._second_answer_objective_ratio
        is_early = call.attempts == 1 and is_repeatable and is_second_in_time
        delay_ratio = FIRST_TIMEOUT_DELAY_RATIO if is_early else TIMEOUT_DELAY_RATIO
        # The timeout is at least the backoff: the retry waits for the backoff, counted from the start of this
        # attempt, in any case, so an earlier timeout would gain nothing.
        timeout_ms = max(
            delay_ratio * objective_ratio * call.request_class.objective_ms, self._backoff_ms(call)
        )
        return min(timeout_ms, max_timeout_ms)
