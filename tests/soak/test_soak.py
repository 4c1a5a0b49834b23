"""A short soak of fixed seeds, and of each seed that ever failed."""

from pathlib import Path
from tempfile import TemporaryDirectory

import testtools

from tests.soak.soak import SoakOptions, run_soak
from tests.support import async_test

# Which of the soak's two kinds a seed is shows in its remainder by three.
_PLANNED, _FAULTS = 1, 3
_SECONDS_S = 6.0
# Long, so that only a process that hangs outlives it, and not one on a slow machine.
_GRACE_S = 30.0
_PATIENCE_S = 30.0


class SoakTest(testtools.TestCase):
    """Runs of real processes."""

    async def _check(self, seed: int) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "soak"
            options = SoakOptions(seed, path, _SECONDS_S, _GRACE_S, _PATIENCE_S)
            broken, calls = await run_soak(options)
            events = (options.folder / "events.txt").read_text()
        self.assertEqual([], broken, events)
        self.assertGreater(calls[200], 0)

    @async_test
    async def test_planned_work(self) -> None:
        await self._check(_PLANNED)

    @async_test
    async def test_faults(self) -> None:
        await self._check(_FAULTS)
