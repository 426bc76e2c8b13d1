"""The timers for queued requests and for requests in backoff."""

from __future__ import annotations

from workspond.policy.actions import SetTimer
from workspond.policy.call import Call

# The token of the timer after which the node subscribes again. The tokens of request timers start at 1.
SUBSCRIPTION_TOKEN = 0


class RequestTimers:
    """Sets timers for requests, and finds the request for which a timer was set.

    Attributes:
        last_token: The token of the timer that was set last.
    """

    def __init__(self) -> None:
        self._calls: dict[int, Call] = {}  # by token
        self.last_token = SUBSCRIPTION_TOKEN

    def set(self, call: Call, delay_ms: float) -> SetTimer:
        """Return the action that sets a timer for the request; it replaces the request's previous timer."""
        self.last_token += 1
        call.timer_token = self.last_token
        self._calls[self.last_token] = call
        return SetTimer(self.last_token, delay_ms)

    def take_fired(self, token: int) -> Call | None:
        """Return the request that waits for the timer with this token; None if no request waits for it."""
        call = self._calls.pop(token, None)
        return call if call is not None and call.timer_token == token else None
