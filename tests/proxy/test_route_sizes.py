"""Tests of the learned sizes of routes."""

import testtools

from burdockdock.clock import ManualClock
from burdockdock.protocol.calls import AnswerHead, CallRequest
from burdockdock.proxy.route_sizes import (
    RouteSizes,
    answer_head_size_bytes,
    request_size_bytes,
)


class RouteSizesTest(testtools.TestCase):
    """Tests that sizes are learned by route in bounded memory."""

    def test_mean_follows_the_sizes_of_its_route(self) -> None:
        sizes = RouteSizes(clock=ManualClock())
        for _ in range(100):
            sizes.record("small", 2_000)
            sizes.record("large", 50_000)
        self.assertAlmostEqual(2.0, sizes.expected_kb("small"))
        self.assertAlmostEqual(50.0, sizes.expected_kb("large"))
        for _ in range(100):
            sizes.record("small", 10_000)
        self.assertAlmostEqual(10.0, sizes.expected_kb("small"), places=2)

    def test_unknown_route_has_a_size_by_its_kind(self) -> None:
        sizes = RouteSizes(clock=ManualClock())
        ordinary_kb = sizes.expected_kb("new")
        self.assertGreater(sizes.expected_kb("new", large_answer=True), ordinary_kb)

    def test_memory_is_bounded(self) -> None:
        # Guards against growth by routes that one configuration after another brings.
        sizes = RouteSizes(clock=ManualClock())
        for i in range(10_000):
            sizes.record(f"route-{i}", 1_000)
        self.assertLess(len(sizes), 5_000)
        self.assertEqual(1.0, sizes.expected_kb("route-9999"))

    def test_route_without_calls_is_forgotten(self) -> None:
        clock = ManualClock()
        sizes = RouteSizes(clock=clock)
        sizes.record("gone", 90_000)
        for _ in range(3):
            clock.advance(500.0)
            sizes.record("used", 1_000)
        self.assertEqual(1, len(sizes))

    def test_heads_and_bodies_count(self) -> None:
        headers = (("name", "value"),)
        request = CallRequest(
            "id", "w", "c", "r", "s", 1, True, "PUT", "/abc", headers, 100, b"x" * 40
        )
        self.assertEqual(4 + 13 + 100, request_size_bytes(request))
        head = AnswerHead(200, "OK", headers, b"x" * 7)
        self.assertEqual(13 + 7, answer_head_size_bytes(head))
