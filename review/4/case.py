"""A gate sends a request once more to an instance that should get none any more."""

import asyncio
from pathlib import Path

from standins.client import Client
from standins.http1 import Message
from standins.testbed import (
    DRAIN_S,
    Testbed,
    make_config,
    run_case,
)

_PLACES = {
    "node-a": ("zone-a", "packs"),
    "node-b": ("zone-a", "desk"),
    "node-c": ("zone-a", "packs"),
}
_ROUTES = [["pack", "/pack/", "download", "2500ms", 2, "packs"]]
_DEADLINE_MS = 2500
_SLOTS = 6
_LOST_SHARE = 0.4
# The first requests occupy all slots, the others wait for them.
_FIRST_WORK_MS = 1020
_NEXT_WORK_MS = 1250
_ROUNDS = 3


class _LostAnswers:
    """Loses a share of the answers of an instance by a reset of their connections."""

    def __init__(self) -> None:
        self.enabled = False
        self._runs = 0
        self._lost = 0

    def __call__(self, request: Message, answer: bytes) -> bytes | None:
        """Return the answer, or None if it is lost."""
        if not self.enabled:
            return answer
        self._runs += 1
        if self._lost + 1 > self._runs * _LOST_SHARE:
            return answer
        self._lost += 1
        return None


async def _send(client: Client, work_ms: int) -> None:
    await client.send("GET", f"/pack/1?work_ms={work_ms}", deadline_ms=_DEADLINE_MS)


async def _play_round(testbed: Testbed, clients: list[Client]) -> list[float]:
    """Let an instance leave under load; return how late requests reached it."""
    instance = testbed.instances["node-a"]
    lost_answers = _LostAnswers()
    instance.on_answer = lost_answers
    lost_answers.enabled = testbed.troubled
    half = len(clients) // 2
    first = [asyncio.create_task(_send(c, _FIRST_WORK_MS)) for c in clients[:half]]
    await asyncio.sleep(0.05)
    rest = [asyncio.create_task(_send(c, _NEXT_WORK_MS)) for c in clients[half:]]
    await asyncio.sleep(0.05)
    instance.stop_heartbeats()
    instance.state = "draining"
    status = await instance.send_to_control(instance.make_heartbeat())
    acknowledged_at_s = testbed.now_s()
    testbed.log("draining", status=status, instance=instance.instance_id)
    if status != 200:
        raise RuntimeError("the heartbeat wasn't acknowledged")
    instance.resume_heartbeats()
    await asyncio.gather(*first, *rest)
    await asyncio.sleep(1.0)
    return [
        run.started_at_s - acknowledged_at_s
        for runs in instance.runs.values()
        for run in runs
        if run.started_at_s > acknowledged_at_s + DRAIN_S
    ]


async def case(testbed: Testbed) -> bool:
    """Run the case; return whether the rule held."""
    await testbed.start(
        _PLACES,
        config=make_config(7, _ROUTES, ["packs", "desk"]),
        instance_options={"slots": _SLOTS},
    )
    clients = [testbed.client("node-b") for _ in range(4 * _SLOTS)]
    # Opens the connections, and tells the nodes how long requests take.
    for _ in range(3):
        await asyncio.gather(*(_send(c, 180) for c in clients[:_SLOTS]))
    late: list[float] = []
    for number in range(_ROUNDS):
        late += await _play_round(testbed, clients)
        testbed.log("round", number=number, late=[round(s, 3) for s in late])
        if number + 1 < _ROUNDS:
            await testbed.instances["node-a"].close()
            await testbed.add_instance("node-a", slots=_SLOTS)
            await asyncio.sleep(4.0)
    testbed.log("judged", later_than_drain=len(late))
    return not late


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
