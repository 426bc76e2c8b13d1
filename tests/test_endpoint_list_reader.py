"""Tests that reading lists by difference gives the same endpoints as reading them in full.

Reading by difference means parsing only the entries that have changed.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from random import Random
from typing import Any

import pytest

from tests.peers import Server, node_environment, run, until
from workspond.discovery.endpoint_list import EndpointList, read_endpoint_list, server_id_from_name
from workspond.discovery.endpoint_list_reader import EndpointListReader, InvalidEndpointListError
from workspond.policy.endpoint import Endpoint, EndpointState


def entry(number: int, **changes: Any) -> dict[str, Any]:
    """Return a list entry as discovery writes it."""
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


def list_body(entries: list[dict[str, Any]], *, complete: bool = True, indent: int | None = None) -> bytes:
    """Return the body of a list as discovery writes it."""
    return json.dumps({"index": 7, "snapshot": complete, "endpoints": entries}, indent=indent).encode()


class CurrentEndpoints:
    """The endpoints that result from applying one list after the other."""

    def __init__(self) -> None:
        self.by_id: dict[int, Endpoint] = {}

    def apply(self, update: EndpointList) -> None:
        if update.complete:
            listed_ids = update.unchanged_ids | {endpoint.server_id for endpoint in update.endpoints}
            self.by_id = {key: endpoint for key, endpoint in self.by_id.items() if key in listed_ids}
        for endpoint in update.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self.by_id.pop(endpoint.server_id, None)
            else:
                self.by_id[endpoint.server_id] = endpoint


@pytest.mark.parametrize("seed", range(20))
def test_random_lists_read_by_difference_give_the_same_endpoints_as_lists_read_in_full(seed: int) -> None:
    rng = Random(seed)
    reader = EndpointListReader()
    by_difference = CurrentEndpoints()
    in_full = CurrentEndpoints()
    entries_by_number = {number: entry(number) for number in range(30)}
    for _ in range(60):
        changed = rng.sample(range(40), rng.choice((0, 1, 1, 5)))
        for number in changed:
            status = rng.choice(("active", "active", "leaving"))
            entries_by_number[number] = entry(
                number, status=status, since_ms=rng.randrange(3), weight=rng.choice((1.0, 2.0))
            )
        removed = rng.sample(sorted(entries_by_number), rng.choice((0, 0, 1)))
        for number in removed:
            del entries_by_number[number]
        if rng.random() < 0.5:
            body = list_body(list(entries_by_number.values()), indent=rng.choice((None, 1)))
        else:
            removals = [entry(number, status="left") for number in removed]
            changes = [entries_by_number[number] for number in changed if number in entries_by_number]
            body = list_body(changes + removals, complete=False)
        by_difference.apply(reader.read(body))
        in_full.apply(read_endpoint_list(json.loads(body)))
        assert by_difference.by_id == in_full.by_id


def test_unchanged_entries_of_a_complete_list_are_not_parsed() -> None:
    reader = EndpointListReader()
    body = list_body([entry(number) for number in range(50)])
    assert len(reader.read(body).endpoints) == 50
    repeated = reader.read(body)
    assert repeated.endpoints == []
    assert len(repeated.unchanged_ids) == 50
    changed = reader.read(
        list_body([entry(number, zone="b" if number == 7 else "a") for number in range(50)])
    )
    assert [endpoint.server_id for endpoint in changed.endpoints] == [server_id_from_name("s7")]
    assert len(changed.unchanged_ids) == 49


@pytest.mark.parametrize(
    "entries",
    [
        [],
        [entry(1, name="a{b")],
        [entry(1, name="a{}b")],
        [entry(1, name='"endpoints":[{}]')],
        [entry(1, tags={"a": {"b": 1}})],
        [entry(1, name="ä")],
        [entry(1), entry(1, zone="b")],
    ],
)
@pytest.mark.parametrize("indent", [None, 2])
def test_lists_in_unusual_forms_give_the_same_endpoints_as_lists_read_in_full(
    entries: list[dict[str, Any]], indent: int | None
) -> None:
    reader = EndpointListReader()
    by_difference = CurrentEndpoints()
    in_full = CurrentEndpoints()
    for listed in (entries, entries, [*entries, entry(9)]):
        body = list_body(listed, indent=indent)
        by_difference.apply(reader.read(body))
        in_full.apply(read_endpoint_list(json.loads(body)))
        assert by_difference.by_id == in_full.by_id


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"index": 1, "snapshot": true}',
        b'{"index": 1, "snapshot": true, "endpoints": [{}]}',
        list_body([entry(1)])[:-1],
        list_body([entry(1)]).replace(b"}]}", b"},]}"),
        list_body([entry(1)]).replace(b'"s1"', b"s1"),
        list_body([entry(1, status="ill")]),
        b'{"a": {"endpoints": [{}]}, "index": 1, "snapshot": true}',
    ],
)
def test_an_invalid_list_is_rejected_and_does_not_affect_the_next_one(body: bytes) -> None:
    reader = EndpointListReader()
    valid_body = list_body([entry(number) for number in range(5)])
    reader.read(valid_body)
    with pytest.raises(InvalidEndpointListError):
        reader.read(body)
    assert len(reader.read(valid_body).unchanged_ids) == 5


def test_a_server_missing_from_a_complete_list_receives_no_requests(tmp_path: Path) -> None:
    """The other entry is unchanged, so the policy receives only the removal."""

    async def test() -> None:
        servers = [Server(name="s0"), Server(name="s1")]
        async with node_environment(tmp_path, *servers) as environment:
            assert environment.node is not None
            for number in range(4):
                assert (await environment.send_request(f"a{number}")).status == 200
            environment.agent.publish(servers[0].entry(), snapshot=True)
            node = environment.node
            await until(
                lambda: len(node._endpoints.addresses) == 1 and len(node._balancer.fleet.servers) == 1
            )
            await asyncio.sleep(0.02)
            requests_before = len(servers[1].received)
            for number in range(4):
                assert (await environment.send_request(f"b{number}")).status == 200
            assert len(servers[1].received) == requests_before

    run(test())
