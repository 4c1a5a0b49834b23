"""Tests of the lookup of routes and policies."""

import itertools
import random
import tracemalloc
from datetime import UTC, datetime

import testtools
from hypothesis import given
from hypothesis import strategies as st

from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.ini import read_sections
from burdockdock.configuration.lookup import find_route, policy_for
from burdockdock.configuration.model import (
    EMPTY_SNAPSHOT,
    Policy,
    Route,
    Snapshot,
)
from tests.configuration.configurations import VALID_CONFIG


def _build_valid_snapshot(text: str) -> Snapshot:
    """Build the snapshot of a valid configuration."""
    built = build_snapshot(read_sections(text), version=1)
    assert isinstance(built, Snapshot), built
    return built


def _reference_route(snapshot: Snapshot, host: str, path: str) -> Route | None:
    """Find the most specific route by a search through all of them."""
    matching = [
        route
        for route in snapshot.routes.values()
        if route.host in ("", host)
        and path.startswith(route.path)
        and (route.path.endswith("/") or path[len(route.path) :][:1] in ("", "/"))
    ]
    ordered = sorted(matching, key=lambda r: (bool(r.host), len(r.path)))
    return ordered[-1] if ordered else None


def _reference_policy(snapshot: Snapshot, route: Route, now: datetime) -> Policy:
    """Compute the policy on node n of zone z by a search through all exceptions.

    Exceptions apply from the widest scope to the narrowest.
    """
    settings = {
        **snapshot.services[route.service].policy_settings,
        **route.policy_settings,
    }
    scopes = (
        ("zone", "z"),
        ("service", route.service),
        ("route", route.name),
        ("node", "n"),
    )
    for kind, name in scopes:
        for _, override in sorted(snapshot.overrides.items()):
            expired = override.expires is not None and override.expires <= now
            if (override.scope_kind, override.scope_name) == (kind, name):
                settings |= {} if expired else {override.setting: override.value}
    return snapshot.defaults._replace(**settings)


class LookupTest(testtools.TestCase):
    """Tests of the lookup of routes and policies."""

    def test_route_lookup_agrees_with_linear_search(self) -> None:
        text = VALID_CONFIG + "[route deep]\npath = /trips/deep/\nservice = desk\n"
        snapshot = _build_valid_snapshot(text)
        paths = ["/", "/trips", "/trips/", "/trips/deep", "/trips/deep/x", "/tripsy"]
        for host, path in itertools.product(("", "trips.example", "x"), paths):
            expected = _reference_route(snapshot, host, path)
            self.assertEqual(expected, find_route(snapshot, host=host, path=path), path)

    def test_memory_of_a_lookup_is_linear_in_the_path(self) -> None:
        # Guards against a path of slashes that takes a process over its memory.
        rows = (
            f"[route r{i}]\npath = /{'a/' * i}\nservice = desk\n" for i in range(99)
        )
        snapshot = _build_valid_snapshot("[service desk]\n" + "".join(rows))
        for path in ("/" * 16_000, "/a" * 8_000, "/" + "a" * 16_000):
            tracemalloc.start()
            route = find_route(snapshot, host="trips.example", path=path)
            peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
            self.assertEqual(path.startswith("/a/a/"), route.path.startswith("/a/"))
            self.assertLess(peak_bytes, 4 * len(path))

    @given(
        st.lists(st.text("/ab", max_size=6).map("/{}".format), max_size=8, unique=True),
        st.text("/ab", max_size=9).map("/{}".format),
    )
    def test_any_route_lookup_agrees_with_linear_search(
        self, route_paths: list[str], path: str
    ) -> None:
        rows = (
            f"[route r{i}]\npath = {route_path}\nservice = desk\n"
            for i, route_path in enumerate(route_paths)
        )
        snapshot = _build_valid_snapshot("[service desk]\n" + "".join(rows))
        found = find_route(snapshot, host="", path=path)
        self.assertEqual(_reference_route(snapshot, "", path), found)

    def test_exception_applies_until_it_expires(self) -> None:
        snapshot = _build_valid_snapshot(VALID_CONFIG)
        route = find_route(snapshot, host="", path="/trips/1")
        for month, timeout_ms in ((5, 9000), (7, 1000)):
            policy = policy_for(
                snapshot,
                route,
                availability_zone="z",
                node_id="n",
                now=datetime(2026, month, 1, tzinfo=UTC),
            )
            self.assertEqual(timeout_ms, policy.timeout_ms)

    def test_conflicting_exceptions_resolve_the_same_on_every_node(self) -> None:
        sections = read_sections(VALID_CONFIG)
        for name, value in (("first", "100"), ("second", "200")):
            sections[f"exception {name}"] = {
                "scope": "service:desk",
                "setting": "timeout_ms",
                "value": value,
                "reason": "a long reason",
            }
        changed = {**sections["exception first"], "value": "150"}
        later = {**sections, "exception first": changed}
        previous = build_snapshot(sections, version=1)
        self.assertIsInstance(previous, Snapshot)
        timeouts_ms = {
            self._timeout_ms(build_snapshot(later, version=2, previous=base))
            for base in (EMPTY_SNAPSHOT, previous)
        }
        self.assertEqual({200}, timeouts_ms)

    def test_policy_lookup_agrees_with_linear_search(self) -> None:
        rng = random.Random(4)
        scopes = [
            *("zone:z", "zone:y", "service:desk", "service:vault", "route:all"),
            *("route:trips", "node:n", "node:m"),
        ]
        for _ in range(100):
            sections = read_sections(VALID_CONFIG)
            for i in rng.sample(range(30), 8):
                sections[f"exception e{i}"] = {
                    "scope": rng.choice(scopes),
                    "setting": rng.choice(("timeout_ms", "retries")),
                    "value": str(rng.randrange(1, 5)),
                    "reason": "a long reason",
                    "expires": f"2026-0{rng.randrange(6, 9)}-15T00:00:00Z",
                }
            snapshot = build_snapshot(sections, version=1)
            for route in snapshot.routes.values():
                now = datetime(2026, 7, 1, tzinfo=UTC)
                policy = policy_for(
                    snapshot, route, availability_zone="z", node_id="n", now=now
                )
                self.assertEqual(_reference_policy(snapshot, route, now), policy)

    def _timeout_ms(self, snapshot: Snapshot) -> int:
        policy = policy_for(
            snapshot,
            next(r for r in snapshot.routes.values() if r.service == "desk"),
            availability_zone="z",
            node_id="n",
            now=datetime(2026, 7, 1, tzinfo=UTC),
        )
        return policy.timeout_ms
