"""The time until a version too long for a datagram is in force everywhere."""

import functools
import zlib

import testtools

from tests.overlay.links import LinkSpeed
from tests.overlay.long_version import (
    SOURCES,
    Figures,
    long_delta,
    spread_long_version,
)

_NODES = 83
_SMALL_VERSIONS = 20
# Copies of a version that one node may send.
_MOST_COPIES = 16
_FEW_FETCHES = 5
# About 200 kB when deflated.
_VERY_MANY_ROUTES = 6000
_LINK = LinkSpeed(10e6, 10e6)
_SLOW_LINK = LinkSpeed(5e6, 5e6)
_FAST_LINK = LinkSpeed(1e9, 1e9)


def _encoded_delta_bytes() -> int:
    """Return the long version's size in the form that nodes send."""
    return len(zlib.compress(long_delta()))


# A run comes out the same each time, and takes seconds.
@functools.cache
def _spread_with_storm(speeds: tuple[LinkSpeed, ...], stopped: int | None) -> Figures:
    """Return what came of a spread that small versions follow."""
    return spread_long_version(
        list(speeds), small_versions=_SMALL_VERSIONS, stopped=stopped
    )


class LongVersionsTest(testtools.TestCase):
    """Tests of a fleet that gets 1,200 routes more, and small versions after it."""

    def _check_in_time(
        self, speeds: list[LinkSpeed], *, stopped: int | None = None
    ) -> None:
        figures = _spread_with_storm(tuple(speeds), stopped)
        self.assertEqual(0, figures.late, str(figures))

    def test_a_long_version_is_not_late_where_links_are_fast(self) -> None:
        self._check_in_time([_FAST_LINK] * _NODES)

    def test_a_long_version_is_not_late_where_all_links_are_alike(self) -> None:
        self._check_in_time([_LINK] * _NODES)

    def test_a_long_version_is_not_late_where_links_are_slow(self) -> None:
        slow = [_SLOW_LINK if i % 5 == 4 else _LINK for i in range(_NODES)]
        self._check_in_time(slow)

    def test_a_long_version_is_not_late_where_a_source_stands_still(self) -> None:
        self._check_in_time([_LINK] * _NODES, stopped=SOURCES[0])

    def test_a_version_that_is_long_also_when_deflated_is_not_late(self) -> None:
        figures = spread_long_version(
            [_LINK] * _NODES, small_versions=0, routes=_VERY_MANY_ROUTES
        )
        self.assertEqual(0, figures.late, str(figures))

    def test_no_node_sends_a_long_version_to_the_whole_fleet(self) -> None:
        figures = spread_long_version([_LINK] * _NODES, small_versions=0)
        most_bytes = _MOST_COPIES * _encoded_delta_bytes()
        self.assertLessEqual(figures.busiest_bytes, most_bytes, str(figures))

    def test_small_versions_after_a_long_one_are_not_fetched(self) -> None:
        figures = _spread_with_storm((_LINK,) * _NODES, None)
        self.assertLessEqual(figures.late_fetches, _FEW_FETCHES, str(figures))
