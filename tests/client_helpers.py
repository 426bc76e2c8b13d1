"""Helpers for tests of client connections: plain client sockets, and queries of the node's state."""

from __future__ import annotations

import asyncio
import socket

from tests.peers import WAIT_TIMEOUT_S, NodeEnvironment, request, until
from workspond.downstream.connection_states import ConnectionState
from workspond.node import Node

INCOMPLETE_REQUESTS = {
    "incomplete head": b"GET /read HTTP/1.1\r\nX-Call-Id: q\r\n",
    "incomplete body": request("q", "pay", body=b"whole")[:-2],
    "no last chunk": b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
}


def running_node(environment: NodeEnvironment) -> Node:
    """Return the node of an environment, which must run its node in this process."""
    assert environment.node is not None
    return environment.node


async def ready_node(environment: NodeEnvironment) -> Node:
    """Return the node of an environment once it is ready to serve requests."""
    node = running_node(environment)
    await until(node.is_ready)
    return node


def open_connection_count(environment: NodeEnvironment) -> int:
    """Return the number of client connections that are open or being opened."""
    return running_node(environment).frontend.connection_count()


def open_request_count(node: Node) -> int:
    """Return the number of requests that the node has accepted and not answered."""
    assert len(node._requests.open_request_ids) == len(node._requests.active)
    return len(node._requests.active)


async def connect(environment: NodeEnvironment) -> socket.socket:
    """Connect a plain socket to the node and wait until the node has accepted it."""
    await ready_node(environment)
    count_before = open_connection_count(environment)
    client = socket.create_connection(environment.address, WAIT_TIMEOUT_S)
    await until(lambda: open_connection_count(environment) == count_before + 1)
    return client


async def receive(client: socket.socket) -> bytes:
    """Return the next data that a client socket receives, without blocking the event loop."""
    return await asyncio.to_thread(client.recv, 1000)


def count_in_state(node: Node, state: ConnectionState) -> int:
    """Return the number of client connections in a state."""
    return len(node.frontend.connections.in_state(state))


def is_ok(response: bytes) -> bool:
    """Return whether received bytes begin with a response of status 200."""
    return response.startswith(b"HTTP/1.1 200")
