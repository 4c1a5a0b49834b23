"""Measures what workspaces cost when a version is applied and for each request.

Usage: python -m bench.workspaces

Builds a configuration with 1,500 routes and 86 workspaces of 2 keys, applies versions
that change one section each, and authenticates requests. Prints medians of the times in
one process.
"""

import statistics
import time
from collections.abc import Callable

from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.model import Sections, Snapshot
from burdockdock.configuration.workspaces import key_digest
from burdockdock.proxy.authentication import identify

_ROUTES = 1500
_WORKSPACES = 86
_VERSIONS = 200
_REQUESTS = 20_000


def _workspace(index: int, generation: int = 0) -> dict[str, str]:
    keys = (f"first-{index}-{generation}", f"second-{index}")
    digests = ",".join(key_digest(key.encode()) for key in keys)
    return {"key_digests": digests, "rate_per_s": "10", "burst": "20"}


def _route(index: int, timeout_ms: int = 1000) -> dict[str, str]:
    path = f"/p{index}/"
    return {"path": path, "service": "work", "timeout_ms": str(timeout_ms)}


def _build(sections: Sections) -> Snapshot:
    built = build_snapshot(sections, version=1)
    assert isinstance(built, Snapshot), built
    return built


def _median_ms(previous: Snapshot, change: Callable[[int], Sections]) -> float:
    """Return the median time to apply a version that changes some sections."""
    times_s = []
    for i in range(_VERSIONS):
        sections = {**previous.sections, **change(i)}
        started_s = time.perf_counter()
        build_snapshot(sections, version=2, previous=previous)
        times_s.append(time.perf_counter() - started_s)
    return statistics.median(times_s) * 1000


def _identify_us(snapshot: Snapshot, key: str) -> float:
    """Return the mean time to authenticate a request."""
    route = next(iter(snapshot.routes.values()))
    started_s = time.perf_counter()
    for _ in range(_REQUESTS):
        identify(
            snapshot,
            route,
            key,
            missing_version=lambda: 0,
            count=lambda *_, **__: None,
        )
    return (time.perf_counter() - started_s) / _REQUESTS * 1e6


def main() -> None:
    """Measure and print."""
    plain: Sections = {"service work": {}}
    plain |= {f"route r{i}": _route(i) for i in range(_ROUTES)}
    workspaces = {f"workspace w{i}": _workspace(i) for i in range(_WORKSPACES)}
    without, snapshot = _build(plain), _build({**plain, **workspaces})

    def one_route(i: int) -> Sections:
        return {f"route r{i}": _route(i, 900)}

    def one_key(i: int) -> Sections:
        index = i % _WORKSPACES
        return {f"workspace w{index}": _workspace(index, i + 1)}

    def all_keys(i: int) -> Sections:
        return {f"workspace w{j}": _workspace(j, i + 1) for j in range(_WORKSPACES)}

    print(f"one route changed, no workspaces: {_median_ms(without, one_route):.3f} ms")
    print(f"one route changed:                {_median_ms(snapshot, one_route):.3f} ms")
    print(f"one key changed:                  {_median_ms(snapshot, one_key):.3f} ms")
    print(f"a key of each workspace changed:  {_median_ms(snapshot, all_keys):.3f} ms")
    print(f"request, no workspaces:           {_identify_us(without, ''):.2f} us")
    known_us, unknown_us = (_identify_us(snapshot, k) for k in ("second-3", "x" * 40))
    print(f"request with a key:               {known_us:.2f} us")
    print(f"request with an unknown key:      {unknown_us:.2f} us")


if __name__ == "__main__":
    main()
