"""Runs sequences of calls through nodes to faulty backend servers."""

import asyncio
import functools
import itertools

from tests.fuzz.caller import make_call
from tests.fuzz.mesh import Mesh
from tests.fuzz.outcomes import Outcome, Run
from tests.fuzz.sequences import LinkAction, LinkFault, Sequence, Step
from tests.relay import Moment, Relay

_DELAY_S = 0.02


class MeshRunner:
    """Runs sequences on one mesh, one after the other."""

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._numbers = itertools.count(1)

    async def run(self, sequence: Sequence) -> Run:
        """Run a sequence and return what its callers and the backend servers saw."""
        number = next(self._numbers)
        self._mesh.ledger.take_entries()
        self._mesh.behaviours.start(sequence)
        outcomes = await self._run_calls(sequence, number)
        await self._mesh.settle()
        entries = self._mesh.ledger.take_entries()
        return Run(outcomes, entries, self._mesh.behaviours.given)

    async def _run_calls(self, sequence: Sequence, number: int) -> list[Outcome]:
        tasks: list[asyncio.Task[Outcome]] = []
        for index, step in enumerate(sequence):
            if not step.call.together:
                await asyncio.gather(*tasks)
            await asyncio.sleep(step.call.rest_s)
            self._arm_link_faults(step)
            attempt = f"{number}-{index + 1}"
            request_id = f"id-{number}-{step.call.request}"
            if not step.call.idempotent:
                # Each attempt of a caller has its own id; nodes hold it to one run.
                request_id = f"once-{attempt}"
            call = make_call(self._mesh.callers_port, step.call, request_id, attempt)
            tasks.append(asyncio.create_task(call))
        return await asyncio.gather(*tasks)

    def _arm_link_faults(self, step: Step) -> None:
        """Let each link of the callers' node have the step's fault once."""
        for relay in self._mesh.relays.values():
            relay.fired = False
            relay.moment = step.link_fault and _moment(step.link_fault)
            if step.link_fault is not None:
                relay.action = functools.partial(_act, relay, step.link_fault.action)


def _moment(fault: LinkFault) -> Moment:
    return Moment(fault.outward, fault.kind, fault.before)


async def _act(relay: Relay, action: LinkAction) -> None:
    if action is LinkAction.CUT:
        relay.cut()
        return
    relay.hold()
    asyncio.get_running_loop().call_later(_DELAY_S, relay.release)
