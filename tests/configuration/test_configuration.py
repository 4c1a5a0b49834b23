"""Tests of configuration checks, lookup, deltas, and acceptance under faults."""

import itertools
import random
from datetime import UTC, datetime

import testtools
from hypothesis import given
from hypothesis import strategies as st

from burdockdock.clock import ManualClock
from burdockdock.configuration.acceptance import (
    Accepted,
    Rejected,
    Undecided,
    accept,
    find_outcome,
    read_document,
    read_head,
)
from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.delta import (
    ConfigDocument,
    apply_delta,
    changed_sections,
    encode_delta,
)
from burdockdock.configuration.ini import (
    configuration_digest,
    read_sections,
    write_sections,
)
from burdockdock.configuration.lookup import find_route, policy_for
from burdockdock.configuration.model import (
    EMPTY_SNAPSHOT,
    Policy,
    Route,
    Sections,
    Snapshot,
)
from tests.support import FakePlatform, async_test

VALID_CONFIG = """
[defaults]
timeout_ms = 1000
[service desk]
timeout_ms = 1500
[service vault]
[route all]
path = /
service = desk
[route trips]
path = /trips
service = vault
class = packets
[route trips-host]
path = /trips
host = trips.example
service = desk
[exception slow]
scope = service:vault
setting = timeout_ms
value = 9000
reason = the archive is being split
expires = 2026-06-01T00:00:00Z
"""

_NAMES = st.sampled_from(["a", "b", "c"])
_SECTIONS = st.dictionaries(
    st.one_of(
        st.just("defaults"),
        _NAMES.map(lambda n: f"service {n}"),
        _NAMES.map(lambda n: f"route {n}"),
    ),
    st.fixed_dictionaries(
        {},
        optional={
            "timeout_ms": st.sampled_from(["1", "20", "x"]),
            "path": st.sampled_from(["/", "/a", "/b/"]),
            "service": _NAMES,
        },
    ),
    max_size=6,
)


def build_valid_snapshot(text: str) -> Snapshot:
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


class ChecksTest(testtools.TestCase):
    """Tests of the checks of a whole configuration."""

    def test_each_problem_names_its_section_and_key(self) -> None:
        for change, place in (
            (("[service vault]", "[service other]"), ("route trips", "service")),
            (("path = /trips\nservice", "path = /\nservice"), ("route trips", "path")),
            (
                ("path = /trips\nhost", "path = trips\nhost"),
                ("route trips-host", "path"),
            ),
            (
                ("timeout_ms = 1500", "timeout_ms = 1.5s"),
                ("service desk", "timeout_ms"),
            ),
            (("timeout_ms = 1500", "timeot_ms = 15"), ("service desk", "timeot_ms")),
            (("the archive is being split", " "), ("exception slow", "reason")),
            (("service:vault", "service:nowhere"), ("exception slow", "scope")),
            (("-06-01T00:00:00Z", "-06-01"), ("exception slow", "expires")),
            (("[defaults]", "[default]"), ("default", "")),
        ):
            self.assertIn(change[0], VALID_CONFIG)
            problems = build_snapshot(
                read_sections(VALID_CONFIG.replace(*change)), version=1
            )
            self.assertIsInstance(problems, list, change)
            self.assertIn(place, [(p.section, p.key) for p in problems], change)

    def test_sections_survive_a_round_trip_as_text(self) -> None:
        sections = read_sections(VALID_CONFIG)
        self.assertEqual(sections, read_sections(write_sections(sections)))

    def test_duplicate_section_is_rejected(self) -> None:
        self.assertIsInstance(read_sections(VALID_CONFIG + "[service desk]\n"), list)

    @given(_SECTIONS, _SECTIONS)
    def test_incremental_build_equals_full_build(
        self, old: Sections, new: Sections
    ) -> None:
        """Guard against a build on a previous snapshot that differs from a full one."""
        previous = build_snapshot(old, version=1)
        full = build_snapshot(new, version=2)
        if isinstance(previous, list):
            return
        incremental = build_snapshot(new, version=2, previous=previous)
        if isinstance(full, list):
            self.assertEqual(sorted(map(str, full)), sorted(map(str, incremental)))
            return
        self.assertEqual(full, incremental)
        self.assertEqual(configuration_digest(new), incremental.digest)
        for route in incremental.routes.values():
            self.assertIn(route.service, incremental.services)


class LookupTest(testtools.TestCase):
    """Tests of the lookup of routes and policies."""

    def test_route_lookup_agrees_with_linear_search(self) -> None:
        text = VALID_CONFIG + "[route deep]\npath = /trips/deep/\nservice = desk\n"
        snapshot = build_valid_snapshot(text)
        paths = ["/", "/trips", "/trips/", "/trips/deep", "/trips/deep/x", "/tripsy"]
        for host, path in itertools.product(("", "trips.example", "x"), paths):
            expected = _reference_route(snapshot, host, path)
            self.assertEqual(expected, find_route(snapshot, host=host, path=path), path)

    def test_exception_applies_until_it_expires(self) -> None:
        snapshot = build_valid_snapshot(VALID_CONFIG)
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


class DeltaTest(testtools.TestCase):
    """Tests of deltas between versions."""

    @given(_SECTIONS, _SECTIONS, _SECTIONS)
    def test_delta_yields_the_new_version_or_none(
        self, old: Sections, new: Sections, other: Sections
    ) -> None:
        first, second = ConfigDocument(1, old), ConfigDocument(2, new, "a", "b")
        data = encode_delta(first, second, digest=configuration_digest(new))
        self.assertEqual(
            second, apply_delta(first, data, digest=configuration_digest(old))
        )
        applied = apply_delta(
            ConfigDocument(1, other), data, digest=configuration_digest(other)
        )
        self.assertIn(applied, (None, second))

    def test_shared_sections_are_not_compared(self) -> None:
        shared = _UncomparableSection(path="/a")
        old = {"route a": shared, "route b": {"path": "/b"}, "route c": {}}
        new = {"route a": shared, "route b": {"path": "/x"}, "route d": {}}
        expected = {"route b": {"path": "/x"}, "route d": {}}
        self.assertEqual(expected, changed_sections(old, new))


class _UncomparableSection(dict):
    """A section that fails the test when it is compared."""

    __hash__ = None

    def __eq__(self, other: object) -> bool:
        raise AssertionError("compared")

    __ne__ = __eq__


class AcceptanceTest(testtools.TestCase):
    """Tests of acceptance with each fault at each write, and of concurrent changes."""

    async def _accept(
        self, platform: FakePlatform, author: str, **options: object
    ) -> Accepted | Rejected | Undecided:
        head = await read_head(platform)
        return await accept(
            platform,
            read_sections(VALID_CONFIG),
            base=options.pop("base", head),
            author=author,
            reason="test",
            clock=ManualClock(),
            **options,
        )

    @async_test
    async def test_reported_outcome_matches_the_stored_head(self) -> None:
        faults = ("lost_before", "lost_after", "both")
        for number, fault in itertools.product((1, 2, 3), faults):
            write_faults = {number: fault}
            if fault == "both":
                write_faults = {number: "lost_after", number + 1: "lost_before"}
            platform = FakePlatform(write_faults)
            result = await self._accept(platform, "one", token="mine")
            head = await read_head(platform)
            accepted = head.find_entry("mine") is not None
            if isinstance(result, Accepted):
                self.assertTrue(accepted, write_faults)
                document = await read_document(platform, head)
                self.assertEqual(read_sections(VALID_CONFIG), document.sections)
            elif isinstance(result, Rejected):
                self.assertFalse(accepted, write_faults)
            else:
                later = await find_outcome(platform, "mine", base_version=0)
                self.assertEqual(accepted, isinstance(later, Accepted), write_faults)

    @async_test
    async def test_first_of_two_concurrent_changes_wins_and_is_reported(self) -> None:
        platform = FakePlatform()
        base = await read_head(platform)
        first = await self._accept(platform, "first", base=base)
        second = await self._accept(platform, "second", base=base)
        self.assertEqual(Accepted(1), first)
        self.assertIsInstance(second, Rejected)
        self.assertEqual(("first", 1), (second.winner.author, second.winner.version))

    @async_test
    async def test_invalid_configuration_writes_nothing(self) -> None:
        platform = FakePlatform()
        head = await read_head(platform)
        result = await accept(
            platform,
            {"route x": {"path": "/", "service": "none"}},
            base=head,
            author="a",
            reason="b",
            clock=ManualClock(),
        )
        self.assertIsInstance(result, Rejected)
        self.assertEqual({}, platform.objects)
