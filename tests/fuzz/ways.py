"""The ways that fuzzed sequences take."""

import functools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from tests.fuzz.fuzzer import Way
from tests.fuzz.gate_runs import run_at_gate
from tests.fuzz.judge import judge, judge_nodes
from tests.fuzz.mesh import MAX_ATTEMPTS, Mesh
from tests.fuzz.mesh_runs import MeshRunner
from tests.fuzz.sequences import draw_sequence, draw_sequence_for_nodes

_GATES_AT_ONCE = 6


@asynccontextmanager
async def gate_way() -> AsyncIterator[Way]:
    """Send sequences through a gate of their own."""
    yield Way(draw_sequence, run_at_gate, judge, _GATES_AT_ONCE)


@asynccontextmanager
async def nodes_way() -> AsyncIterator[Way]:
    """Send sequences through the nodes of one mesh."""
    mesh = Mesh()
    await mesh.start()
    judge_run = functools.partial(judge_nodes, max_attempts=MAX_ATTEMPTS)
    try:
        yield Way(draw_sequence_for_nodes, MeshRunner(mesh).run, judge_run, 1)
    finally:
        await mesh.close()


WAYS = {"gate": gate_way, "nodes": nodes_way}
