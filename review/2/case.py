"""A late heartbeat after a node's restart puts an instance that left to use again."""

import asyncio
from pathlib import Path

from standins.client import Sent
from standins.instance import Run
from standins.testbed import (
    DRAIN_S,
    STABILITY_WINDOW_S,
    Testbed,
    make_config,
    run_case,
)

_PLACES = {
    "node-a": ("zone-a", "catalogue"),
    "node-b": ("zone-a", "desk"),
    "node-c": ("zone-a", "desk"),
    "node-d": ("zone-a", "catalogue"),
}
_ROUTES = [["register", "/register/", "non_idempotent", "1500ms", 2, "catalogue"]]
_WORK_MS = 290
_DEADLINE_MS = 3000
# How late the heartbeat arrives at least.
_LATE_BY_S = 3.0
# When the instance exits, counted from the late heartbeat.
_EXITS_AFTER_S = 3.0
_CLIENTS_PER_NODE = 4
_PAUSE_S = 0.05


async def _send_requests(
    testbed: Testbed, name: str, until: asyncio.Event
) -> list[Sent]:
    client = testbed.client(name)
    results = []
    path = f"/register/1?work_ms={_WORK_MS}"
    while not until.is_set():
        results.append(
            await client.send("POST", path, deadline_ms=_DEADLINE_MS, body=b"x" * 1200)
        )
        await asyncio.sleep(_PAUSE_S)
    client.close()
    return results


async def _deliver_late(
    testbed: Testbed, heartbeat: bytes, restarted: asyncio.Event
) -> None:
    await asyncio.sleep(_LATE_BY_S)
    await restarted.wait()
    status = await testbed.instances["node-a"].send_to_control(heartbeat)
    testbed.log("late heartbeat", status=status)


async def case(testbed: Testbed) -> bool:
    """Run the case; return whether the rule held."""
    await testbed.start(_PLACES, config=make_config(7, _ROUTES, ["catalogue", "desk"]))
    stop = asyncio.Event()
    # Requests begin at machines without disruption.
    senders = [
        asyncio.create_task(_send_requests(testbed, name, stop))
        for name in ("node-b", "node-c")
        for _ in range(_CLIENTS_PER_NODE)
    ]
    await asyncio.sleep(1.0)
    instance = testbed.instances["node-a"]
    # The instance sends this heartbeat while it is ready; it is held up on the way.
    restarted = asyncio.Event()
    late = asyncio.create_task(
        _deliver_late(testbed, instance.make_heartbeat(), restarted)
    )
    await asyncio.sleep(0.2)
    status = await instance.deregister()
    acknowledged_at_s = testbed.now_s()
    testbed.log("deregistered", status=status)
    if status != 200:
        raise RuntimeError("the deregistration wasn't acknowledged")
    in_touch_at_s = 0.0
    if testbed.troubled:
        await testbed.kill_node("node-a")
        testbed.start_node("node-a")
        in_touch_at_s = testbed.now_s() + STABILITY_WINDOW_S
        await testbed.wait_ready("node-a")
    restarted.set()
    await late
    await asyncio.sleep(_EXITS_AFTER_S)
    await instance.close()
    testbed.log("instance exited", instance=instance.instance_id)
    await asyncio.sleep(2.0)
    stop.set()
    results = [sent for sender in await asyncio.gather(*senders) for sent in sender]
    return _judge(testbed, results, acknowledged_at_s, in_touch_at_s)


def _judge(
    testbed: Testbed,
    results: list[Sent],
    acknowledged_at_s: float,
    in_touch_at_s: float,
) -> bool:
    """Return whether no request reached the instance too late."""
    instance = testbed.instances["node-a"]
    runs = [run for runs in instance.runs.values() for run in runs]
    before = [run for run in runs if run.started_at_s < acknowledged_at_s]
    not_before_s = max(acknowledged_at_s + DRAIN_S, in_touch_at_s)
    after = {run.request_id: run for run in runs if run.started_at_s > not_before_s}
    lost = [s for s in results if not s.signed and _is_cut(after.get(s.request_id))]
    for sent in lost:
        testbed.log("lost", request=sent.request_id, status=sent.status)
    testbed.log(
        "judged",
        runs_before=len(before),
        runs_later_than_drain=len(after),
        lost_when_the_instance_exited=len(lost),
    )
    if not before:
        raise RuntimeError("the instance got no request before it left")
    return not after


def _is_cut(run: Run | None) -> bool:
    return run is not None and not run.outcome.startswith("200")


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
