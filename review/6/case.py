"""Calm machines miss a configuration while three other processes are down.

The three are those that wait for changes at the store. No other machine takes their
place within five seconds, so that the version arrives only when they are back.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from mesh import Mesh, Node, NotRun, route, run_case  # noqa: E402

CONFIG_APPLY_S = 2.5
MACHINES = 19
# 3 of 19 is a share of 0.158; the largest dose is 0.16, for 3.5 s.
KILLED = 3
DOWN_S = 3.5
SETTLE_S = 8.0
OBSERVED_S = 7.0
INTERVAL_S = 0.25
# A watch lasts 2.4 s; a machine without one for longer doesn't watch the store.
WATCH_AGE_S = 3.0


def machines_with_watch(mesh: Mesh) -> list[Node]:
    """Return the machines that wait for changes at the store."""
    oldest_s = time.monotonic() - WATCH_AGE_S
    watched_at_s = mesh.store.watched_at_s
    return [n for n in mesh.nodes.values() if watched_at_s.get(n.name, 0) >= oldest_s]


async def restart_later(nodes: list[Node]) -> None:
    """Start the killed processes again."""
    await asyncio.sleep(DOWN_S)
    for node in nodes:
        node.process.wait()
        node.start()


async def observe(mesh: Mesh, node: Node, acknowledged_s: float) -> list[str]:
    """Send requests to a calm machine; return those handled by the old version."""
    broken = []
    while time.monotonic() - acknowledged_s < OBSERVED_S:
        for target, wrong_status in (("/old/x", 200), ("/fresh/x", 404)):
            after_s = time.monotonic() - acknowledged_s
            request_id, answer = await mesh.send(node, "GET", target)
            if after_s > CONFIG_APPLY_S and answer.status == wrong_status:
                broken.append(
                    f"{node.name} answered {request_id} for {target} with "
                    f"{answer.status}, sent {after_s:.2f} s after the acknowledgement"
                )
        await asyncio.sleep(INTERVAL_S)
    return broken


async def case(mesh: Mesh, trouble: bool) -> list[str]:
    """Change the configuration just after three processes were killed."""
    mesh.settings["bounds.config-apply"] = f"{CONFIG_APPLY_S:g}s"
    for number in range(MACHINES):
        await mesh.add_node(f"n{number}", service="desk", zone=f"zone-{number % 3}")
    browse = route("browse", "/browse/", "desk")
    await mesh.put_config(3, [browse, route("old", "/old/", "desk")])
    await mesh.wait_ready()
    for node in mesh.nodes.values():
        await mesh.wait_served(node, "/old/before")
    await asyncio.sleep(SETTLE_S)
    killed = machines_with_watch(mesh)[:KILLED]
    if len(killed) < KILLED:
        raise NotRun(f"only {len(killed)} machines watch the store")
    calm = [node for node in mesh.nodes.values() if node not in killed]
    restart = None
    if trouble:
        for node in killed:
            node.signal(signal.SIGKILL)
        restart = asyncio.create_task(restart_later(killed))
    await mesh.put_config(5, [browse, route("fresh", "/fresh/", "desk")])
    acknowledged_s = time.monotonic()
    found = await asyncio.gather(
        *(observe(mesh, node, acknowledged_s) for node in calm)
    )
    if restart is not None:
        await restart
    machines = sum(bool(lines) for lines in found)
    mesh.record.note("machines", calm=len(calm), late=machines)
    print(f"{machines} of {len(calm)} calm machines were late")
    return [line for lines in found for line in lines]


if __name__ == "__main__":
    run_case(FOLDER, case)
