"""The retry controller, checked against the equations of the paper, and the concurrency limit."""

import math

import pytest

from workspond.policy.concurrency_limit import (
    ADDED_ATTEMPTS_PER_SERVER,
    DELAY_OBJECTIVE_RATIO,
    INITIAL_LIMIT_PER_SERVER,
    concurrency_limit,
)
from workspond.policy.retry_controller import PHASE_MARGIN, RetryController


def record_responses(
    controller: RetryController, delay_ms: float, count: int, gap_ms: float = 100.0
) -> float:
    """Record `count` successful responses of the same delay, and return the time of the last one."""
    now_ms = 0.0
    for _ in range(count):
        now_ms += gap_ms
        controller.record_response(delay_ms, 1000.0, now_ms, is_success=True)
    return now_ms


def test_gains_follow_equations_40_and_41() -> None:
    assert math.degrees(PHASE_MARGIN) == pytest.approx(45.0)
    controller = RetryController()
    # tan 45 = 1: KP = KI = nu1 / sqrt 2
    assert controller._kp == pytest.approx(0.7071068)
    assert controller._ki == pytest.approx(0.7071068)


def test_delay_under_the_target_allows_all_retries() -> None:
    controller = RetryController()
    now_ms = record_responses(controller, 100.0, 50)
    assert controller.retry_probability(now_ms) == 1.0


def test_delay_over_the_target_allows_no_retries() -> None:
    controller = RetryController()
    now_ms = record_responses(controller, 2000.0, 50)
    assert controller.retry_probability(now_ms) == 0.0


def test_integral_and_allowed_rate_equal_the_values_calculated_by_hand() -> None:
    """Two responses, one second apart. The objective is 1 s, so tau0 = 0.4 s; the first has e = 0.3 s."""
    controller = RetryController()
    controller.record_response(100.0, 1000.0, 1000.0, is_success=True)
    # nu1 = 1 / 1 s. A new replica starts with its integral at nu1, the upper limit of integral and r.
    assert controller.tuned_rate == pytest.approx(1.0)
    assert controller.integral == pytest.approx(1.0)
    assert controller.allowed_rate == pytest.approx(1.0)
    controller.record_response(1300.0, 1000.0, 2000.0, is_success=True)
    # The first sample has decayed by exp(-1/5), and the sum is divided by MIN_DELAY_SAMPLES = 4:
    # e = (0.3 * 0.81873 - 0.9) / 4 = -0.16360. nu1 = 1 + exp(-1/5) = 1.8187 is above 1.5 times nu10, so the
    # gains are retuned and the integral is scaled with them.
    rate, error = 1.0 + math.exp(-0.2), (0.3 * math.exp(-0.2) - 0.9) / 4.0
    assert controller.tuned_rate == pytest.approx(rate)
    integral = rate + rate * math.sqrt(0.5) * error
    assert controller.integral == pytest.approx(integral)
    assert controller.allowed_rate == pytest.approx(rate * math.sqrt(0.5) * error + integral)


def test_integral_covers_the_whole_time_between_responses() -> None:
    """The concurrency limit advances the time of the response rate, but must not shorten the integral's."""
    without_limit = RetryController()
    with_limit = RetryController()
    for controller in (without_limit, with_limit):
        now_ms = 1000.0
        for _ in range(30):
            now_ms += 200.0
            if controller is with_limit:
                concurrency_limit(controller, 1.0, now_ms - 10.0)
            controller.record_response(700.0, 1000.0, now_ms, is_success=True)
    assert with_limit.integral == pytest.approx(without_limit.integral, rel=0.01)
    assert 0.0 < without_limit.shed_fraction(now_ms) < 1.0


def test_shed_fraction_decays_as_its_samples_age() -> None:
    """Without the decay, a replica would keep shedding because of old samples, and get no new ones."""
    controller = RetryController()
    now_ms = record_responses(controller, 2000.0, 50)
    shed_fraction = controller.shed_fraction(now_ms)
    assert shed_fraction > 0.5
    assert controller.shed_fraction(now_ms + 20_000.0) <= 0.2 * shed_fraction
    controller.record_response(100.0, 1000.0, now_ms + 20_000.0, is_success=True)
    assert controller.shed_fraction(now_ms + 20_000.0) < 0.5 * shed_fraction


def test_gains_are_kept_while_the_rate_is_in_the_retune_range() -> None:
    controller = RetryController()
    now_ms = record_responses(controller, 100.0, 300)
    tuned_rate_before = controller.tuned_rate
    for _ in range(20):  # a response rate ten percent higher
        now_ms += 90.0
        controller.record_response(100.0, 1000.0, now_ms, is_success=True)
    assert controller.tuned_rate == tuned_rate_before


def test_all_retries_are_allowed_again_soon_after_a_long_overload() -> None:
    """Anti-windup: the recovery takes a few seconds, however long the delay was over the target."""
    controller = RetryController()
    now_ms = record_responses(controller, 3000.0, 3000)
    assert controller.retry_probability(now_ms) == 0.0
    for _ in range(50):
        now_ms += 100.0
        controller.record_response(100.0, 1000.0, now_ms, is_success=True)
    assert controller.retry_probability(now_ms) == 1.0


def test_limit_keeps_its_initial_value_until_there_are_responses() -> None:
    """A limit derived from no responses would reject requests in the first seconds, without any load."""
    controller = RetryController()
    for number in range(20):
        assert concurrency_limit(controller, 4.0, 100.0 * number) == INITIAL_LIMIT_PER_SERVER * 4.0
    now_ms = 2000.0
    for _ in range(30):
        now_ms += 50.0
        controller.record_response(600.0, 4000.0, now_ms, is_success=True)
    added = ADDED_ATTEMPTS_PER_SERVER * 4.0
    # The response rate is 20 per second, and the objective is 4 s.
    assert concurrency_limit(controller, 4.0, now_ms) - added > 0.9 * 20 * DELAY_OBJECTIVE_RATIO * 4.0


def test_limit_does_not_keep_shrinking_where_the_normal_delay_is_over_the_target() -> None:
    """A lower limit lowers the response rate, which lowers the limit again, until the servers are idle."""
    controller, now_ms, delay_s = RetryController(), 0.0, 0.5  # the objective is one second
    in_flight = 20.0
    for _ in range(600):
        rate_per_s = in_flight / delay_s
        now_ms += 1000.0 / rate_per_s
        controller.record_response(1000.0 * delay_s, 1000.0, now_ms, is_success=True)
        in_flight = concurrency_limit(controller, 4.0, now_ms)
    assert in_flight > 2.0 * 4.0


def test_added_attempts_decrease_as_the_delay_exceeds_the_target() -> None:
    """The full addition alone would keep the delay over the target at servers that process one request."""
    added_by_delay = {}
    for delay_ms in (400.0, 800.0, 1600.0):  # one, two and four times the target
        controller, now_ms = RetryController(), 0.0
        for _ in range(200):
            now_ms += 50.0
            controller.record_response(delay_ms, 1000.0, now_ms, is_success=True)
        added_by_delay[delay_ms] = (
            concurrency_limit(controller, 10.0, now_ms)
            - controller.response_rate.per_s() * DELAY_OBJECTIVE_RATIO
        )
    added = ADDED_ATTEMPTS_PER_SERVER * 10.0
    assert added_by_delay == pytest.approx({400.0: added, 800.0: added / 2.0, 1600.0: added / 4.0})
