"""A killed node starts beside a slow discovery agent, and uses an old list before the answer has come."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins_2"))

from harness import Case, Client, Node, main

DOWN_S = 2.0  # from the kill to the start of the new process
DRAIN_AFTER_KILL_S = 0.3
SLOW_S = 1.5  # from the making of the agent's answer to its writing
GRACE_S = 1.0 + 0.05  # rules.stop_sending_within_ms, and the 50 ms of the rules on sockets
BEFORE_S, AFTER_S = 3.0, 4.0
CLIENTS = 8
THINK_S = (0.01, 0.06)
BUDGET_S = 0.21


async def use(case: Case, node: Node, end_s: float, rng: random.Random) -> None:
    """Send one request after another, and connect again if the node closed the connection."""
    client = await Client(case, node).connect()
    while time.monotonic() < end_s:
        await asyncio.sleep(rng.uniform(*THINK_S))
        result = await client.call(rng.choice(["rota-view", "shift-swap", "clock-in"]), BUDGET_S)
        if result.status is None:
            client.close()
            client = await Client(case, node).connect()
    client.close()


async def use_for(case: Case, node: Node, lasts_s: float) -> None:
    """Let all clients use the node for some time; the front sends them once the node is ready."""
    end_s = time.monotonic() + lasts_s
    await asyncio.gather(*(use(case, node, end_s, random.Random(number)) for number in range(CLIENTS)))


async def play(case: Case) -> str | None:
    """Play the case; return what broke the rule."""
    agent = await case.agent()
    servers = [await case.server(f"s{number}", group=number // 2, work_s=0.01) for number in range(4)]
    agent.set(*(server.entry() for server in servers))
    node = await case.node("n0", agent, case.settings())
    await use_for(case, node, BEFORE_S)
    node.known = agent.whole()  # the list as this node last had it
    await node.kill()
    await asyncio.sleep(DRAIN_AFTER_KILL_S)
    agent.set(servers[0].entry("leaving"))
    await asyncio.sleep(DOWN_S - DRAIN_AFTER_KILL_S)
    if case.trouble:
        agent.delay_s = SLOW_S
    await node.start()
    await use_for(case, node, AFTER_S)
    return verdict(case, node.started_at_s)


def verdict(case: Case, told_at_s: float) -> str | None:
    """Return how many attempts came too late at the server that drains, or None."""
    late = [each for each in case.arrivals if each.server == "s0" and each.at_s > told_at_s + GRACE_S]
    for each in late:
        after_s = each.at_s - told_at_s
        case.record.write(f"late: {each.request_id} at s0, {after_s:.3f} s after the new process began")
    if not late:
        return None
    first_s, last_s = late[0].at_s - told_at_s, late[-1].at_s - told_at_s
    return f"{len(late)} requests were sent to s0 {first_s:.2f} to {last_s:.2f} s after its drain was told"


if __name__ == "__main__":
    main(Path(__file__).with_name("record.txt"), play)
