"""Whether, when and for how long a request may be tried again.

Backoff is the paper's T1, doubling; with jitter and as a share of the aim it is ours, as are the time-outs of
attempts.
"""

from __future__ import annotations

import math
import random

from workspond.policy.call import Call
from workspond.policy.events import Outcome
from workspond.policy.moving_averages import SlidingWindowCounter
from workspond.policy.settings import Idempotency, Settings

RETRY_WAIT_MS, RETRY_WAIT_SHARE = 500.0, 0.05  # T1, or less by aim
TIMEOUT_SHARE = 0.95  # of the time left, for an attempt that another may follow
PATIENT_DELAYS = 8.0  # times its usual delay: the longest that an attempt is waited for,
FIRST_DELAYS = 4.0  # and that the first is, where another may follow: time enough for it within the aim
FIRST_SHARE = 1.25  # of the aim by which that one's answer is usual; later it is worth little
NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class RetryPolicy:
    """What the settings allow for each class."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._settings, self._rng = settings, rng
        # A tick to spare at both edges of the window that the budget of attempts is counted over.
        self._taken = SlidingWindowCounter(settings.retry_budget_window_ms - settings.tick_ms)
        self._further = SlidingWindowCounter(settings.retry_budget_window_ms + settings.tick_ms)
        self._never_ran = NEVER_RAN - ({Outcome.REJECTED} if settings.rejected_may_have_run else set())

    def count_request(self, now_ms: float) -> None:
        """Count a request for the budget of further attempts."""
        self._taken.add(now_ms)

    def count_retry(self, now_ms: float) -> None:
        """Count an attempt beyond a request's first."""
        self._further.add(now_ms)

    def within_retry_budget(self, now_ms: float) -> bool:
        """Whether the stated budget of attempts beyond the first bears one more now."""
        ratio, taken = self._settings.retry_budget_ratio, self._taken.count(now_ms)
        return (
            ratio is None
            or self._further.count(now_ms) + 1 <= self._settings.retry_budget_floor + ratio * taken
        )

    def may_have_run(self, result: Outcome) -> bool:
        """Whether an attempt that ended so may have run."""
        return result not in self._never_ran

    def may_be_repeated(self, call: Call, now_ms: float) -> bool:
        """Whether the class lets the call go out (again)."""
        return now_ms < self.repeat_deadline_at_ms(call)

    def repeat_deadline_at_ms(self, call: Call) -> float:
        """From when on the call must not go out (again)."""
        if call.first_possible_run_at_ms is None or call.request_class.idempotency is Idempotency.IDEMPOTENT:
            return math.inf
        if call.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return -math.inf
        return (
            call.first_possible_run_at_ms
            + call.request_class.deduplication_window_ms
            - self._settings.tick_ms
        )

    def _backoff_ms(self, call: Call) -> float:
        base = min(RETRY_WAIT_MS, RETRY_WAIT_SHARE * call.request_class.objective_ms)
        return base * 2.0 ** max(0, call.attempts - 1)

    def next_wait_ms(self, call: Call, now_ms: float, usual_share: float, waited_ms: float) -> float | None:
        """The wait before the next attempt, doubling; None where none can be made in time.

        `usual_share` is the usual delay over the aim; `waited_ms` has passed already.
        """
        wait_ms = max(0.0, self._backoff_ms(call) * (0.5 + self._rng.random()) - waited_ms)
        # Its answer must still be able to come: tier 0 sent retries with 3 ms left, all of them waste.
        starts_ms = (
            now_ms
            + wait_ms
            + max(2.0 * self._settings.tick_ms, usual_share * call.request_class.objective_ms)
        )
        more = call.attempts < self._settings.max_attempts and self.may_be_repeated(call, starts_ms)
        return wait_ms if starts_ms < call.useful_until_ms and more else None

    def attempt_timeout_ms(self, call: Call, left_ms: float, usual_share: float, measured: bool) -> float:
        """How long the attempt that has just been counted is waited for; `measured`: the usual delay is."""
        request_class, settings = call.request_class, self._settings
        once = request_class.idempotency is Idempotency.NON_IDEMPOTENT
        last = once or call.attempts == settings.max_attempts
        longest_ms = left_ms if last else TIMEOUT_SHARE * left_ms
        # i2750ee: calls to a lost zone that wait out a whole deadline fill the slots of the tier above.
        # Only where a second attempt can still be answered within the aim: in churn+long a slow tier's calls
        # were cut for one that met a full window, and ended.
        # The aim is the whole chain's: rota, at the last of three tiers calls were cut at half of it and sent
        # again, while the boxes went on working for them.
        in_time = (FIRST_DELAYS + 1.0) * usual_share <= FIRST_SHARE / (1 + settings.tier)
        delays = FIRST_DELAYS if call.attempts == 1 and not once and in_time else PATIENT_DELAYS
        # The retry waits its back-off from this send in any case: given up sooner, an attempt is only lost.
        usual_ms = max(delays * usual_share * request_class.objective_ms, self._backoff_ms(call))
        return min(usual_ms if measured else left_ms, longest_ms)
