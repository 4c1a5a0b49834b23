"""Measures how rollouts of simulated good and bad versions end, over many seeds.

The judge and the policy run as they do in a node, driven by a manual clock.
Usage: python -m bench.rollouts [--seeds N]
"""

import json
import multiprocessing
import random
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

import click

from burdockdock.clock import ManualClock
from burdockdock.rollout.evidence import EvidenceKey, EvidenceRow, latency_bucket
from burdockdock.rollout.judge import Judge, Judgement
from burdockdock.rollout.model import Phase, Rollout
from burdockdock.rollout.policy import Facts, next_state

_TICK_INTERVAL_S = 0.25
_WEIGHTS_DELAY_S = 0.25
_ROUTES = ("profiles", "confirmations", "search", "export")
_CLASSES = ("browsing", "confirming")
_BASE_LATENCY_S = 0.006
_BASE_FAILURE_RATE = 0.001
_COLD_START_S = 3.0
_ALPHAS = (1e-2, 1e-3, 1e-4, 1e-6)
_RESULTS_DIR = Path(__file__).parent / "results"


class CallContext(NamedTuple):
    """The properties of a call that a fault may depend on.

    :param served: calls that the new version has served before.
    :param share: the new version's share of the calls.
    :param cold: whether its backend servers started recently.
    """

    route: str
    traffic_class: str
    served: int
    share: float
    cold: bool


class Behaviour(NamedTuple):
    """How the new version handles one call.

    :param fail_share: probability that the call fails.
    :param slow_factor: factor on the latency.
    """

    fail_share: float = _BASE_FAILURE_RATE
    slow_factor: float = 1.0


class Kind(NamedTuple):
    """A kind of new version.

    :param at_once: whether its fault appears from the first calls on.
    :param shown_by_health: whether its health endpoint shows the fault.
    """

    name: str
    bad: bool
    behave: Callable[[CallContext], Behaviour]
    at_once: bool = True
    shown_by_health: bool = False


def _fails(share: float) -> Behaviour:
    return Behaviour(fail_share=share)


KINDS = (
    Kind("good", False, lambda c: Behaviour()),
    Kind("good, a tenth faster", False, lambda c: Behaviour(slow_factor=0.9)),
    Kind(
        "good, cold start only",
        False,
        lambda c: Behaviour(slow_factor=3.0 if c.cold else 1.0),
    ),
    Kind("fails at once", True, lambda c: _fails(1.0), shown_by_health=True),
    Kind("fails at once, healthy by its own word", True, lambda c: _fails(1.0)),
    Kind("fails one call in ten", True, lambda c: _fails(0.1)),
    Kind("fails one call in fifty", True, lambda c: _fails(0.02)),
    Kind(
        "fails after 200 calls",
        True,
        lambda c: _fails(0.5 if c.served > 200 else _BASE_FAILURE_RATE),
        at_once=False,
    ),
    Kind(
        "fails on one route",
        True,
        lambda c: _fails(0.5 if c.route == "export" else _BASE_FAILURE_RATE),
    ),
    Kind(
        "fails for one class",
        True,
        lambda c: _fails(
            0.5 if c.traffic_class == "confirming" else _BASE_FAILURE_RATE
        ),
    ),
    Kind("slow by 1.5 times", True, lambda c: Behaviour(slow_factor=1.5)),
    Kind(
        "slow under load",
        True,
        lambda c: Behaviour(slow_factor=2.5 if c.share >= 0.25 else 1.0),
        at_once=False,
    ),
)


class Setting(NamedTuple):
    """One user's service at one rate of calls.

    :param slots: total slots of each version.
    """

    user: str
    calls_per_s: float
    duration_s: float
    slots: int


SETTINGS = (
    Setting("Guild matchdesk, sparse", 3.0, 3600.0, 100),
    Setting("Guild matchdesk, usual", 30.0, 900.0, 100),
    Setting("Guild matchdesk, full", 300.0, 300.0, 100),
    Setting("Kodvilnis katalogs, usual", 20.0, 900.0, 42),
)


class Result(NamedTuple):
    """The outcome of one rollout.

    :param naive: whether the health endpoint alone was checked, instead of the judge.
    :param met_fault: calls affected by the fault, as a share of the service's calls in
        the time planned for the rollout.
    :param stop_s: seconds from the first affected call to the last.
    """

    setting: str
    kind: str
    alpha: float
    naive: bool
    done: bool
    met_fault: float
    stop_s: float


class _Run:
    """A simulated rollout of one version."""

    def __init__(self, setting: Setting, kind: Kind, seed: int, alpha: float) -> None:
        self._setting = setting
        self._kind = kind
        self._alpha = alpha
        self._rng = random.Random(f"{setting.user}/{kind.name}/{seed}")
        self._clock = ManualClock()
        self._judge = Judge(from_version="1", to_version="2", alpha=alpha)
        self._served = 0
        self._first_new_s: float | None = None
        self._fault_at_s: list[float] = []

    def run(self, *, naive: bool) -> Result:
        """Run the rollout until it ends, and return its result."""
        now = self._clock.now()
        state = Rollout(
            service="desk",
            number=1,
            from_version="1",
            to_version="2",
            started_at=now,
            deadline=now + timedelta(seconds=self._setting.duration_s),
            author="bench",
            reason="bench",
        )
        step = self._naive_step if naive else self._step
        while not state.phase.final:
            share = state.share
            self._clock.advance(_TICK_INTERVAL_S)
            self._judge.update(self._simulate_interval(share))
            state = step(state)
        # The nodes receive the new weights after a short delay.
        for _ in range(int(_WEIGHTS_DELAY_S / _TICK_INTERVAL_S)):
            self._clock.advance(_TICK_INTERVAL_S)
            self._simulate_interval(
                share if state.phase is Phase.ROLLED_BACK else state.share
            )
        return self._result(state, naive)

    def _step(self, state: Rollout) -> Rollout:
        slots = self._setting.slots
        facts = Facts(self._judge.judgement(), "", slots, slots)
        return next_state(state, facts, self._clock.now()) or state

    def _naive_step(self, state: Rollout) -> Rollout:
        """Raise the share on schedule, checking only the health endpoint."""
        healthy = not (self._kind.bad and self._kind.shown_by_health)
        judgement = Judgement("" if healthy or not state.share else "unhealthy", 10**6)
        slots = self._setting.slots
        facts = Facts(judgement, "", slots, slots)
        return next_state(state, facts, self._clock.now()) or state

    def _simulate_interval(self, share: float) -> dict[EvidenceKey, EvidenceRow]:
        """Simulate the calls of one interval and return their results."""
        rows: dict[EvidenceKey, EvidenceRow] = {}
        expected = self._setting.calls_per_s * _TICK_INTERVAL_S
        count = int(expected) + (self._rng.random() < expected % 1)
        for _ in range(count):
            self._simulate_call(share, rows)
        return rows

    def _simulate_call(
        self, share: float, rows: dict[EvidenceKey, EvidenceRow]
    ) -> None:
        rng = self._rng
        route, traffic_class = rng.choice(_ROUTES), rng.choice(_CLASSES)
        is_new = rng.random() < share
        behaviour = Behaviour()
        cold = False
        if is_new:
            cold = self._is_cold()
            context = CallContext(route, traffic_class, self._served, share, cold)
            behaviour = self._kind.behave(context)
            self._served += 1
        failed = rng.random() < behaviour.fail_share
        slow = behaviour.slow_factor > 1.1
        if is_new and self._kind.bad and (slow or failed):
            self._fault_at_s.append(self._clock.monotonic())
        key = EvidenceKey(route, traffic_class, "2" if is_new else "1")
        row = rows.setdefault(key, EvidenceRow(0, 0, {}))
        latency_s = _BASE_LATENCY_S * rng.lognormvariate(0, 0.35)
        bucket = latency_bucket(latency_s * behaviour.slow_factor)
        if not failed and not cold:
            row.latencies[bucket] = row.latencies.get(bucket, 0) + 1
        rows[key] = row._replace(calls=row.calls + 1, failures=row.failures + failed)

    def _is_cold(self) -> bool:
        """Return whether the new version got its first call only recently."""
        now_s = self._clock.monotonic()
        if self._first_new_s is None:
            self._first_new_s = now_s
        return now_s - self._first_new_s < _COLD_START_S

    def _planned_calls(self) -> float:
        return self._setting.calls_per_s * self._setting.duration_s

    def _result(self, state: Rollout, naive: bool) -> Result:
        times = self._fault_at_s
        return Result(
            setting=self._setting.user,
            kind=self._kind.name,
            alpha=self._alpha,
            naive=naive,
            done=state.phase is Phase.DONE,
            met_fault=len(times) / self._planned_calls(),
            stop_s=times[-1] - times[0] if times else 0.0,
        )


def _run_one(job: tuple[int, int, int, float, bool]) -> Result:
    setting, kind, seed, alpha, naive = job
    return _Run(SETTINGS[setting], KINDS[kind], seed, alpha).run(naive=naive)


def _summarize(results: list[Result]) -> list[dict[str, Any]]:
    """Return one row for each setting, kind of version, alpha and policy."""
    groups: dict[tuple, list[Result]] = {}
    for result in results:
        key = (result.setting, result.kind, result.alpha, result.naive)
        groups.setdefault(key, []).append(result)
    bad = {kind.name: kind.bad for kind in KINDS}
    return [
        {
            "setting": setting,
            "kind": kind,
            "bad": bad[kind],
            "alpha": alpha,
            "naive": naive,
            "runs": len(group),
            "done": sum(r.done for r in group),
            "taken_back": sum(not r.done for r in group),
            "met_fault_mean": sum(r.met_fault for r in group) / len(group),
            "met_fault_max": max(r.met_fault for r in group),
            "stop_mean_s": sum(r.stop_s for r in group) / len(group),
            "stop_max_s": max(r.stop_s for r in group),
        }
        for (setting, kind, alpha, naive), group in groups.items()
    ]


def _jobs(seeds: int) -> list[tuple[int, int, int, float, bool]]:
    jobs = []
    for setting in range(len(SETTINGS)):
        for kind in range(len(KINDS)):
            for seed in range(seeds):
                jobs.append((setting, kind, seed, 1e-4, False))
            jobs.append((setting, kind, 0, 1e-4, True))
    # The trade-off between false and missed faults by alpha, in one setting.
    for alpha in _ALPHAS:
        for kind in range(len(KINDS)):
            jobs += [(1, kind, seed, alpha, False) for seed in range(100, 100 + seeds)]
    return jobs


@click.command()
@click.option("--seeds", default=10, show_default=True)
@click.option("--processes", default=6, show_default=True)
def main(seeds: int, processes: int) -> None:
    """Run every kind of version in every setting and write the results as JSON."""
    with multiprocessing.Pool(processes) as pool:
        results = pool.map(_run_one, _jobs(seeds), chunksize=4)
    rows = _summarize(results)
    (_RESULTS_DIR / "rollouts.json").write_text(json.dumps(rows, indent=1) + "\n")
    for row in rows:
        click.echo(
            f"{row['setting']:28} {row['kind']:40} alpha {row['alpha']:g} "
            f"{'naive' if row['naive'] else '':6} done {row['done']}/{row['runs']} "
            f"met fault {row['met_fault_mean']:.4%} (max {row['met_fault_max']:.4%}) "
            f"stop {row['stop_mean_s']:.1f} s (max {row['stop_max_s']:.1f} s)"
        )


if __name__ == "__main__":
    main()
