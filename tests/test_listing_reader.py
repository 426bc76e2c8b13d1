"""Whole lists by what is new in them come to the same as whole lists read in full."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from random import Random
from typing import Any

import pytest

from tests.peers import Server, run, until, world
from workspond.discovery.endpoint_list import EndpointList, read_endpoint_list, server_id
from workspond.discovery.endpoint_list_reader import EndpointListReader
from workspond.json_fields import MalformedInputError
from workspond.policy.endpoint import Endpoint, EndpointState


def endpoint(number: int, **changes: Any) -> dict[str, Any]:
    return {
        "name": f"s{number}",
        "address": f"10.0.0.{number}:9000",
        "zone": "a",
        "type": "k",
        "group": 1,
        "status": "active",
        "weight": 1.0,
        "since_ms": 0,
    } | changes


def written(endpoints: list[dict[str, Any]], snapshot: bool = True, indent: int | None = None) -> bytes:
    return json.dumps({"index": 7, "snapshot": snapshot, "endpoints": endpoints}, indent=indent).encode()


class Told:
    """What somebody knows who takes each list as it is read."""

    def __init__(self) -> None:
        self.entries: dict[int, Endpoint] = {}

    def take(self, listing: EndpointList) -> None:
        if listing.complete:
            kept = listing.unchanged_ids | {entry.server_id for entry in listing.endpoints}
            self.entries = {id: entry for id, entry in self.entries.items() if id in kept}
        for entry in listing.endpoints:
            if entry.state is EndpointState.REMOVED:
                self.entries.pop(entry.server_id, None)
            else:
                self.entries[entry.server_id] = entry


@pytest.mark.parametrize("seed", range(20))
def test_what_is_known_after_any_lists_is_that_of_lists_read_in_full(seed: int) -> None:
    rng, reader, by_difference, in_full = Random(seed), EndpointListReader(), Told(), Told()
    fleet = {n: endpoint(n) for n in range(30)}
    for _ in range(60):
        changed = rng.sample(range(40), rng.choice((0, 1, 1, 5)))
        for n in changed:
            status = rng.choice(("active", "active", "leaving"))
            fleet[n] = endpoint(n, status=status, since_ms=rng.randrange(3), weight=rng.choice((1.0, 2.0)))
        gone = rng.sample(sorted(fleet), rng.choice((0, 0, 1)))
        for n in gone:
            del fleet[n]
        if rng.random() < 0.5:
            body = written(list(fleet.values()), indent=rng.choice((None, 1)))
        else:
            left = [endpoint(n, status="left") for n in gone]
            body = written([fleet[n] for n in changed if n in fleet] + left, snapshot=False)
        by_difference.take(reader.read(body))
        in_full.take(read_endpoint_list(json.loads(body)))
        assert by_difference.entries == in_full.entries


def test_of_a_list_with_nothing_new_no_entry_is_read() -> None:
    reader = EndpointListReader()
    body = written([endpoint(n) for n in range(50)])
    assert len(reader.read(body).endpoints) == 50
    again = reader.read(body)
    assert again.endpoints == [] and len(again.unchanged_ids) == 50
    changed = reader.read(written([endpoint(n, zone="b" if n == 7 else "a") for n in range(50)]))
    assert [entry.server_id for entry in changed.endpoints] == [server_id("s7")] and len(
        changed.unchanged_ids
    ) == 49


@pytest.mark.parametrize(
    "endpoints",
    [
        [],
        [endpoint(1, name="a{b")],
        [endpoint(1, name="a{}b")],
        [endpoint(1, name='"endpoints":[{}]')],
        [endpoint(1, tags={"a": {"b": 1}})],
        [endpoint(1, name="ä")],
        [endpoint(1), endpoint(1, zone="b")],
    ],
)
@pytest.mark.parametrize("indent", [None, 2])
def test_lists_of_other_forms_are_read_too(endpoints: list[dict[str, Any]], indent: int | None) -> None:
    reader, told, expected = EndpointListReader(), Told(), Told()
    for shown in (endpoints, endpoints, [*endpoints, endpoint(9)]):
        body = written(shown, indent=indent)
        told.take(reader.read(body))
        expected.take(read_endpoint_list(json.loads(body)))
        assert told.entries == expected.entries


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"index": 1, "snapshot": true}',
        b'{"index": 1, "snapshot": true, "endpoints": [{}]}',
        written([endpoint(1)])[:-1],
        written([endpoint(1)]).replace(b"}]}", b"},]}"),
        written([endpoint(1)]).replace(b'"s1"', b"s1"),
        written([endpoint(1, status="ill")]),
        b'{"a": {"endpoints": [{}]}, "index": 1, "snapshot": true}',
    ],
)
def test_a_spoilt_list_is_refused_and_changes_nothing(body: bytes) -> None:
    reader = EndpointListReader()
    reader.read(written([endpoint(n) for n in range(5)]))
    with pytest.raises((ValueError, MalformedInputError)):
        reader.read(body)
    assert len(reader.read(written([endpoint(n) for n in range(5)])).unchanged_ids) == 5


def test_a_server_that_a_whole_list_does_not_name_is_gone(tmp_path: Path) -> None:
    """The others are as before, so the list's difference is all that the module hears."""

    async def test() -> None:
        servers = [Server(name="s0"), Server(name="s1")]
        async with world(tmp_path, *servers) as scene:
            assert scene.node is not None
            for n in range(4):
                assert (await scene.ask(f"a{n}")).status == 200
            scene.registry.tell(servers[0].entry(), snapshot=True)
            node = scene.node
            await until(
                lambda: len(node._endpoints.addresses) == 1 and len(node._balancer.fleet.servers) == 1
            )
            await asyncio.sleep(0.02)
            before = len(servers[1].seen)
            for n in range(4):
                assert (await scene.ask(f"b{n}")).status == 200
            assert len(servers[1].seen) == before

    run(test())
