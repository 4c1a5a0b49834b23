"""A crowd of clients whose requests stay inside the limits ends processes.

The head of each request is shorter than ``max-header-bytes`` and has many short fields.
The requests stop one byte before the end of their bodies and stay open.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from mesh import Mesh, Node, NotRun, route, run_case  # noqa: E402

# The smallest machines of the sheets have this much memory.
MEMORY_MB = 200
MAX_HEADER_BYTES = 16384
CLIENTS = 350
BODY_BYTES = 100
# A route and a deadline like those of the longest requests of the sheets.
TIMEOUT_MS = 5000
ROUNDS = 3
ROUND_S = 8.0
RESTART_DELAY_S = 0.3
CHECK_INTERVAL_S = 0.02
FIRST_FIELD = 0x1000


def request_bytes(request_id: str, *, many_fields: bool) -> bytes:
    """Return a request that lacks the last byte of its body."""
    lines = [
        "POST /upload/x HTTP/1.1",
        "Host: shop.example",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {TIMEOUT_MS}",
        f"Content-Length: {BODY_BYTES}",
    ]
    room = MAX_HEADER_BYTES - sum(len(line) + 2 for line in lines) - 2
    if many_fields:
        lines += [f"{FIRST_FIELD + i:x}:" for i in range(room // len("1000:\r\n"))]
    else:
        lines.append("x: " + "y" * (room - len("x: \r\n")))
    head = "\r\n".join(lines) + "\r\n\r\n"
    if len(head) > MAX_HEADER_BYTES:
        raise NotRun(f"the head has {len(head)} bytes")
    return head.encode() + b"z" * (BODY_BYTES - 1)


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


async def send_crowd(mesh: Mesh, node: Node, limit: MemoryLimit, trouble: bool) -> None:
    """Send the requests of all clients at once, and leave after some seconds."""
    ends_before = limit.ends[node.name]
    writers = []
    try:
        for _ in range(CLIENTS):
            _, writer = await asyncio.open_connection(*node.outbound)
            writers.append(writer)
        for writer in writers:
            data = request_bytes(mesh.new_id(), many_fields=trouble)
            writer.write(data)
        mesh.record.note(
            "crowd_sent",
            node=node.name,
            clients=len(writers),
            head_bytes=data.index(b"\r\n\r\n") + 4,
            fields=data.count(b"\r\n") - 2,
            body_bytes=BODY_BYTES - 1,
            body_due_bytes=BODY_BYTES,
        )
        started_s = time.monotonic()
        while time.monotonic() - started_s < ROUND_S:
            if limit.ends[node.name] > ends_before:
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
    except OSError as error:
        mesh.record.note("crowd_cut", node=node.name, error=repr(error))
    finally:
        for writer in writers:
            writer.transport.abort()
    mesh.record.note("crowd_left", node=node.name, clients=len(writers))


async def case(mesh: Mesh, trouble: bool) -> list[str]:
    """Send the crowd to two of four machines, three times each."""
    mesh.settings["limits.memory-mb"] = str(MEMORY_MB)
    for index, name in enumerate(("a", "b", "c", "d")):
        await mesh.add_node(name, service="desk", zone=f"zone-{index % 2}")
    await mesh.put_config(
        3,
        [
            route("browse", "/browse/", "desk"),
            route(
                "upload",
                "/upload/",
                "desk",
                kind="non_idempotent",
                timeout=f"{TIMEOUT_MS}ms",
            ),
        ],
    )
    await mesh.wait_ready()
    crowded = [mesh.nodes["a"], mesh.nodes["b"]]
    limit = MemoryLimit(mesh, crowded)
    watcher = asyncio.create_task(limit.run())
    try:
        for _ in range(ROUNDS):
            for node in crowded:
                await mesh.wait_served(node, "/browse/before")
            await asyncio.gather(
                *(send_crowd(mesh, node, limit, trouble) for node in crowded)
            )
        for node in crowded:
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
