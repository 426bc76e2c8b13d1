"""What tests of clients' connections share: plain sockets as clients, and what the node holds for them."""

from __future__ import annotations

import asyncio
import socket

from tests.peers import WAIT_TIMEOUT_S, NodeEnvironment, request, until
from workspond.downstream.connection_states import ConnectionState
from workspond.node import Node

INCOMPLETE_REQUESTS = {
    "half a head": b"GET /read HTTP/1.1\r\nX-Call-Id: q\r\n",
    "half a body": request("q", "pay", body=b"whole")[:-2],
    "no end of chunks": b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
}


def running_node(environment: NodeEnvironment) -> Node:
    """The node of a scene that runs in this process."""
    assert environment.node is not None
    return environment.node


async def ready_node(environment: NodeEnvironment) -> Node:
    """The node of a scene, once it has servers to send to."""
    node = running_node(environment)
    await until(node.is_ready)
    return node


def open_connections(environment: NodeEnvironment) -> int:
    """How many connections of clients the node holds."""
    return running_node(environment).frontend.connection_count()


def open_requests(node: Node) -> int:
    """How many requests the node owes a response."""
    assert len(node._requests.open_request_ids) == len(node._requests.active)
    return len(node._requests.active)


async def connect(environment: NodeEnvironment) -> socket.socket:
    """A client's socket that the node has accepted; it does nothing by itself."""
    await ready_node(environment)
    before = open_connections(environment)
    client = socket.create_connection(environment.address, WAIT_TIMEOUT_S)
    await until(lambda: open_connections(environment) == before + 1)
    return client


async def receive(client: socket.socket) -> bytes:
    """What a client's socket receives next, while the event loop runs."""
    return await asyncio.to_thread(client.recv, 1000)


def state_count(node: Node, state: ConnectionState) -> int:
    """How many connections of clients are in a state."""
    return len(node.frontend.connections.in_state(state))


def is_ok(response: bytes) -> bool:
    """Whether a response as it was received is that to a request that was served."""
    return response.startswith(b"HTTP/1.1 200")
