"""When idle connections are closed instead of being reused."""

from __future__ import annotations

from tests.helpers import Replica
from workspond.policy.actions import CloseIdleConnections, PolicyAction, SendAttempt
from workspond.policy.events import Outcome


def test_two_timeouts_on_idle_connections_close_idle_connections() -> None:
    """Attempts on connections that were dropped while idle time out, at any server."""
    replica = Replica(servers=4, tier=1)
    replica.serve(40)

    def receive_after_idle_time(request_id: str) -> list[PolicyAction]:
        replica.now_ms += 3000.0
        return replica.receive(request_id)

    for number in range(2):
        assert not [
            a for a in receive_after_idle_time(f"lost-{number}") if isinstance(a, CloseIdleConnections)
        ]
        replica.end_attempt(f"lost-{number}", Outcome.TIMEOUT, 500.0)
    actions = receive_after_idle_time("later")
    assert isinstance(actions[0], CloseIdleConnections) and isinstance(actions[1], SendAttempt)
    assert actions[0].server_id == actions[1].server_id


def test_one_timeout_on_an_idle_connection_closes_nothing() -> None:
    """If each timeout led to new connections, they would cost the servers work."""
    replica = Replica(servers=1, tier=1)
    replica.serve(10)
    for number, outcome in enumerate([Outcome.TIMEOUT, Outcome.SUCCESS, Outcome.TIMEOUT, Outcome.SUCCESS]):
        replica.now_ms += 3000.0 + 1000.0 * number
        assert not [a for a in replica.receive(f"{number}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"{number}", outcome, 500.0)


def test_timeouts_after_a_short_idle_time_close_nothing() -> None:
    """Such timeouts indicate slow requests, not dropped connections."""
    replica = Replica(servers=4, keepalive_ms=60_000.0)
    replica.serve(40)
    for number in range(4):
        replica.now_ms += 200.0
        assert not [a for a in replica.receive(f"lost-{number}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"lost-{number}", Outcome.TIMEOUT, 500.0)


def test_two_fast_resets_on_idle_connections_close_idle_connections() -> None:
    """Some connections may be dropped after a short idle time, and each of them costs an attempt."""
    replica = Replica(servers=1)
    replica.serve(40)
    for number, outcome in enumerate([Outcome.RESET, Outcome.SUCCESS, Outcome.SUCCESS, Outcome.RESET]):
        replica.now_ms += 300.0
        assert not [a for a in replica.receive(f"{number}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"{number}", outcome, 0.5)
    replica.now_ms += 300.0
    actions = replica.receive("a")
    assert isinstance(actions[0], CloseIdleConnections) and isinstance(actions[1], SendAttempt)


def test_slow_resets_after_a_short_idle_time_close_nothing() -> None:
    """These attempts were lost while a server processed them, not because of a dropped connection."""
    replica = Replica(servers=1)
    replica.serve(40)
    for number in range(4):
        replica.now_ms += 300.0
        assert not [a for a in replica.receive(f"{number}") if isinstance(a, CloseIdleConnections)]
        replica.end_attempt(f"{number}", Outcome.RESET, 30.0)
