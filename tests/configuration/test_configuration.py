"""Tests of checks, lookup, deltas, and acceptance under faults."""

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
from burdockdock.configuration.ini import digest_of, read_sections, write_sections
from burdockdock.configuration.lookup import find_route, policy_for
from burdockdock.configuration.model import (
    EMPTY_SNAPSHOT,
    Policy,
    Route,
    Sections,
    Snapshot,
)
from tests.support import FakePlatform, async_test

GOOD = """
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


def snapshot_of(text: str) -> Snapshot:
    """Return the snapshot of a good configuration."""
    built = build_snapshot(read_sections(text), version=1)
    assert isinstance(built, Snapshot), built
    return built


def _naive_route(snapshot: Snapshot, host: str, path: str) -> Route | None:
    """Find a route by looking at all of them."""
    found = [
        route
        for route in snapshot.routes.values()
        if route.host in ("", host)
        and path.startswith(route.path)
        and (route.path.endswith("/") or path[len(route.path) :][:1] in ("", "/"))
    ]
    order = sorted(found, key=lambda r: (bool(r.host), len(r.path)))
    return order[-1] if order else None


def _naive_policy(snapshot: Snapshot, route: Route, now: datetime) -> Policy:
    """Look at each exception, the widest scope first, on node n of zone z."""
    keys = {**snapshot.services[route.service].policy_keys, **route.policy_keys}
    names = (
        ("zone", "z"),
        ("service", route.service),
        ("route", route.name),
        ("node", "n"),
    )
    for kind, name in names:
        for _, override in sorted(snapshot.overrides.items()):
            expired = override.expires is not None and override.expires <= now
            if (override.scope_kind, override.scope_name) == (kind, name):
                keys |= {} if expired else {override.setting: override.value}
    return snapshot.defaults._replace(**keys)


class ChecksTest(testtools.TestCase):
    """Tests of the checks of a whole configuration."""

    def test_each_problem_is_named_with_its_place(self) -> None:
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
            self.assertIn(change[0], GOOD)
            problems = build_snapshot(read_sections(GOOD.replace(*change)), version=1)
            self.assertIsInstance(problems, list, change)
            self.assertIn(place, [(p.section, p.key) for p in problems], change)

    def test_text_survives_reading_and_writing(self) -> None:
        sections = read_sections(GOOD)
        self.assertEqual(sections, read_sections(write_sections(sections)))

    def test_doubled_section_is_refused(self) -> None:
        self.assertIsInstance(read_sections(GOOD + "[service desk]\n"), list)

    @given(_SECTIONS, _SECTIONS)
    def test_building_on_another_snapshot_changes_nothing(
        self, old: Sections, new: Sections
    ) -> None:
        """Incremental building equals building from nothing, problems included."""
        previous = build_snapshot(old, version=1)
        whole = build_snapshot(new, version=2)
        if isinstance(previous, list):
            return
        built = build_snapshot(new, version=2, previous=previous)
        if isinstance(whole, list):
            self.assertEqual(sorted(map(str, whole)), sorted(map(str, built)))
            return
        self.assertEqual(whole, built)
        self.assertEqual(digest_of(new), built.digest)
        for route in built.routes.values():
            self.assertIn(route.service, built.services)


class LookupTest(testtools.TestCase):
    """Tests of finding routes and policies."""

    def test_agrees_with_looking_at_all_routes(self) -> None:
        text = GOOD + "[route deep]\npath = /trips/deep/\nservice = desk\n"
        snapshot = snapshot_of(text)
        paths = ["/", "/trips", "/trips/", "/trips/deep", "/trips/deep/x", "/tripsy"]
        for host, path in itertools.product(("", "trips.example", "x"), paths):
            expected = _naive_route(snapshot, host, path)
            self.assertEqual(expected, find_route(snapshot, host=host, path=path), path)

    def test_exception_holds_until_it_expires(self) -> None:
        snapshot = snapshot_of(GOOD)
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

    def test_of_two_exceptions_alike_the_same_holds_on_every_node(self) -> None:
        sections = read_sections(GOOD)
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
        found = {
            self._timeout_ms(build_snapshot(later, version=2, previous=known))
            for known in (EMPTY_SNAPSHOT, previous)
        }
        self.assertEqual({200}, found)

    def test_policies_agree_with_looking_at_all_exceptions(self) -> None:
        rng = random.Random(4)
        scopes = [
            *("zone:z", "zone:y", "service:desk", "service:vault", "route:all"),
            *("route:trips", "node:n", "node:m"),
        ]
        for _ in range(100):
            sections = read_sections(GOOD)
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
                self.assertEqual(_naive_policy(snapshot, route, now), policy)

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
    """Tests of differences between versions."""

    @given(_SECTIONS, _SECTIONS, _SECTIONS)
    def test_leads_to_the_new_version_or_nowhere(
        self, old: Sections, new: Sections, other: Sections
    ) -> None:
        first, second = ConfigDocument(1, old), ConfigDocument(2, new, "a", "b")
        data = encode_delta(first, second, digest=digest_of(new))
        self.assertEqual(second, apply_delta(first, data, digest=digest_of(old)))
        led = apply_delta(ConfigDocument(1, other), data, digest=digest_of(other))
        self.assertIn(led, (None, second))

    def test_sections_that_versions_share_are_not_compared(self) -> None:
        shared = _NeverCompared(path="/a")
        old = {"route a": shared, "route b": {"path": "/b"}, "route c": {}}
        new = {"route a": shared, "route b": {"path": "/x"}, "route d": {}}
        expected = {"route b": {"path": "/x"}, "route d": {}}
        self.assertEqual(expected, changed_sections(old, new))


class _NeverCompared(dict):
    """A section whose pairs must not be looked at."""

    __hash__ = None

    def __eq__(self, other: object) -> bool:
        raise AssertionError("compared")

    __ne__ = __eq__


class AcceptanceTest(testtools.TestCase):
    """Every fault at every write of accepting a configuration."""

    async def _accept(
        self, platform: FakePlatform, author: str, **options: object
    ) -> Accepted | Rejected | Undecided:
        head = await read_head(platform)
        return await accept(
            platform,
            read_sections(GOOD),
            base=options.pop("base", head),
            author=author,
            reason="test",
            clock=ManualClock(),
            **options,
        )

    @async_test
    async def test_outcome_told_is_the_one_that_holds(self) -> None:
        faults = ("lost_before", "lost_after", "both")
        for number, fault in itertools.product((1, 2, 3), faults):
            script = {number: fault}
            if fault == "both":
                script = {number: "lost_after", number + 1: "lost_before"}
            platform = FakePlatform(script)
            result = await self._accept(platform, "one", token="mine")
            head = await read_head(platform)
            taken = head.entry_of("mine") is not None
            if isinstance(result, Accepted):
                self.assertTrue(taken, script)
                document = await read_document(platform, head)
                self.assertEqual(read_sections(GOOD), document.sections)
            elif isinstance(result, Rejected):
                self.assertFalse(taken, script)
            else:
                later = await find_outcome(platform, "mine", base_version=0)
                self.assertEqual(taken, isinstance(later, Accepted), script)

    @async_test
    async def test_one_of_two_racing_operators_wins_and_the_other_is_told(self) -> None:
        platform = FakePlatform()
        base = await read_head(platform)
        first = await self._accept(platform, "first", base=base)
        second = await self._accept(platform, "second", base=base)
        self.assertEqual(Accepted(1), first)
        self.assertIsInstance(second, Rejected)
        self.assertEqual(("first", 1), (second.winner.author, second.winner.version))

    @async_test
    async def test_bad_configuration_writes_nothing(self) -> None:
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
