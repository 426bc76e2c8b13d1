"""The queue of received bytes gives them back in order, with the time of the read that received them."""

from __future__ import annotations

from workspond.downstream.received_data import ReceivedData


def test_chunks_are_taken_in_order_and_never_span_two_reads() -> None:
    received = ReceivedData()
    received.append(b"abcde", 1.0)
    received.append(b"fg", 2.0)
    assert [tuple(received.take(3)) for _ in range(3)] == [(b"abc", 1.0), (b"de", 1.0), (b"fg", 2.0)]
    assert received.length == 0


def test_a_read_counts_until_all_of_it_is_taken() -> None:
    received = ReceivedData()
    received.append(b"abcde", 1.0)
    received.take(4)
    assert (received.length, received.memory_bytes()) == (1, 5)
    received.take(4)
    assert (received.length, received.memory_bytes()) == (0, 0)


def test_cleared_data_is_gone() -> None:
    received = ReceivedData()
    received.append(b"abcde", 1.0)
    received.take(2)
    received.clear()
    received.append(b"f", 2.0)
    assert tuple(received.take(3)) == (b"f", 2.0)
