"""Which idle connections are closed before use."""

from __future__ import annotations

from tests.helpers import Replica
from workspond.policy.actions import CloseIdleConnections, PolicyAction, SendAttempt
from workspond.policy.events import Outcome


def test_idle_connections_are_closed_after_two_losses_on_such() -> None:
    """Connections that were dropped while idle answer nothing, at all servers alike."""
    replica = Replica(servers=4, tier=1)
    replica.serve(40)

    def idle_send(request_id: str) -> list[PolicyAction]:
        replica.now_ms += 3000.0
        return replica.receive(request_id)

    for n in range(2):
        assert not [a for a in idle_send(f"l{n}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"l{n}", Outcome.TIMEOUT, 500.0)
    actions = idle_send("later")
    assert isinstance(actions[0], CloseIdleConnections) and isinstance(actions[1], SendAttempt)
    assert actions[0].server_id == actions[1].server_id


def test_one_loss_on_an_idle_connection_closes_nothing() -> None:
    """Otherwise each timeout causes new connections, which cost servers work."""
    replica = Replica(servers=1, tier=1)
    replica.serve(10)
    for n, outcome in enumerate([Outcome.TIMEOUT, Outcome.SUCCESS, Outcome.TIMEOUT, Outcome.SUCCESS]):
        replica.now_ms += 3000.0 + 1000.0 * n
        assert not [a for a in replica.receive(f"{n}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"{n}", outcome, 500.0)


def test_losses_on_connections_in_use_lately_close_nothing() -> None:
    """A timeout after a short idle time shows a slow request, not a dropped connection."""
    replica = Replica(servers=4, keepalive_ms=60_000.0)
    replica.serve(40)
    for n in range(4):
        replica.now_ms += 200.0
        assert not [a for a in replica.receive(f"l{n}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"l{n}", Outcome.TIMEOUT, 500.0)


def test_a_reset_at_once_on_an_idled_connection_closes_such_before_use() -> None:
    """Some of the connections may be closed after a short idle time, and each costs a request an attempt."""
    replica = Replica(servers=1)
    replica.serve(40)
    for n, outcome in enumerate([Outcome.RESET, Outcome.SUCCESS, Outcome.SUCCESS, Outcome.RESET]):
        replica.now_ms += 300.0
        assert not [a for a in replica.receive(f"{n}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"{n}", outcome, 0.5)
    replica.now_ms += 300.0
    actions = replica.receive("a")
    assert isinstance(actions[0], CloseIdleConnections) and isinstance(actions[1], SendAttempt)


def test_a_reset_of_a_call_in_work_says_nothing_of_idling() -> None:
    replica = Replica(servers=1)
    replica.serve(40)
    for n in range(4):
        replica.now_ms += 300.0
        assert not [a for a in replica.receive(f"{n}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"{n}", Outcome.RESET, 30.0)
