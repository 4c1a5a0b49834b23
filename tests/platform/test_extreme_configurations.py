"""Tests of accepted configurations whose values are far beyond any use."""

import asyncio
import string

import testtools
from hypothesis import given
from hypothesis import strategies as st

from burdockdock.configuration.lookup import draw_service, find_route
from burdockdock.coordination.records import Record
from burdockdock.node.config_state import CONFIG_KEY, ConfigState
from burdockdock.platform.configuration import CONFIG_SOURCE
from burdockdock.platform_api import PlatformObject
from tests.platform.deployment import Deployment, config_spec
from tests.support import async_test, eventually

_NAMES = st.text(string.ascii_letters + string.digits + "-_.:", min_size=1)
_DURATIONS = st.builds(
    "{}{}".format,
    st.one_of(
        st.integers(0, 10**30),
        st.sampled_from(("0.000000000000001", "900", "9" * 500, "2.5")),
    ),
    st.sampled_from(("ms", "s")),
)
_WEIGHTS = st.one_of(
    st.integers(1, 10**400), st.floats(5e-324, 1.7e308), st.just(1.7e308)
)
_COUNTS = st.one_of(st.integers(0, 10**400), st.floats(0, 1.7e308))
_SPLITS = st.lists(
    st.tuples(st.sampled_from(("desk", "vault")), _WEIGHTS), min_size=1, max_size=4
).map(lambda parts: [{"service": s, "weight": w} for s, w in parts])


@st.composite
def _specs(draw: st.DrawFn, version: int) -> dict:
    """Draw a configuration with one route and one workspace."""
    prefix = draw(st.sampled_from(("/", "/x/", f"/{'y' * 3000}/", "/" * 50)))
    route = {
        "name": draw(_NAMES),
        "hostname": draw(st.one_of(st.just("h.example"), _NAMES)),
        "path-prefix": prefix,
        "kind": draw(st.sampled_from(("idempotent", "non_idempotent", "download"))),
        "timeout": draw(_DURATIONS),
        "target-latency": draw(_DURATIONS),
        "priority": draw(st.one_of(st.none(), _COUNTS)),
        "max-attempts": draw(st.one_of(st.none(), _COUNTS)),
        "service": "desk",
        "traffic-split": draw(st.one_of(st.none(), _SPLITS)),
    }
    tenant = {
        "name": draw(_NAMES),
        "api-keys": draw(st.lists(st.text(st.characters(codec="utf-8")), max_size=3)),
        "rate-per-s": draw(_COUNTS),
        "burst": draw(_COUNTS),
        "priority": draw(_COUNTS),
    }
    return {
        "version": f"r{version}",
        "routes": {"columns": list(route), "rows": [list(route.values())]},
        "services": {"columns": ["name"], "rows": [["desk"], ["vault"]]},
        "tenants": {"columns": list(tenant), "rows": [list(tenant.values())]},
        "limits": {
            "max-header-bytes": draw(_COUNTS),
            "max-body-bytes": draw(_COUNTS),
            "header-timeout": draw(_DURATIONS),
            "idle-timeout": draw(_DURATIONS),
        },
    }


class ExtremeConfigurationTest(testtools.TestCase):
    """Tests that what the platform accepted is applied."""

    @async_test
    async def test_long_timeout_keeps_no_version_from_being_applied(self) -> None:
        # Guards against callers on routes of an older version for good: one value
        # beyond the bounds for operators made nodes refuse what the platform accepted.
        deployment = Deployment()
        deployment.start_store()
        await deployment.store.put("config", "main", spec=config_spec(7))
        node = deployment.make_node("a")
        await node.start()
        for version, timeout in ((9, "900s"), (12, f"{10**20}s")):
            spec = config_spec(version)
            row = spec["routes"]["rows"][0]
            row[spec["routes"]["columns"].index("timeout")] = timeout
            await deployment.store.put("config", "main", spec=spec)
            await eventually(lambda v=version: node.config.snapshot.version == v)
        restarted = await deployment.restart(node)
        self.assertEqual(12, restarted.config.snapshot.version)
        self.assertTrue(restarted.is_ready())
        await deployment.close()

    @given(_specs(5), _specs(9))
    def test_any_accepted_configuration_is_applied_whole(
        self, first: dict, second: dict
    ) -> None:
        # Guards against any other bound of ours on the way to a node's snapshot.
        state = ConfigState("n", is_binding=True)
        for spec, version in ((first, 5), (second, 9)):
            found = PlatformObject("config/main", version, spec)
            document = asyncio.run(CONFIG_SOURCE.read(None, found))
            record = Record(CONFIG_KEY, version, document.encode())
            self.assertTrue(state.accept(record))
            self.assertEqual((version, {}), (state.snapshot.version, state.unused))
            self._check_route(state, spec)

    def _check_route(self, state: ConfigState, spec: dict) -> None:
        row = dict(
            zip(spec["routes"]["columns"], spec["routes"]["rows"][0], strict=True)
        )
        (route,) = state.snapshot.routes.values()
        self.assertEqual(row["path-prefix"], route.path)
        parts = row["traffic-split"] or [{"service": "desk"}]
        drawn = draw_service(route, rng=_HighestDraw())
        self.assertIn(drawn, {part["service"] for part in parts})
        if ":" not in row["hostname"]:
            found = find_route(
                state.snapshot, host=row["hostname"], path=f"{route.path}a"
            )
            self.assertIs(route, found)


class _HighestDraw:
    """A random number generator that always draws the highest number."""

    def random(self) -> float:
        return 1.0 - 2**-53
