"""The controller against the paper's equations, calculated by hand, and the concurrency limit."""

import math

import pytest

from workspond.policy.concurrency_limit import (
    ADDED_ATTEMPTS_PER_SERVER,
    DELAY_OBJECTIVE_RATIO,
    INITIAL_LIMIT_PER_SERVER,
    concurrency_limit,
)
from workspond.policy.retry_controller import PHASE_MARGIN, RetryController


def record_steadily(controller: RetryController, delay_ms: float, count: int, gap_ms: float = 100.0) -> float:
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


def test_delay_under_the_target_opens_retries() -> None:
    controller = RetryController()
    now_ms = record_steadily(controller, 100.0, 50)
    assert controller.retry_probability(now_ms) == 1.0


def test_delay_over_the_target_closes_retries() -> None:
    controller = RetryController()
    now_ms = record_steadily(controller, 2000.0, 50)
    assert controller.retry_probability(now_ms) == 0.0


def test_integral_and_rate_by_hand() -> None:
    """Two responses one second apart, objective 1 s: tau0 = 0.4 s; the first has e = 0.3 s."""
    controller = RetryController()
    controller.record_response(100.0, 1000.0, 1000.0, is_success=True)
    # nu1 = 1 / 1 s; a new replica starts with its integral at nu1, where both are clamped.
    assert controller.tuned_rate == pytest.approx(1.0)
    assert controller.integral == pytest.approx(1.0)
    assert controller.allowed_rate == pytest.approx(1.0)
    controller.record_response(1300.0, 1000.0, 2000.0, is_success=True)
    # The older sample has decayed by exp(-1/5), and two samples count as two of MIN_DELAY_SAMPLES = 4:
    # e = (0.3 * 0.81873 - 0.9) / 4 = -0.16360. nu1 leaves its band (1 + exp(-1/5) = 1.8187 > 1.5:
    # retuned, the integral scaled along).
    rate, error = 1.0 + math.exp(-0.2), (0.3 * math.exp(-0.2) - 0.9) / 4.0
    assert controller.tuned_rate == pytest.approx(rate)
    integral = rate + rate * math.sqrt(0.5) * error
    assert controller.integral == pytest.approx(integral)
    assert controller.allowed_rate == pytest.approx(rate * math.sqrt(0.5) * error + integral)


def test_the_integral_gets_the_whole_time_between_answers() -> None:
    """The concurrency limit advances the response rate for each request, but not the integral's time."""
    undisturbed = RetryController()
    limited = RetryController()
    for controller in (undisturbed, limited):
        now_ms = 1000.0
        for _ in range(30):
            now_ms += 200.0
            if controller is limited:
                concurrency_limit(controller, 1.0, now_ms - 10.0)
            controller.record_response(700.0, 1000.0, now_ms, is_success=True)
    assert limited.integral == pytest.approx(undisturbed.integral, rel=0.01)
    assert 0.0 < undisturbed.shed_fraction(now_ms) < 1.0


def test_what_is_shed_fades_with_its_evidence() -> None:
    """Otherwise a replica goes on shedding because of old samples, and gets no new ones."""
    controller = RetryController()
    now_ms = record_steadily(controller, 2000.0, 50)
    shed = controller.shed_fraction(now_ms)
    assert shed > 0.5
    assert controller.shed_fraction(now_ms + 20_000.0) <= 0.2 * shed
    controller.record_response(100.0, 1000.0, now_ms + 20_000.0, is_success=True)
    assert controller.shed_fraction(now_ms + 20_000.0) < 0.5 * shed


def test_gains_are_kept_inside_the_retune_band() -> None:
    controller = RetryController()
    now_ms = record_steadily(controller, 100.0, 300)
    tuned = controller.tuned_rate
    for _ in range(20):  # ten percent faster
        now_ms += 90.0
        controller.record_response(100.0, 1000.0, now_ms, is_success=True)
    assert controller.tuned_rate == tuned


def test_integral_recovers_from_a_long_overload() -> None:
    """Anti-windup: however long the delay was over the target, retries open within seconds."""
    controller = RetryController()
    now_ms = record_steadily(controller, 3000.0, 3000)
    assert controller.retry_probability(now_ms) == 0.0
    for _ in range(50):
        now_ms += 100.0
        controller.record_response(100.0, 1000.0, now_ms, is_success=True)
    assert controller.retry_probability(now_ms) == 1.0


def test_the_first_window_is_not_measured_before_answers_can_come() -> None:
    """Otherwise requests are rejected in the first seconds, without any load."""
    controller = RetryController()
    for k in range(20):
        assert concurrency_limit(controller, 4.0, 100.0 * k) == INITIAL_LIMIT_PER_SERVER * 4.0
    now_ms = 2000.0
    for _ in range(30):
        now_ms += 50.0
        controller.record_response(600.0, 4000.0, now_ms, is_success=True)
    added = ADDED_ATTEMPTS_PER_SERVER * 4.0
    assert (
        concurrency_limit(controller, 4.0, now_ms) - added > 0.9 * 20 * DELAY_OBJECTIVE_RATIO * 4.0
    )  # nu1 = 20 / s, objective 4 s


def test_the_window_does_not_spiral_down_where_the_normal_delay_is_over_the_target() -> None:
    """Otherwise a lower response rate lowers the limit, and that the response rate, at idle servers."""
    controller, now_ms, delay_s = RetryController(), 0.0, 0.5  # the objective is one second
    in_flight = 20.0
    for _ in range(600):
        rate_per_s = in_flight / delay_s
        now_ms += 1000.0 / rate_per_s
        controller.record_response(1000.0 * delay_s, 1000.0, now_ms, is_success=True)
        in_flight = concurrency_limit(controller, 4.0, now_ms)
    assert in_flight > 2.0 * 4.0


def test_the_windows_added_calls_shrink_as_the_delay_passes_the_target() -> None:
    """Otherwise the addition alone holds the delay over the target, at servers that take one request."""
    added_by_delay = {}
    for delay_ms in (400.0, 800.0, 1600.0):  # one, two and four targets
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
