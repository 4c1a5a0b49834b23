"""Tests of cold backend servers: their limits, and what others of the zone tell."""

import testtools

from burdockdock.clock import ManualClock
from burdockdock.configuration.checks import build_snapshot
from burdockdock.configuration.ini import read_sections
from burdockdock.coordination.membership import Member, MembershipTable
from burdockdock.gate.cold_admission import ColdAdmission, ColdLimits
from burdockdock.metrics import Metrics
from burdockdock.node.cold_servers import cold_limits_callback, suspect_cold_with_zone
from burdockdock.node.settings import NodeSettings, parse_settings

_CONFIG = """
[service work]
cold_per_s = 8
cold_start_ms = 2500
[service warming]
cold_start_ms = 4000
[service other]
"""
_SETTINGS = """
[node]
name = n
mesh = m
region = r
availability_zone = z1
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
operators = 127.0.0.1:3
[platform]
url = http://127.0.0.1:4
[limits]
"""


def _settings(limits: str) -> NodeSettings:
    return parse_settings(_SETTINGS + limits)


def _member(node_id: str, zone: str, incarnation: int, **fields: object) -> Member:
    return Member(node_id, "h", 1, "r", zone, incarnation, service="work", **fields)


class LimitsTest(testtools.TestCase):
    """Tests of the limits from the configuration and the settings."""

    def test_limits(self) -> None:
        snapshot = build_snapshot(read_sections(_CONFIG), version=1)
        for limits, bound in (
            ("cold_overage = 1.5\ncold_slack = 8", 20.0),
            ("cold_overage =\ncold_slack =", 0.0),
        ):
            limits_of = cold_limits_callback(_settings(limits), lambda: snapshot)
            self.assertEqual(ColdLimits(8.0, 2.5, bound), limits_of("work"))
            self.assertEqual(ColdLimits(0.0, 4.0, 0.0), limits_of("warming"))
            self.assertEqual(ColdLimits(), limits_of("other"))
            self.assertEqual(ColdLimits(), limits_of("unknown"))

    def test_service_with_a_cold_start_and_no_rate(self) -> None:
        # Guards against evidence from a server that is cold after its start without
        # saying so.
        snapshot = build_snapshot(read_sections(_CONFIG), version=1)
        clock = ManualClock()
        admission = ColdAdmission(
            clock=clock,
            metrics=Metrics(),
            limits_of=cold_limits_callback(_settings(""), lambda: snapshot),
        )
        admission.record_announcement("warming", None, new_start=True)
        self.assertTrue(admission.is_warming_up)
        self.assertFalse(admission.is_limiting("warming"))
        clock.advance(4.1)
        self.assertFalse(admission.is_warming_up)


class SuspicionTest(testtools.TestCase):
    """Tests of the suspicion that a member which turns cold raises in its zone."""

    def setUp(self) -> None:
        super().setUp()
        clock = ManualClock()
        self.membership = MembershipTable(_member("own", "z1", 1), clock=clock)
        self.admission = ColdAdmission(
            clock=clock, metrics=Metrics(), limits_of=lambda _: ColdLimits(8.0)
        )
        suspect_cold_with_zone(self.membership, self.admission)

    def _limits_after(self, *updates: Member) -> bool:
        for update in updates:
            self.membership.merge(update)
        return self.admission.is_limiting("work")

    def test_member_of_the_zone_that_turns_cold(self) -> None:
        self.assertFalse(self._limits_after(_member("a", "z1", 1, ready=True)))
        cold = _member("a", "z1", 2, ready=True, cold=True)
        self.assertTrue(self._limits_after(cold))
        self.assertFalse(self.admission.is_cold("work"))

    def test_member_of_another_zone(self) -> None:
        warm = _member("a", "z2", 1, ready=True)
        cold = _member("a", "z2", 2, ready=True, cold=True)
        self.assertFalse(self._limits_after(warm, cold))

    def test_member_that_starts(self) -> None:
        # Guards against a zone that is slowed down by each start of a server.
        starting = _member("a", "z1", 1)
        cold = _member("a", "z1", 2, ready=True, cold=True)
        self.assertFalse(self._limits_after(starting, cold))
        unknown = _member("b", "z1", 1, ready=True, cold=True)
        self.assertFalse(self._limits_after(unknown))

    def test_own_server(self) -> None:
        self.membership.update_own(ready=True)
        self.membership.update_own(cold=True)
        self.assertFalse(self._limits_after())
