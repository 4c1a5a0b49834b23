"""One soak: what happens when, from a seed, and its verdict."""

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from burdockdock.node.operator_client import call_node
from tests.soak.callers import CallersRunner
from tests.soak.checks import Broken, check_seen, told
from tests.soak.lines import FAULTS
from tests.soak.world import World

_NODES = 5
_CALLERS = 10
_MEAN_GAP_S = 1.2
# At most this many nodes are away at a time.
_MOST_AWAY = 2
_RECOVERY_S = 60.0
_SETTLED_CALLS = 5


class SoakOptions(NamedTuple):
    """How a soak runs.

    :param seconds_s: how long faults are injected.
    :param grace_s: the nodes' grace time.
    :param patience_s: how much longer a stop may take before it counts.
    """

    seed: int
    folder: Path
    seconds_s: float = 20.0
    grace_s: float = 6.0
    patience_s: float = 0.0

    @property
    def planned(self) -> bool:
        """Whether only planned work happens: in two seeds of three."""
        return self.seed % 3 != 0


class _Script:
    """Draws what happens next and starts it, beside what is still under way."""

    def __init__(self, world: World, options: SoakOptions) -> None:
        self._world = world
        self._planned = options.planned
        self._rng = random.Random(options.seed)
        self._tasks: list[asyncio.Task[None]] = []
        self._away = asyncio.Semaphore(_MOST_AWAY)
        self._locks = {name: asyncio.Lock() for name in world.nodes}
        self._backend_locks = {name: asyncio.Lock() for name in world.nodes}
        self._config = asyncio.Lock()
        self._kinds: list[Callable[[str, random.Random], Awaitable[None]]] = [
            *[self._restart] * 2,
            self._restart_backend,
            self._change_config,
            lambda name, _: world.signal_node(name, signal.SIGHUP),
        ]
        if not self._planned:
            self._kinds += [self._kill, self._pause] + [self._break_line] * 3

    async def run(self, seconds_s: float) -> None:
        """Let things happen for a time, and wait for their ends."""
        end_s = time.monotonic() + seconds_s
        while time.monotonic() < end_s:
            kind = self._rng.choice(self._kinds)
            name = self._rng.choice(list(self._locks))
            rng = random.Random(self._rng.getrandbits(32))
            self._tasks.append(asyncio.create_task(kind(name, rng)))
            await asyncio.sleep(self._rng.expovariate(1 / _MEAN_GAP_S))
        await self._wait_for_ends()
        for task in self._tasks:
            if not task.done():
                self._world.broken.append(Broken("what began ends", str(task)))
                task.cancel()
            else:
                task.result()

    async def _wait_for_ends(self) -> None:
        """Wait for all that began, and for the second signals that it begins yet.

        A change ends only when every node applies it, which is for the recovery.
        """
        given_up_s = time.monotonic() + _RECOVERY_S
        while running := [task for task in self._tasks if not task.done()]:
            left_s = given_up_s - time.monotonic()
            if left_s <= 0:
                return
            await asyncio.wait(running, timeout=left_s)

    async def _restart(self, name: str, rng: random.Random) -> None:
        async with self._locks[name], self._away:
            if rng.random() < 0.3:
                again = self._world.signal_node(
                    name, signal.SIGTERM, after_s=rng.uniform(0.0, 2.0)
                )
                self._tasks.append(asyncio.create_task(again))
            await self._world.stop_node(name)
            self._world.start_node(name)
            if rng.random() < 0.2:
                await asyncio.sleep(rng.uniform(0.0, 1.0))
                await self._world.stop_node(name)
                self._world.start_node(name)

    async def _restart_backend(self, name: str, rng: random.Random) -> None:
        async with self._backend_locks[name], self._away:
            if self._planned or rng.random() < 0.5:
                await self._world.stop_backend(name)
            self._world.kill_backend(name)
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            self._world.start_backend(name)

    async def _change_config(self, name: str, rng: random.Random) -> None:
        async with self._config:
            if not await self._world.change_config():
                return
            if rng.random() < 0.5:
                url = self._world.nodes[name].operators_url
                await call_node(url, "/refresh", method="POST")
            await self._world.wait_in_force()

    async def _pause(self, name: str, rng: random.Random) -> None:
        await self._world.pause(name, rng.choice((0.2, 1.0, 3.0, 8.0)))

    async def _kill(self, name: str, rng: random.Random) -> None:
        async with self._locks[name], self._away:
            self._world.kill_node(name)
            await asyncio.sleep(rng.uniform(0.0, 3.0))
            self._world.start_node(name)

    async def _break_line(self, name: str, rng: random.Random) -> None:
        target, fault = rng.choice((name, name, "platform")), rng.choice(FAULTS)
        self._world.note(f"line to {target}: {fault}")
        self._world.lines[target].fail(fault, rng)
        await asyncio.sleep(rng.uniform(0.5, 6.0))
        self._world.lines[target].mend()


async def run_soak(options: SoakOptions) -> tuple[list[Broken], Counter[int]]:
    """Run one seed; return what broke, and the number of requests by status."""
    options.folder.mkdir(parents=True, exist_ok=True)
    world = World(options.folder, options.grace_s, options.patience_s)
    try:
        await world.start(_NODES)
        callers = CallersRunner(world.versions)
        for i in range(_CALLERS):
            node = list(world.nodes.values())[i % _NODES]
            callers.start(node, random.Random(f"{options.seed} {i}"))
        await _Script(world, options).run(options.seconds_s)
        await _check_recovery(world, callers)
        await world.stop()
        await callers.stop()
    finally:
        world.kill_all()
    broken = check_seen(callers.seen, world.runs(), planned=options.planned)
    calls = Counter(one.status for one in callers.seen)
    seen = [told(one) + "\n" for one in callers.seen]
    (options.folder / "seen.txt").write_text("".join(seen))
    return world.broken + broken, calls


async def _check_recovery(world: World, callers: CallersRunner) -> None:
    """See that each node serves again, in the newest configuration."""
    world.note("recovery")
    try:
        async with asyncio.timeout(_RECOVERY_S):
            await world.wait_in_force()
            waits = (_wait_for_answers(name, callers) for name in world.nodes)
            await asyncio.gather(*waits)
    except TimeoutError:
        world.broken.append(Broken("all is served again after faults", ""))


async def _wait_for_answers(name: str, callers: CallersRunner) -> None:
    """Wait until a node's callers got some whole answers in a row."""
    begin, latest = len(callers.seen), []
    while len(latest) < _SETTLED_CALLS or not all(latest):
        await asyncio.sleep(0.1)
        own = [s for s in callers.seen[begin:] if s.sent.node == name]
        latest = [s.status == 200 and s.whole for s in own if not s.sent.route]
        latest = latest[-_SETTLED_CALLS:]
