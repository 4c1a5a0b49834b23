"""An accepted configuration is never in force, as one route may take 15 minutes.

The nodes refuse the whole version, and each later one that still has the route.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from mesh import Mesh, Node, route, run_case  # noqa: E402

CONFIG_APPLY_S = 2.0
OBSERVED_S = 12.0
INTERVAL_S = 0.5


async def observe(mesh: Mesh, node: Node, acknowledged_s: float) -> list[str]:
    """Send requests that only the old or only the new version allows."""
    broken = []
    while time.monotonic() - acknowledged_s < OBSERVED_S:
        for target, wrong_status in (("/old/x", 200), ("/fresh/x", 404)):
            after_s = time.monotonic() - acknowledged_s
            request_id, answer = await mesh.send(node, "GET", target)
            if after_s > CONFIG_APPLY_S and answer.status == wrong_status:
                broken.append(
                    f"{node.name} answered {request_id} for {target} with "
                    f"{answer.status}, sent {after_s:.1f} s after the acknowledgement"
                )
        await asyncio.sleep(INTERVAL_S)
    return broken


async def case(mesh: Mesh, trouble: bool) -> list[str]:
    """Change a time-out, drop a route and add one; then change one more."""
    for index, name in enumerate(("a", "b", "c")):
        await mesh.add_node(name, service="desk", zone=f"zone-{index}")
    browse = route("browse", "/browse/", "desk")
    fresh = route("fresh", "/fresh/", "desk")
    packs = route("packs", "/packs/", "desk", kind="download", timeout="5s")
    await mesh.put_config(3, [browse, packs, route("old", "/old/", "desk")])
    await mesh.wait_ready()
    for node in mesh.nodes.values():
        await mesh.wait_served(node, "/old/before")
    long_timeout = "900s" if trouble else "90s"
    packs = route("packs", "/packs/", "desk", kind="download", timeout=long_timeout)
    await mesh.put_config(5, [browse, packs, fresh])
    acknowledged_s = time.monotonic()
    found = await asyncio.gather(
        *(observe(mesh, node, acknowledged_s) for node in mesh.nodes.values())
    )
    last = route("last", "/last/", "desk")
    await mesh.put_config(8, [browse, packs, fresh, last])
    await asyncio.sleep(2 * CONFIG_APPLY_S)
    for node in mesh.nodes.values():
        _, answer = await mesh.send(node, "GET", "/last/x")
        mesh.record.note("later_version", node=node.name, status=answer.status)
    return [line for lines in found for line in lines]


if __name__ == "__main__":
    run_case(FOLDER, case)
