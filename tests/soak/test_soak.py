"""Short soak tests with two fixed seeds, both of which have failed before."""

from pathlib import Path
from tempfile import TemporaryDirectory

import testtools

from tests.soak.soak import SoakOptions, run_soak
from tests.support import async_test

# Seeds divisible by three inject faults, all others do only planned work.
_PLANNED_SEED, _FAULTS_SEED = 1, 3
_DURATION_S = 6.0
# Long enough that only a process that hangs exceeds it, also on a slow machine.
_GRACE_PERIOD_S = 30.0
_STOP_MARGIN_S = 30.0


class SoakTest(testtools.TestCase):
    """Runs the soak test with real processes."""

    async def _check(self, seed: int) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "soak"
            options = SoakOptions(
                seed, path, _DURATION_S, _GRACE_PERIOD_S, _STOP_MARGIN_S
            )
            violations, calls = await run_soak(options)
            events = (options.folder / "events.txt").read_text()
        self.assertEqual([], violations, events)
        self.assertGreater(calls[200], 0)

    @async_test
    async def test_planned_work(self) -> None:
        await self._check(_PLANNED_SEED)

    @async_test
    async def test_faults(self) -> None:
        await self._check(_FAULTS_SEED)
