"""The requests that clients have abandoned and that must not simply be sent to a server again.

A client that leaves and comes again may send the same id. An attempt of the abandoned request may still be in
flight, or may have run.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from workspond.active_request import ActiveRequest
from workspond.policy.settings import Idempotency, RequestClass

MAX_REQUESTS = 512  # the oldest are forgotten


class AbandonedRequests:
    """Remembers abandoned requests by the client's id while a repetition is not simply allowed."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self._idempotent_classes = {
            each.name for each in classes if each.idempotency is Idempotency.IDEMPOTENT
        }
        self._requests: OrderedDict[str, ActiveRequest] = OrderedDict()

    def get(self, request_id: str) -> ActiveRequest | None:
        """Return the abandoned request with this id, if it must not simply be repeated."""
        return self._requests.get(request_id)

    def update(self, request: ActiveRequest) -> None:
        """Remember or forget a request, now that it is abandoned or that its attempt has ended afterwards."""
        request_id = request.message.request_id
        self._requests.pop(request_id, None)
        if request.history.in_flight_count or not self.may_be_repeated(request):
            self._requests[request_id] = request
        if len(self._requests) > MAX_REQUESTS:
            self._requests.popitem(last=False)

    def may_be_repeated(self, request: ActiveRequest) -> bool:
        """Return whether a repetition is allowed once no attempt is in flight."""
        is_idempotent = request.message.class_name in self._idempotent_classes
        history = request.history
        return is_idempotent or not (history.may_have_run or history.in_flight_count)
