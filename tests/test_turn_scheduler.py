"""Turns are given in order, until the time of an iteration of the event loop is over."""

from __future__ import annotations

import asyncio

import pytest

from tests.peers import run
from workspond.downstream import turn_scheduler
from workspond.downstream.turn_scheduler import TurnScheduler


class Connection:
    """A connection that records its turns and asks for further ones."""

    def __init__(self, scheduler: TurnScheduler, name: str, turns: list[str], further: int = 0) -> None:
        self._scheduler = scheduler
        self._name = name
        self._turns = turns
        self._further = further
        scheduler.schedule(self)

    def take_turn(self) -> None:
        self._turns.append(self._name)
        if self._further:
            self._further -= 1
            self._scheduler.schedule(self)


class FailingConnection(Connection):
    """A connection whose turn fails."""

    def take_turn(self) -> None:
        raise RuntimeError


def never() -> bool:
    return False


def test_a_connection_with_more_to_process_waits_behind_the_others() -> None:
    async def test() -> None:
        turns: list[str] = []
        scheduler = TurnScheduler(never)
        Connection(scheduler, "a", turns, further=2)
        Connection(scheduler, "b", turns)
        await asyncio.sleep(0)
        assert turns == ["a", "b", "a", "a"]

    run(test())


def test_the_remaining_turns_wait_for_the_next_iteration(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an event loop that is held by connections with much to process."""
    monkeypatch.setattr(turn_scheduler, "MAX_TURNS_S", 0.0)

    async def test() -> None:
        turns: list[str] = []
        scheduler = TurnScheduler(never)
        Connection(scheduler, "a", turns, further=1)
        counts = []
        for _ in range(3):
            await asyncio.sleep(0)
            counts.append(len(turns))
        assert counts == [1, 2, 2]

    run(test())


def test_no_turn_is_given_while_turns_are_suspended() -> None:
    async def test() -> None:
        turns: list[str] = []
        suspensions = [True]
        scheduler = TurnScheduler(lambda: bool(suspensions))
        Connection(scheduler, "a", turns)
        await asyncio.sleep(0)
        assert not turns
        suspensions.clear()
        await asyncio.sleep(0)
        assert turns == ["a"]

    run(test())


def test_turns_go_on_after_one_has_failed() -> None:
    """Guards against a node that processes nothing any more because of a fault in one connection."""

    async def test() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        turns: list[str] = []
        scheduler = TurnScheduler(never)
        FailingConnection(scheduler, "a", turns)
        Connection(scheduler, "b", turns)
        for _ in range(2):
            await asyncio.sleep(0)
        assert turns == ["b"]

    run(test())
