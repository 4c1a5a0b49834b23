"""Runs many sequences and keeps those that break a rule."""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tests.fuzz.judge import Violation, judge
from tests.fuzz.outcomes import Run
from tests.fuzz.sequences import Sequence, draw_sequence
from tests.fuzz.shrinking import shrink

Runner = Callable[[Sequence], Awaitable[Run]]
_AT_ONCE = 6


class Finding(NamedTuple):
    """A sequence that breaks rules.

    :param shrunk: a shorter one that breaks a rule of it as well.
    """

    seed: str
    violations: list[Violation]
    shrunk: Sequence


class Report(NamedTuple):
    """What a run of the fuzzer did."""

    sequences: int
    arrivals: int
    ends: Counter[str]
    findings: list[Finding]
    seconds_s: float


class _Progress:
    def __init__(self, max_findings: int) -> None:
        self.sequences = 0
        self.arrivals = 0
        self.ends: Counter[str] = Counter()
        self.failed: list[tuple[str, list[Violation]]] = []
        self.max_findings = max_findings

    @property
    def is_over(self) -> bool:
        """Whether enough sequences failed."""
        return len(self.failed) >= self.max_findings

    def note(self, seed: str, run: Run) -> None:
        """Judge a run and count it."""
        self.sequences += 1
        self.arrivals += len(run.entries)
        for outcome in run.outcomes:
            failure = outcome.failure
            self.ends["whole" if failure is None else failure.reason] += 1
        if violations := judge(run):
            self.failed.append((seed, violations))


async def fuzz(
    runner: Runner,
    *,
    seed: int,
    sequences: int,
    first: int = 0,
    max_findings: int = 1,
) -> Report:
    """Run the sequences of a seed, until enough of them broke rules."""
    started_s = time.monotonic()
    progress = _Progress(max_findings)
    seeds = iter([f"{seed}/{n}" for n in range(first, first + sequences)])

    async def work() -> None:
        for sequence_seed in seeds:
            progress.note(sequence_seed, await runner(draw_sequence(sequence_seed)))
            if progress.is_over:
                return

    await asyncio.gather(*(work() for _ in range(_AT_ONCE)))
    seconds_s = time.monotonic() - started_s
    findings = [await _shrink(runner, *failed) for failed in progress.failed]
    return Report(
        progress.sequences, progress.arrivals, progress.ends, findings, seconds_s
    )


async def _shrink(runner: Runner, seed: str, violations: list[Violation]) -> Finding:
    rules = {violation.rule for violation in violations}

    async def fails(sequence: Sequence) -> bool:
        found = judge(await runner(sequence))
        return any(violation.rule in rules for violation in found)

    return Finding(seed, violations, await shrink(draw_sequence(seed), fails))
