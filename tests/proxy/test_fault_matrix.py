"""Tests of every fault at every step of one request, as fault_matrix defines them."""

import testtools

from tests.proxy.fault_matrix import (
    FAULTS,
    STEPS,
    Cell,
    find_violation,
    run_cell,
)
from tests.support import async_test


class FaultMatrixTest(testtools.TestCase):
    """Tests that no cell violates a guarantee."""

    async def _assert_no_violation(self, fault: str, *, calls: int = 1) -> None:
        for step in STEPS:
            for method in ("GET", "POST"):
                cell = Cell(step, fault, method, calls=calls)
                for outcome in await run_cell(cell):
                    self.assertEqual("", find_violation(cell, outcome), (cell, outcome))

    @async_test
    async def test_a_hundred_concurrent_calls(self) -> None:
        for fault in ("connection cut", "node b killed"):
            await self._assert_no_violation(fault, calls=100)

    @async_test
    async def test_naive_version_runs_requests_twice(self) -> None:
        """Prove that the check detects a request that ran twice."""
        for step in ("run", "answer", "relay"):
            cell = Cell(step, "connection cut", "POST", naive=True)
            (outcome,) = await run_cell(cell)
            self.assertEqual("ran 2 times", find_violation(cell, outcome), cell)


def _add_test(fault: str) -> None:
    """Add a test of one fault at every step."""

    @async_test
    async def test(self: FaultMatrixTest) -> None:
        await self._assert_no_violation(fault)

    name = f"test_{fault.replace(' ', '_')}"
    setattr(FaultMatrixTest, name, test)


for _fault in FAULTS:
    _add_test(_fault)
