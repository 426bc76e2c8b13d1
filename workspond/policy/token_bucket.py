"""A token bucket; what its rate and size are is the caller's to decide."""

from __future__ import annotations


class TokenBucket:
    """Tokens that come in at a rate, up to a most."""

    __slots__ = ("_since_ms", "tokens")

    def __init__(self, tokens: float, now_ms: float) -> None:
        self.tokens, self._since_ms = tokens, now_ms

    def refill(self, per_ms: float, most: float, now_ms: float) -> float:
        """Add what has come in since last time; the tokens there are."""
        self.tokens = min(most, self.tokens + per_ms * (now_ms - self._since_ms))
        self._since_ms = now_ms
        return self.tokens

    def try_take(self, per_ms: float, most: float, now_ms: float) -> bool:
        """Take a token, if there is one."""
        if self.refill(per_ms, most, now_ms) < 1.0:
            return False
        self.tokens -= 1.0
        return True
