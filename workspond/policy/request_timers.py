"""The timers that requests wait for."""

from __future__ import annotations

from workspond.policy.actions import SetTimer
from workspond.policy.call import Call

SUBSCRIPTION_TOKEN = 0  # token of the timer that subscribes again; those of requests follow from 1


class RequestTimers:
    """Sets timers for requests, and finds the request that a timer was set for.

    Attributes:
        last_token: The token of the last timer that was set.
    """

    def __init__(self) -> None:
        self._calls: dict[int, Call] = {}  # by token
        self.last_token = SUBSCRIPTION_TOKEN

    def set(self, call: Call, delay_ms: float) -> SetTimer:
        """Set the timer that the request waits for; it replaces the previous one of the request, if any."""
        self.last_token += 1
        call.timer_token = self.last_token
        self._calls[self.last_token] = call
        return SetTimer(self.last_token, delay_ms)

    def take_fired(self, token: int) -> Call | None:
        """Return the request that waits for the timer that has fired; None if none waits for it any more."""
        call = self._calls.pop(token, None)
        return call if call is not None and call.timer_token == token else None
