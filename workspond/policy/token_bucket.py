"""A token bucket whose rate and size may change over time, so they are passed with each call."""

from __future__ import annotations


class TokenBucket:
    """Tokens that accrue at a given rate, up to a limit.

    Attributes:
        tokens: The number of tokens available after the last refill.
    """

    __slots__ = ("_refilled_at_ms", "tokens")

    def __init__(self, tokens: float, now_ms: float) -> None:
        """Create a bucket that holds `tokens` tokens at `now_ms`."""
        self.tokens = tokens
        self._refilled_at_ms = now_ms

    def refill(self, rate_per_ms: float, max_tokens: float, now_ms: float) -> float:
        """Add the tokens that accrued since the last refill.

        Args:
            rate_per_ms: The number of tokens that accrue per millisecond.
            max_tokens: The size of the bucket.
            now_ms: The current time.

        Returns:
            The number of tokens available now.
        """
        self.tokens = min(max_tokens, self.tokens + rate_per_ms * (now_ms - self._refilled_at_ms))
        self._refilled_at_ms = now_ms
        return self.tokens

    def try_take(self, rate_per_ms: float, max_tokens: float, now_ms: float) -> bool:
        """Refill, then take one token; return False if less than one is available."""
        if self.refill(rate_per_ms, max_tokens, now_ms) < 1.0:
            return False
        self.tokens -= 1.0
        return True
