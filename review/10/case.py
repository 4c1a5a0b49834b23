"""Requests run without a valid key once the last tenant was removed.

The configuration still contains its table of tenants, which is empty.
"""

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from mesh import Mesh, Node, NotRun, route, run_case  # noqa: E402

CONFIG_APPLY_S = 2.0
OBSERVED_S = 8.0
INTERVAL_S = 0.5
KEY = "key-of-the-removed-tenant"
OTHER_KEY = "key-of-another-tenant"
UNKNOWN_KEY = "key-that-no-configuration-ever-held"


def tenants(*rows: list[Any]) -> dict[str, Any]:
    """Return the table of tenants of a configuration."""
    columns = ["name", "api-keys", "priority", "rate-per-s", "burst"]
    return {"columns": columns, "rows": list(rows)}


async def send_with_key(mesh: Mesh, node: Node, key: str) -> tuple[str, int]:
    """Send a request with a key; return its id and the status of its answer."""
    request_id, answer = await mesh.send(
        node, "POST", "/confirm/x", body=b"order", headers={"Credential": key}
    )
    return request_id, answer.status


async def observe(mesh: Mesh, node: Node, acknowledged_s: float) -> list[str]:
    """Return which requests ran though their keys weren't valid."""
    broken = []
    while time.monotonic() - acknowledged_s < OBSERVED_S:
        for key in (KEY, UNKNOWN_KEY):
            after_s = time.monotonic() - acknowledged_s
            request_id, status = await send_with_key(mesh, node, key)
            runs = [n.instance.runs for n in mesh.nodes.values()]
            ran = any(
                run.headers.get("request-id") == request_id
                for requests in runs
                for run in requests
            )
            if after_s > CONFIG_APPLY_S and ran:
                broken.append(
                    f"{request_id} with {key} ran ({status}), sent {after_s:.1f} s "
                    "after the acknowledgement"
                )
        await asyncio.sleep(INTERVAL_S)
    return broken


async def case(mesh: Mesh, trouble: bool) -> list[str]:
    """Remove the only tenant; without the disruption, one of two."""
    for index, name in enumerate(("a", "b", "c")):
        await mesh.add_node(name, service="desk", zone=f"zone-{index}")
    rows = [route("confirm", "/confirm/", "desk", kind="non_idempotent")]
    removed = ["guild", [KEY], 1, 0, 0]
    others = [] if trouble else [["agency", [OTHER_KEY], 1, 0, 0]]
    await mesh.put_config(3, rows, tenants=tenants(removed, *others))
    await mesh.wait_ready()
    await asyncio.sleep(CONFIG_APPLY_S)
    for node in mesh.nodes.values():
        _, allowed = await send_with_key(mesh, node, KEY)
        _, refused = await send_with_key(mesh, node, UNKNOWN_KEY)
        if (allowed, refused) != (200, 401):
            raise NotRun(f"keys aren't checked at first: {allowed}, {refused}")
    await mesh.put_config(5, rows, tenants=tenants(*others))
    acknowledged_s = time.monotonic()
    found = await asyncio.gather(
        *(observe(mesh, node, acknowledged_s) for node in mesh.nodes.values())
    )
    return [line for lines in found for line in lines]


if __name__ == "__main__":
    run_case(FOLDER, case)
