"""One request inside the limits ends a process: its path has many slashes.

The head of the request is shorter than ``max-header-bytes``.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from mesh import Mesh, Node, route, run_case  # noqa: E402

# The smallest machines of the sheets have this much memory.
MEMORY_MB = 200
# Leaves room for the other lines of the head.
PATH_BYTES = 15_900
ROUNDS = 3
RESTART_DELAY_S = 0.3
CHECK_INTERVAL_S = 0.005
# Time for the limit to be noticed after the answer.
AFTER_S = 1.0


class MemoryLimit:
    """Ends a process that exceeds its machine's memory, as the platform does.

    :ivar ends: how often each node's process was ended.
    """

    def __init__(self, mesh: Mesh, nodes: list[Node]) -> None:
        self.ends = dict.fromkeys((node.name for node in nodes), 0)
        self.peaks_mb = dict.fromkeys(self.ends, 0.0)
        self._mesh = mesh
        self._nodes = nodes

    async def run(self) -> None:
        """Look at the processes until cancelled."""
        while True:
            for node in self._nodes:
                resident_mb = node.resident_mb
                peak_mb = max(self.peaks_mb[node.name], resident_mb)
                self.peaks_mb[node.name] = peak_mb
                if resident_mb > MEMORY_MB:
                    await self._end(node, resident_mb)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _end(self, node: Node, resident_mb: float) -> None:
        self.ends[node.name] += 1
        self._mesh.record.note(
            "over_memory", node=node.name, resident_mb=round(resident_mb)
        )
        node.signal(signal.SIGKILL)
        node.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        node.start()


def path(trouble: bool) -> str:
    """Return a path on an ordinary route, of many segments or of one."""
    prefix = "/browse/"
    letter = "/" if trouble else "a"
    return prefix + letter * (PATH_BYTES - len(prefix))


async def send_long_path(mesh: Mesh, node: Node, trouble: bool) -> None:
    """Send one request with a long path."""
    request_id, answer = await mesh.send(node, "GET", path(trouble), quiet=True)
    await asyncio.sleep(AFTER_S)
    mesh.record.note(
        "long_path",
        node=node.name,
        id=request_id,
        path_bytes=PATH_BYTES,
        slashes=path(trouble).count("/"),
        status=answer.status,
        problem=answer.problem,
    )


async def case(mesh: Mesh, trouble: bool) -> list[str]:
    """Send the request to two of four machines, three times each."""
    mesh.settings["limits.memory-mb"] = str(MEMORY_MB)
    for index, name in enumerate(("a", "b", "c", "d")):
        await mesh.add_node(name, service="desk", zone=f"zone-{index % 2}")
    await mesh.put_config(3, [route("browse", "/browse/", "desk")])
    await mesh.wait_ready()
    asked = [mesh.nodes["a"], mesh.nodes["b"]]
    limit = MemoryLimit(mesh, asked)
    watcher = asyncio.create_task(limit.run())
    try:
        for _ in range(ROUNDS):
            for node in asked:
                await mesh.wait_served(node, "/browse/before")
                await send_long_path(mesh, node, trouble)
        for node in asked:
            await mesh.wait_served(node, "/browse/after")
            await mesh.send(node, "GET", "/browse/after")
    finally:
        watcher.cancel()
    peaks = {name: round(peak_mb) for name, peak_mb in limit.peaks_mb.items()}
    mesh.record.note("ends", **limit.ends, peaks_mb=peaks)
    print(f"ends: {limit.ends}, peaks in MB: {peaks}")
    if any(count < ROUNDS for count in limit.ends.values()):
        return []
    return [
        f"{name}'s process exceeded {MEMORY_MB} MB {count} times"
        for name, count in limit.ends.items()
    ]


if __name__ == "__main__":
    run_case(FOLDER, case)
