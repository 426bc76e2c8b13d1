"""The PI controller that keeps the round-trip delay under its target.

It implements Round Trip Delay Control (RTDC), section V.B of "Applying Control Theoretic Approach To Mitigate
SIP Overload" (Hong, Huang and Yan). The symbols of the paper and their names in this module:

    tau2    round-trip delay of an attempt; the mean over recent responses is used
    tau0    target round-trip delay: `TARGET_OBJECTIVE_RATIO` times the mean latency objective
    e       error, tau0 - tau2: `error_s`; positive while the delay is under the target
    nu1     response rate: `response_rate`, in responses per second
    nu10    response rate for which the gains were tuned: `tuned_rate`
    phi_m   phase margin: `PHASE_MARGIN`; a larger one makes the controller more stable and slower
    KP, KI  gains of the proportional and of the integral part
    r       allowed rate of retries: `allowed_rate`, in retries per second

The gains follow from equations 40 and 41:

    KP = nu1 tan(phi_m) / sqrt(1 + tan(phi_m)^2) = nu1 sin(phi_m)
    KI = nu1 / sqrt(1 + tan(phi_m)^2)            = nu1 cos(phi_m)

The control law is equation 49:

    r(t) = KP e(t) + KI (integral of e from 0 to t)

While the delay is under the target the integral grows, until all retries are allowed (r = nu1). While the
delay is over the target it shrinks, until no retry is allowed (r = 0). The integral and r are clamped to
these limits (anti-windup), so that the controller recovers quickly from a long overload. The gains are
retuned when nu1 leaves the range of 0.5 to 1.5 times nu10.

Two things are added to the paper: samples also lose weight with time, and the same law with the opposite sign
gives the fraction of new requests to shed.
"""

from __future__ import annotations

import math

from workspond.policy.moving_averages import EventRate

TARGET_OBJECTIVE_RATIO = 0.4  # tau0 as a fraction of the latency objective
MAX_SHED_FRACTION = 0.8  # some new requests are always admitted, so that the delay can be measured
PHASE_MARGIN = math.radians(45.0)  # phi_m
RETUNE_MIN_RATIO = 0.5  # the gains are retuned when nu1 / nu10 falls below this
RETUNE_MAX_RATIO = 1.5  # the gains are retuned when nu1 / nu10 rises above this
RATE_WINDOW_MS = 5_000.0  # time constant of the moving averages of the rates and of the delay
DELAY_SAMPLES = 20.0  # number of responses over which the delay is averaged
MIN_DELAY_SAMPLES = 4.0  # with fewer samples the error is scaled down, as a single one may be an outlier


class RetryController:
    """Limits retries and sheds new requests, so that the delay stays under the target.

    Attributes:
        response_rate: nu1, the rate of successful responses.
        failure_rate: The rate of failed attempts, each of which could be retried.
        tuned_rate: nu10, in responses per second; 0 before the first response.
        integral: KI times the integral of the error, in retries per second.
        allowed_rate: r, in retries per second.
    """

    def __init__(self) -> None:
        self._kp = math.sin(PHASE_MARGIN)  # KP divided by nu1, equation 40
        self._ki = math.cos(PHASE_MARGIN)  # KI divided by nu1, equation 41
        self.response_rate = EventRate(RATE_WINDOW_MS)
        self.failure_rate = EventRate(RATE_WINDOW_MS)
        # Sums over the recent samples. The weight of a sample falls with time and with each newer sample.
        self._error_sum_s = 0.0
        self._objective_sum_s = 0.0
        self._sample_count = 0.0
        # Time of the last sample. Infinity before the first sample, so that no time counts as elapsed.
        self._sampled_at_ms = math.inf
        self.tuned_rate = 0.0
        self.integral = 0.0
        self.allowed_rate = 0.0
        self._shed_integral = 0.0  # integral part of the shed fraction
        self._shed_fraction = 0.0

    def record_response(
        self, delay_ms: float, objective_ms: float, now_ms: float, *, is_success: bool
    ) -> None:
        """Record a delay sample and apply the control law.

        Args:
            delay_ms: tau2 of the attempt.
            objective_ms: The latency objective of its request.
            now_ms: The current time.
            is_success: Whether the sample counts towards the response rate. Timeouts and rejections do not.
        """
        # The time between samples is measured here and not taken from `response_rate`, because the
        # concurrency limit advances the time of `response_rate` too, with each request. The integral would
        # then cover only a part of the time.
        decay = math.exp(min(0.0, self._sampled_at_ms - now_ms) / RATE_WINDOW_MS)
        elapsed_s = max(0.0, min(now_ms - self._sampled_at_ms, RATE_WINDOW_MS)) / 1000.0
        self._sampled_at_ms = now_ms
        self.response_rate.record(is_success, now_ms)
        self.failure_rate.record(0.0, now_ms)  # only advances the time of the failure rate
        self._add_sample(delay_ms, objective_ms, decay)
        self._retune()
        error_s = self._error_sum_s / max(self._sample_count, MIN_DELAY_SAMPLES)
        self._apply_control_law(error_s, elapsed_s, decay)

    def _add_sample(self, delay_ms: float, objective_ms: float, decay: float) -> None:
        # Samples lose weight with time as well as with each new sample. Otherwise a replica that sheds load,
        # and so gets few new samples, would continue to shed because of old ones.
        weight = min(1.0 - 1.0 / DELAY_SAMPLES, decay)
        self._sample_count = self._sample_count * weight + 1.0
        self._objective_sum_s = self._objective_sum_s * weight + objective_ms / 1000.0
        self._error_sum_s = (
            self._error_sum_s * weight + (TARGET_OBJECTIVE_RATIO * objective_ms - delay_ms) / 1000.0
        )

    def _retune(self) -> None:
        """Tune the gains to the current response rate if it has left the range around `tuned_rate`.

        The first tuning allows all retries. Later ones scale the integral, so that the allowed fraction of
        retries stays the same.
        """
        rate = self.response_rate.per_s()
        if not RETUNE_MIN_RATIO * self.tuned_rate <= rate <= RETUNE_MAX_RATIO * self.tuned_rate:
            self.integral = self.integral * rate / self.tuned_rate if self.tuned_rate else rate
            self.tuned_rate = rate

    def _apply_control_law(self, error_s: float, elapsed_s: float, decay: float) -> None:
        """Update the allowed rate of retries and the shed fraction by equation 49, with clamping."""
        kp = self.tuned_rate * self._kp
        ki = self.tuned_rate * self._ki
        self.integral = min(max(self.integral + ki * error_s * elapsed_s, 0.0), self.tuned_rate)
        self.allowed_rate = min(max(kp * error_s + self.integral, 0.0), self.tuned_rate)
        # The shed fraction has the opposite sign, as a delay over the target must shed requests. It is a
        # fraction of the request rate, so the gains are used without the factor nu1.
        shed_integral = self._shed_integral * decay - self._ki * error_s * elapsed_s
        self._shed_integral = min(max(shed_integral, 0.0), MAX_SHED_FRACTION)
        self._shed_fraction = min(max(self._shed_integral - self._kp * error_s, 0.0), MAX_SHED_FRACTION)

    def shed_fraction(self, now_ms: float) -> float:
        """Return the fraction of new requests to shed.

        It decays with the time since the last sample, as a replica that sheds all requests gets no samples.
        """
        return self._shed_fraction * math.exp(min(0.0, self._sampled_at_ms - now_ms) / RATE_WINDOW_MS)

    def mean_objective_s(self) -> float:
        """Return the mean latency objective of the recent samples; there must be at least one sample."""
        return self._objective_sum_s / self._sample_count

    def delay_target_ratio(self) -> float:
        """Return the mean delay divided by the target delay; there must be at least one sample."""
        return 1.0 - self._error_sum_s / (TARGET_OBJECTIVE_RATIO * self._objective_sum_s)

    def retry_fraction(self) -> float:
        """Return the allowed rate of retries as a fraction of `tuned_rate`."""
        return self.allowed_rate / (self.tuned_rate or 1.0)

    def retry_probability(self, now_ms: float) -> float:
        """Count a failed attempt, and return the probability with which to retry it.

        The probability is the allowed rate of retries divided by the rate of failures. Before the first
        response it is 1.
        """
        self.failure_rate.record(1.0, now_ms)
        return min(1.0, self.allowed_rate / self.failure_rate.per_s()) if self.tuned_rate else 1.0
