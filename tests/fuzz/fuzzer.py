"""Runs many sequences and keeps those that break a rule."""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tests.fuzz.judge import KNOWN_BROKEN, Violation
from tests.fuzz.outcomes import Run
from tests.fuzz.sequences import Sequence
from tests.fuzz.shrinking import shrink


class Way(NamedTuple):
    """The way that sequences take.

    :param draw: returns the sequence of a seed.
    :param run: runs a sequence.
    :param judge: returns the rules that a run broke.
    :param at_once: sequences that run at the same time.
    """

    draw: Callable[[str], Sequence]
    run: Callable[[Sequence], Awaitable[Run]]
    judge: Callable[[Run], list[Violation]]
    at_once: int


class Finding(NamedTuple):
    """A sequence that breaks rules.

    :param shrunk: a shorter one that breaks a rule of it as well.
    """

    seed: str
    violations: list[Violation]
    shrunk: Sequence


class Report(NamedTuple):
    """What a run of the fuzzer did.

    :param known: how often rules were broken that are known to be.
    """

    sequences: int
    arrivals: int
    ends: Counter[str]
    findings: list[Finding]
    known: Counter[str]
    seconds_s: float


class _Progress:
    def __init__(self, way: Way, max_findings: int) -> None:
        self._way = way
        self.sequences = 0
        self.arrivals = 0
        self.ends: Counter[str] = Counter()
        self.known: Counter[str] = Counter()
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
        violations = self._way.judge(run)
        new = [v for v in violations if v.rule not in KNOWN_BROKEN]
        self.known.update(v.rule.name for v in violations if v.rule in KNOWN_BROKEN)
        if new:
            self.failed.append((seed, new))


async def fuzz(
    way: Way,
    *,
    seed: int,
    sequences: int,
    first: int = 0,
    max_findings: int = 1,
) -> Report:
    """Run the sequences of a seed, until enough of them broke rules."""
    started_s = time.monotonic()
    progress = _Progress(way, max_findings)
    seeds = iter([f"{seed}/{n}" for n in range(first, first + sequences)])

    async def work() -> None:
        for sequence_seed in seeds:
            progress.note(sequence_seed, await way.run(way.draw(sequence_seed)))
            if progress.is_over:
                return

    await asyncio.gather(*(work() for _ in range(way.at_once)))
    seconds_s = time.monotonic() - started_s
    findings = [await _shrink(way, *failed) for failed in progress.failed]
    return Report(
        progress.sequences,
        progress.arrivals,
        progress.ends,
        findings,
        progress.known,
        seconds_s,
    )


async def _shrink(way: Way, seed: str, violations: list[Violation]) -> Finding:
    rules = {violation.rule for violation in violations}

    async def fails(sequence: Sequence) -> bool:
        found = way.judge(await way.run(sequence))
        return any(violation.rule in rules for violation in found)

    return Finding(seed, violations, await shrink(way.draw(seed), fails))
