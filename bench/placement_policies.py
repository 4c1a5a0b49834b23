"""Compares ways of choosing a backend server in a small model, in virtual time.

Usage: python -m bench.placement_policies

One service, whose backend servers differ in speed, gets calls of two sizes. What is
known of a server is as old as the latest of the regular reports.
"""

import heapq
import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import click

_SERVERS = 36
_SLOTS = 3
_CALLS = 40_000
_WARM_UP_CALLS = 4_000
_SHORT_S = 0.12
_LONG_FACTOR = 7.0
_LONG_SHARE = 0.04
_SPEEDS = (0.6, 1.0, 1.4)
_REPORT_AGES_S = (0.0, 0.2, 1.0)
_LOADS = (0.7, 0.9)
_RESULTS_DIR = Path(__file__).parent / "results"


class _Server:
    """A server with first come, first served slots; only its reported state is known.

    :param speed: work that a slot does in a second.
    """

    def __init__(self, speed: float) -> None:
        self.speed = speed
        self._free_at_s = [0.0] * _SLOTS
        self._ends_s: list[float] = []
        self.calls = 0
        self.work_s = 0.0

    def report(self, now_s: float) -> None:
        """Update what is known of the server."""
        self._ends_s = [end_s for end_s in self._ends_s if end_s > now_s]
        self.calls = len(self._ends_s)
        self.work_s = sum(max(0.0, free_s - now_s) for free_s in self._free_at_s)

    def run(self, now_s: float, cost_s: float) -> float:
        """Run a call and return its end; the caller's node adds what it sent."""
        start_s = max(now_s, heapq.heappop(self._free_at_s))
        end_s = start_s + cost_s / self.speed
        heapq.heappush(self._free_at_s, end_s)
        self._ends_s.append(end_s)
        self.calls += 1
        self.work_s += cost_s / self.speed
        return end_s


class _Call(NamedTuple):
    cost_s: float
    is_long: bool


_Policy = Callable[[list[_Server], _Call, random.Random], _Server]


def _finish_by_calls(server: _Server, call: _Call) -> float:
    waiting = max(0, server.calls + 1 - _SLOTS)
    return (call.cost_s + waiting * _mean_cost_s() / _SLOTS) / server.speed


def _finish_by_work(server: _Server, call: _Call) -> float:
    wait_s = server.work_s / _SLOTS if server.calls >= _SLOTS else 0.0
    return wait_s + call.cost_s / server.speed


def _random(servers: list[_Server], call: _Call, rng: random.Random) -> _Server:
    return rng.choice(servers)


def _shortest_queue(servers: list[_Server], call: _Call, rng: random.Random) -> _Server:
    return min(servers, key=lambda s: (s.calls, rng.random()))


def _two_choices(servers: list[_Server], call: _Call, rng: random.Random) -> _Server:
    return _shortest_queue(rng.sample(servers, 2), call, rng)


def _finish_of_all_by_calls(
    servers: list[_Server], call: _Call, rng: random.Random
) -> _Server:
    return min(servers, key=lambda s: _finish_by_calls(s, call) * _jitter(rng))


def _least_remaining_work(
    servers: list[_Server], call: _Call, rng: random.Random
) -> _Server:
    return min(servers, key=lambda s: _finish_by_work(s, call) * _jitter(rng))


def _size_intervals(servers: list[_Server], call: _Call, rng: random.Random) -> _Server:
    """Keep a share of the servers for long calls, by their share of the work."""
    long_work = _LONG_SHARE * _LONG_FACTOR
    count = round(len(servers) * long_work / (1.0 - _LONG_SHARE + long_work))
    part = servers[:count] if call.is_long else servers[count:]
    return _least_remaining_work(part, call, rng)


_POLICIES: dict[str, _Policy] = {
    "random": _random,
    "shortest queue of 2": _two_choices,
    "shortest queue of all": _shortest_queue,
    "expected finish by calls": _finish_of_all_by_calls,
    "expected finish by remaining work": _least_remaining_work,
    "size intervals": _size_intervals,
}


def _jitter(rng: random.Random) -> float:
    return 1.0 + 0.05 * (2.0 * rng.random() - 1.0)


def _mean_cost_s() -> float:
    return _SHORT_S * (1.0 + _LONG_SHARE * (_LONG_FACTOR - 1.0))


def simulate(policy: _Policy, *, load: float, report_age_s: float) -> dict[str, float]:
    """Return quantiles of the calls' durations in seconds.

    :param report_age_s: seconds between two reports of all servers, 0 for exact ones.
    """
    rng = random.Random(1)
    speeds = [_SPEEDS[i % len(_SPEEDS)] for i in range(_SERVERS)]
    rng.shuffle(speeds)
    servers = [_Server(speed) for speed in speeds]
    rate = load * sum(speeds) * _SLOTS / _mean_cost_s()
    now_s, next_report_s = 0.0, 0.0
    durations_s: list[tuple[float, bool]] = []
    for _ in range(_CALLS):
        now_s += rng.expovariate(rate)
        if now_s >= next_report_s:
            next_report_s = now_s + report_age_s
            for server in servers:
                server.report(now_s)
        is_long = rng.random() < _LONG_SHARE
        cost_s = _SHORT_S * (_LONG_FACTOR if is_long else 1.0) * rng.uniform(0.6, 1.4)
        server = policy(servers, _Call(cost_s, is_long), rng)
        durations_s.append((server.run(now_s, cost_s) - now_s, is_long))
    kept = durations_s[_WARM_UP_CALLS:]
    short_s = sorted(s for s, is_long in kept if not is_long)
    long_s = sorted(s for s, is_long in kept if is_long)
    return {
        "short_p50_s": _quantile(short_s, 0.5),
        "short_p99_s": _quantile(short_s, 0.99),
        "long_p99_s": _quantile(long_s, 0.99),
    }


def _quantile(sorted_s: list[float], share: float) -> float:
    return round(sorted_s[int(len(sorted_s) * share)], 3)


@click.command()
def main() -> None:
    """Simulate all policies and write their quantiles as JSON."""
    rows = [
        {
            "policy": name,
            "load": load,
            "report_age_s": age_s,
            **simulate(policy, load=load, report_age_s=age_s),
        }
        for load in _LOADS
        for age_s in _REPORT_AGES_S
        for name, policy in _POLICIES.items()
    ]
    path = _RESULTS_DIR / "placement_policies.json"
    path.write_text(json.dumps(rows, indent=1) + "\n")
    for row in rows:
        click.echo(" ".join(f"{key}={value}" for key, value in row.items()))


if __name__ == "__main__":
    main()
