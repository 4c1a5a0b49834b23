"""Tests of decoding the operator's configuration into sections."""

import random
from collections import Counter

import testtools

from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.lookup import draw_service, find_route, policy_for
from burdockdock.configuration.model import Workspace
from burdockdock.configuration.workspaces import key_digest
from burdockdock.coordination.verdict import Failure
from burdockdock.platform.configuration import CONFIG_SOURCE
from burdockdock.platform_api import PlatformObject
from tests.support import async_test

_COLUMNS = [
    "name",
    "hostname",
    "path-prefix",
    "kind",
    "timeout",
    "target-latency",
    "priority",
    "traffic-split",
    "max-attempts",
    "service",
]
_SPLIT = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]


def _spec() -> dict:
    return {
        "version": "r7",
        "routes": {
            "columns": _COLUMNS,
            "rows": [
                ["r1", "h.example", "/x/", "idempotent", "1200ms", "600ms", 2]
                + [_SPLIT, 2, None],
                ["r2", "h.example", "/x/y/", "non_idempotent", "1.5s", None, 1]
                + [None, 1, "b"],
            ],
        },
        "services": {
            "columns": ["name", "health-path"],
            "rows": [["a", "/health"], ["b", "/health"]],
        },
        "limits": {"idle-timeout": "15000ms"},
    }


def _add_column(spec: dict, table: str, column: str, value: object) -> None:
    spec[table]["columns"] = [*spec[table]["columns"], column]
    for row in spec[table]["rows"]:
        row.append(value)


def _tenants(rows: list) -> dict:
    columns = ["name", "api-keys", "priority", "rate-per-s", "burst"]
    return {"columns": [*columns, "allowed-regions"], "rows": rows}


class ConfigurationTest(testtools.TestCase):
    """Tests of decoded routes, splits and malformed configurations."""

    async def _snapshot(self, spec: dict):
        document = await CONFIG_SOURCE.read(
            None, PlatformObject("config/main", 9, spec)
        )
        return build_snapshot(document.sections, version=document.version)

    @async_test
    async def test_routes_are_decoded_with_their_policies(self) -> None:
        snapshot = await self._snapshot(_spec())
        self.assertEqual(7, snapshot.version)
        longer_path = find_route(snapshot, host="h.example", path="/x/y/z")
        shorter_path = find_route(snapshot, host="H.example:80", path="/x/q")
        self.assertEqual(("r2", "r1"), (longer_path.name, shorter_path.name))
        self.assertEqual(
            ("non_idempotent", 1), (longer_path.kind, longer_path.priority)
        )
        policy = policy_for(
            snapshot, longer_path, availability_zone="z", node_id="n", now=None
        )
        self.assertEqual((1500, 0), (policy.timeout_ms, policy.retries))
        self.assertEqual(600, shorter_path.target_latency_ms)
        self.assertIsNone(find_route(snapshot, host="h.example", path="/x"))
        self.assertIsNone(find_route(snapshot, host="other.example", path="/x/"))

    @async_test
    async def test_a_split_keeps_its_weights(self) -> None:
        snapshot = await self._snapshot(_spec())
        route = find_route(snapshot, host="h.example", path="/x/")
        rng = random.Random(1)
        drawn = Counter(draw_service(route, rng=rng) for _ in range(2000))
        self.assertAlmostEqual(0.1, drawn["b"] / 2000, delta=0.02)

    @async_test
    async def test_cold_servers_and_allowed_regions(self) -> None:
        spec = _spec()
        spec["services"] = {
            "columns": ["name", "cold-per-s", "cold-start"],
            "rows": [["a", 8.5, "2.5s"], ["b", None, None]],
        }
        spec["routes"]["columns"] = [*_COLUMNS, "allowed-regions"]
        rows = spec["routes"]["rows"]
        rows[0].append(["eu", "us"])
        rows[1].append([])
        snapshot = await self._snapshot(spec)
        cold, other = snapshot.services["a"], snapshot.services["b"]
        self.assertEqual((8.5, 2500), (cold.cold_per_s, cold.cold_start_ms))
        self.assertEqual((0.0, 0), (other.cold_per_s, other.cold_start_ms))
        regions = {r.name: r.allowed_regions for r in snapshot.routes.values()}
        self.assertEqual({"r1": ("eu", "us"), "r2": ()}, regions)

    @async_test
    async def test_workspaces_are_decoded_with_digests_of_their_keys(self) -> None:
        rows = [
            ["acme", ["k-1", "schlüssel"], 3, 7.5, 20, ["north", "south"]],
            ["bare", ["k-2"], None, None, None, None],
            ["keyless", [], 77, 0, 0, []],
        ]
        snapshot = await self._snapshot({**_spec(), "tenants": _tenants(rows)})
        acme = Workspace(
            "acme",
            tuple(key_digest(key.encode()) for key in ("k-1", "schlüssel")),
            3,
            7.5,
            20.0,
            ("north", "south"),
        )
        bare = Workspace("bare", (key_digest(b"k-2"),))
        self.assertEqual(
            {"acme": acme, "bare": bare, "keyless": Workspace("keyless", (), 9)},
            snapshot.workspaces.by_name,
        )
        self.assertEqual(3, len(snapshot.workspaces.by_digest))

    @async_test
    async def test_authentication_is_off_without_tenants(self) -> None:
        for spec in (
            _spec(),
            {**_spec(), "tenants": None},
            {**_spec(), "tenants": _tenants([])},
        ):
            snapshot = await self._snapshot(spec)
            self.assertFalse(snapshot.workspaces.authenticates)

    @async_test
    async def test_only_true_makes_a_route_public(self) -> None:
        for value, expected in (
            (True, True),
            (False, False),
            (None, False),
            ("false", False),
            (1, False),
        ):
            spec = _spec()
            spec["routes"]["columns"] = [*_COLUMNS, "public"]
            for row in spec["routes"]["rows"]:
                row.append(value)
            snapshot = await self._snapshot(spec)
            self.assertEqual({expected}, {r.public for r in snapshot.routes.values()})

    @async_test
    async def test_no_error_says_a_key(self) -> None:
        # Guards against keys in the log of a node that can't read a configuration.
        for row in (
            ["acme", ["secret", 5], 1, 1, 1, []],
            ["acme", "secret", 1, 1, 1, []],
            ["acme", ["secret"], 1, 1, 1, "secret"],
            ["acme", ["secret"], "secret", 1, 1, []],
            ["acme", [], 1, "secret", 1, []],
            ["acme", ["secret"], 1, 1, ["secret"], []],
            ["acme", ["secret"], 1, 1, 1],
            ["acme", {"secret": 1}, 1, 1, 1, [1]],
        ):
            found = PlatformObject(
                "config/main", 9, {**_spec(), "tenants": _tenants([row])}
            )
            result = await CONFIG_SOURCE.read(None, found)
            self.assertIsInstance(result, Failure, row)
            self.assertNotIn("secret", repr(result))

    @async_test
    async def test_limits_for_callers_become_a_section(self) -> None:
        limits = {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout": "3000ms",
            "idle-timeout": "15s",
        }
        found = PlatformObject("config/main", 9, {**_spec(), "limits": limits})
        document = await CONFIG_SOURCE.read(None, found)
        expected = {
            "max_header_bytes": "16384",
            "max_body_bytes": "67108864",
            "header_timeout_ms": "3000",
            "idle_timeout_ms": "15000",
        }
        self.assertEqual(expected, document.sections["limits"])
        snapshot = build_snapshot(document.sections, version=9)
        self.assertEqual(67108864, snapshot.limits.max_body_bytes)

    @async_test
    async def test_malformed_configuration_is_refused_as_a_whole(self) -> None:
        for corrupt in (
            lambda spec: spec.pop("version"),
            lambda spec: spec.update(version="7"),
            lambda spec: spec.pop("services"),
            lambda spec: spec["routes"]["rows"][0].pop(),
            lambda spec: spec["routes"]["rows"][0].__setitem__(4, "soon"),
            lambda spec: spec["routes"]["rows"][0].__setitem__(2, None),
            lambda spec: _add_column(spec, "routes", "allowed-regions", "eu"),
            lambda spec: _add_column(spec, "routes", "allowed-regions", ["a,b"]),
            lambda spec: _add_column(spec, "services", "cold-per-s", "many"),
            lambda spec: _add_column(spec, "services", "cold-start", 3),
        ):
            spec = _spec()
            corrupt(spec)
            result = await CONFIG_SOURCE.read(
                None, PlatformObject("config/main", 9, spec)
            )
            self.assertIsInstance(result, Failure)
            self.assertEqual("config_unreadable", result.reason)
