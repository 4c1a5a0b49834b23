"""Tests of when a node refuses calls for what it knows of the newest version."""

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination.records import Record, RecordStore
from burdockdock.node.config_freshness import ConfigFreshness

_KEY = "config"
_APPLY_TIMEOUT_S = 2.5
_TICK_S = 0.25


class _Node:
    """A node that ticks, and is told of versions by others."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.records = RecordStore(clock=self.clock)
        self.records.put(Record(_KEY, 10, b""))
        self.peers = True
        self.asked = 0
        self.freshness = ConfigFreshness(
            self.records,
            apply_timeout_s=_APPLY_TIMEOUT_S,
            held_version=lambda: self.records.held_version(_KEY),
            has_peers=lambda: self.peers,
            ask_peers=self._ask,
            clock=self.clock,
            count=lambda name: None,
        )
        self.freshness._joined_s = self.clock.monotonic()

    def live(self, duration_s: float, *, told: int = 0) -> None:
        """Run for a while; others tell of a version all the time unless it is 0."""
        for _ in range(round(duration_s / _TICK_S)):
            if told:
                self.records.note_advertised(_KEY, told)
            self.freshness.tick()
            self.clock.advance(_TICK_S)

    @property
    def reason(self) -> str:
        """Why calls are refused, empty if they aren't."""
        refusal = self.freshness.refusal()
        return "" if refusal is None else refusal.reason

    def _ask(self) -> None:
        self.asked += 1


class ConfigFreshnessTest(testtools.TestCase):
    """Tests of one node."""

    def test_node_that_has_the_newest_version_serves(self) -> None:
        node = _Node()
        node.live(10, told=10)
        self.assertEqual(("", 0), (node.reason, node.asked))

    def test_missing_version_is_tolerated_for_half_of_the_time_allowed(self) -> None:
        node = _Node()
        node.live(1, told=13)
        self.assertEqual("", node.reason)
        node.live(0.5, told=13)
        self.assertEqual("configuration_behind", node.reason)
        node.records.put(Record(_KEY, 13, b""))
        self.assertEqual("", node.reason)

    def test_node_that_is_always_one_version_behind_serves(self) -> None:
        node = _Node()
        for version in range(11, 40):
            node.live(0.5, told=version)
            self.assertEqual("", node.reason)
            node.records.put(Record(_KEY, version, b""))

    def test_version_that_nobody_has_any_more_is_not_awaited_for_ever(self) -> None:
        node = _Node()
        node.live(2, told=13)
        self.assertEqual("configuration_behind", node.reason)
        node.live(6, told=10)
        self.assertEqual("", node.reason)

    def test_node_without_news_asks_and_then_refuses_for_a_second(self) -> None:
        node = _Node()
        node.live(2, told=10)
        node.live(1)
        self.assertEqual("", node.reason)
        node.live(0.5)
        self.assertGreater(node.asked, 0)
        self.assertEqual("configuration_unconfirmed", node.reason)
        node.live(1)
        self.assertEqual("", node.reason)

    def test_answer_ends_the_refusal(self) -> None:
        node = _Node()
        node.live(2, told=10)
        node.live(1.5)
        self.assertEqual("configuration_unconfirmed", node.reason)
        node.records.note_advertised(_KEY, 10)
        self.assertEqual("", node.reason)

    def test_process_that_was_stopped_asks_before_it_serves(self) -> None:
        node = _Node()
        node.live(5, told=10)
        node.clock.advance(7)
        self.assertEqual("configuration_unconfirmed", node.reason)
        node.live(0.25)
        self.assertEqual("configuration_unconfirmed", node.reason)
        node.live(2)
        self.assertEqual("", node.reason)

    def test_node_alone_serves(self) -> None:
        node = _Node()
        node.peers = False
        node.live(5)
        self.assertEqual("", node.reason)
