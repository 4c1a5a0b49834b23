"""Runs one soak test: random actions drawn from a seed, then the checks."""

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from burdockdock.node.operator_client import call_node
from tests.soak.callers import CallerPool
from tests.soak.checks import Violation, describe, find_violations
from tests.soak.fault_proxy import FAULTS
from tests.soak.testbed import Testbed

_NODE_COUNT = 5
_CALLER_COUNT = 10
_PIPELINED_CALLER_COUNT = 4
_MEAN_ACTION_INTERVAL_S = 1.2
_MEAN_RETURN_INTERVAL_S = 6.0
_MAX_COPY_AGE_S = 8.0
# The platform returns once more within this time.
_MAX_SECOND_RETURN_DELAY_S = 3.0
# Limit on the nodes and backend servers that actions take down at the same time.
_MAX_SERVERS_DOWN = 2
_RECOVERY_TIMEOUT_S = 60.0
# A node has recovered after this many successful calls in a row.
_RECOVERY_CALL_COUNT = 5


class SoakOptions(NamedTuple):
    """Options of a soak test.

    :param seed: seed of all random choices.
    :param folder: directory for logs and records.
    :param seconds_s: seconds during which actions are started.
    :param grace_period_s: grace period of the nodes in seconds.
    :param stop_margin_s: seconds beyond the grace period after which a stop counts as a
        violation.
    """

    seed: int
    folder: Path
    seconds_s: float = 20.0
    grace_period_s: float = 6.0
    stop_margin_s: float = 0.0

    @property
    def planned(self) -> bool:
        """Whether the soak does only planned work, as two seeds in three do."""
        return self.seed % 3 != 0


class _Scenario:
    """Draws random actions and starts each while earlier ones still run."""

    def __init__(self, testbed: Testbed, options: SoakOptions) -> None:
        self._testbed = testbed
        self._planned = options.planned
        self._rng = random.Random(options.seed)
        # Of its own, so that a seed draws the same other actions as without returns.
        self._return_rng = random.Random(f"{options.seed} returns")
        self._tasks: list[asyncio.Task[None]] = []
        self._down_limit = asyncio.Semaphore(_MAX_SERVERS_DOWN)
        self._locks = {name: asyncio.Lock() for name in testbed.nodes}
        self._backend_locks = {name: asyncio.Lock() for name in testbed.nodes}
        self._config_lock = asyncio.Lock()
        self._actions: list[Callable[[str, random.Random], Awaitable[None]]] = [
            *[self._restart] * 2,
            self._restart_backend,
            self._change_config,
            lambda name, _: testbed.signal_node(name, signal.SIGHUP),
        ]
        if not self._planned:
            self._actions += [self._kill, self._pause] + [self._inject_fault] * 3

    async def run(self, seconds_s: float) -> None:
        """Start actions for a time and wait until they end."""
        end_s = time.monotonic() + seconds_s
        if not self._planned:
            self._tasks.append(asyncio.create_task(self._return_platform(end_s)))
        while time.monotonic() < end_s:
            action = self._rng.choice(self._actions)
            name = self._rng.choice(list(self._locks))
            rng = random.Random(self._rng.getrandbits(32))
            self._tasks.append(asyncio.create_task(action(name, rng)))
            await asyncio.sleep(self._rng.expovariate(1 / _MEAN_ACTION_INTERVAL_S))
        await self._wait_for_tasks()
        for task in self._tasks:
            if not task.done():
                self._testbed.violations.append(Violation("what began ends", str(task)))
                task.cancel()
            else:
                task.result()

    async def _return_platform(self, end_s: float) -> None:
        """Let the platform return from copies, now and then twice within seconds."""
        rng = self._return_rng
        while True:
            await asyncio.sleep(rng.expovariate(1 / _MEAN_RETURN_INTERVAL_S))
            if time.monotonic() > end_s:
                return
            for _ in range(rng.choice((1, 1, 2))):
                await self._testbed.return_platform(
                    age_s=rng.uniform(0.0, _MAX_COPY_AGE_S),
                    away_s=rng.choice((0.0, 0.3, 1.5)),
                )
                await asyncio.sleep(rng.uniform(0.0, _MAX_SECOND_RETURN_DELAY_S))
            # The operator has noticed by now.
            await self._testbed.republish_config()

    async def _wait_for_tasks(self) -> None:
        """Wait for all tasks, including the second signals that they start meanwhile.

        A configuration change ends only when every node applies it, so the tasks get
        as long as the recovery does.
        """
        deadline_s = time.monotonic() + _RECOVERY_TIMEOUT_S
        while running := [task for task in self._tasks if not task.done()]:
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                return
            await asyncio.wait(running, timeout=left_s)

    async def _restart(self, name: str, rng: random.Random) -> None:
        async with self._locks[name], self._down_limit:
            if rng.random() < 0.3:
                second_signal = self._testbed.signal_node(
                    name, signal.SIGTERM, after_s=rng.uniform(0.0, 2.0)
                )
                self._tasks.append(asyncio.create_task(second_signal))
            await self._testbed.stop_node(name)
            self._testbed.start_node(name)
            if rng.random() < 0.2:
                await asyncio.sleep(rng.uniform(0.0, 1.0))
                await self._testbed.stop_node(name)
                self._testbed.start_node(name)

    async def _restart_backend(self, name: str, rng: random.Random) -> None:
        async with self._backend_locks[name], self._down_limit:
            if self._planned or rng.random() < 0.5:
                await self._testbed.stop_backend(name)
            self._testbed.kill_backend(name)
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            self._testbed.start_backend(name)

    async def _change_config(self, name: str, rng: random.Random) -> None:
        async with self._config_lock:
            if not await self._testbed.change_config():
                return
            if rng.random() < 0.5:
                url = self._testbed.nodes[name].operators_url
                await call_node(url, "/refresh", method="POST")
            await self._testbed.wait_in_force()

    async def _pause(self, name: str, rng: random.Random) -> None:
        await self._testbed.pause(name, rng.choice((0.2, 1.0, 3.0, 8.0)))

    async def _kill(self, name: str, rng: random.Random) -> None:
        async with self._locks[name], self._down_limit:
            self._testbed.kill_node(name)
            await asyncio.sleep(rng.uniform(0.0, 3.0))
            self._testbed.start_node(name)

    async def _inject_fault(self, name: str, rng: random.Random) -> None:
        target, fault = rng.choice((name, name, "platform")), rng.choice(FAULTS)
        self._testbed.record_event(f"line to {target}: {fault}")
        self._testbed.proxies[target].inject(fault, rng)
        await asyncio.sleep(rng.uniform(0.5, 6.0))
        self._testbed.proxies[target].clear_faults()


async def run_soak(options: SoakOptions) -> tuple[list[Violation], Counter[int]]:
    """Run one seed.

    :returns: the violated invariants, and the number of requests by status.
    """
    options.folder.mkdir(parents=True, exist_ok=True)
    testbed = Testbed(options.folder, options.grace_period_s, options.stop_margin_s)
    try:
        await testbed.start(_NODE_COUNT)
        callers = CallerPool(testbed.versions)
        for i in range(_CALLER_COUNT):
            node = list(testbed.nodes.values())[i % _NODE_COUNT]
            callers.start(node, random.Random(f"{options.seed} {i}"))
        for i in range(_PIPELINED_CALLER_COUNT):
            node = list(testbed.nodes.values())[i % _NODE_COUNT]
            rng = random.Random(f"{options.seed} pipelined {i}")
            callers.start(node, rng, pipelined=True)
        await _Scenario(testbed, options).run(options.seconds_s)
        await _check_recovery(testbed, callers)
        await testbed.stop()
        await callers.stop()
    finally:
        testbed.kill_all()
    violations = find_violations(
        callers.seen, testbed.run_counts(), planned=options.planned
    )
    calls = Counter(call.status for call in callers.seen)
    seen = [describe(call) + "\n" for call in callers.seen]
    (options.folder / "seen.txt").write_text("".join(seen))
    return testbed.violations + violations, calls


async def _check_recovery(testbed: Testbed, callers: CallerPool) -> None:
    """Check that every node applies the newest configuration and serves again."""
    testbed.record_event("recovery")
    try:
        async with asyncio.timeout(_RECOVERY_TIMEOUT_S):
            await testbed.wait_in_force()
            waits = (_wait_for_good_answers(name, callers) for name in testbed.nodes)
            await asyncio.gather(*waits)
    except TimeoutError:
        testbed.violations.append(Violation("all is served again after faults", ""))


async def _wait_for_good_answers(name: str, callers: CallerPool) -> None:
    """Wait until the last calls to a node all got complete, successful answers."""
    first, latest = len(callers.seen), []
    while len(latest) < _RECOVERY_CALL_COUNT or not all(latest):
        await asyncio.sleep(0.1)
        own = [s for s in callers.seen[first:] if s.sent.node == name]
        latest = [s.status == 200 and s.whole for s in own if not s.sent.route]
        latest = latest[-_RECOVERY_CALL_COUNT:]
