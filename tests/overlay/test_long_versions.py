"""Tests of the time until every node applies a long version."""

import functools
import zlib

import testtools

from tests.overlay.links import LinkSpeed
from tests.overlay.long_version import (
    RELAYS,
    DistributionResult,
    distribute_long_version,
    long_delta,
)

_NODES = 83
_SMALL_VERSIONS = 20
# Copies of the long version that one node may send.
_MAX_COPIES = 16
_MAX_LATE_FETCHES = 5
# About 200 kB when compressed.
_MANY_ROUTES = 6000
_LINK = LinkSpeed(10e6, 10e6)
_SLOW_LINK = LinkSpeed(5e6, 5e6)
_FAST_LINK = LinkSpeed(1e9, 1e9)


def _encoded_delta_bytes() -> int:
    """Return the compressed size of the delta, as nodes send it."""
    return len(zlib.compress(long_delta()))


# Cached because a run is deterministic and takes seconds.
@functools.cache
def _distribute_with_burst(
    speeds: tuple[LinkSpeed, ...], stopped: int | None
) -> DistributionResult:
    """Distribute a long version followed by a burst of small ones."""
    return distribute_long_version(
        list(speeds), small_versions=_SMALL_VERSIONS, stopped=stopped
    )


class LongVersionsTest(testtools.TestCase):
    """Tests of a fleet that receives 1,200 routes and then small versions."""

    def _check_within_limit(
        self, speeds: list[LinkSpeed], *, stopped: int | None = None
    ) -> None:
        result = _distribute_with_burst(tuple(speeds), stopped)
        self.assertEqual(0, result.late_count, str(result))

    def test_long_version_arrives_in_time_over_fast_links(self) -> None:
        self._check_within_limit([_FAST_LINK] * _NODES)

    def test_long_version_arrives_in_time_over_equal_links(self) -> None:
        self._check_within_limit([_LINK] * _NODES)

    def test_long_version_arrives_in_time_over_some_slow_links(self) -> None:
        slow = [_SLOW_LINK if i % 5 == 4 else _LINK for i in range(_NODES)]
        self._check_within_limit(slow)

    def test_long_version_arrives_in_time_if_a_relay_stops(self) -> None:
        self._check_within_limit([_LINK] * _NODES, stopped=RELAYS[0])

    def test_version_that_is_long_when_compressed_arrives_in_time(self) -> None:
        result = distribute_long_version(
            [_LINK] * _NODES, small_versions=0, routes=_MANY_ROUTES
        )
        self.assertEqual(0, result.late_count, str(result))

    def test_no_node_sends_long_version_to_whole_fleet(self) -> None:
        result = distribute_long_version([_LINK] * _NODES, small_versions=0)
        max_bytes = _MAX_COPIES * _encoded_delta_bytes()
        self.assertLessEqual(result.busiest_bytes, max_bytes, str(result))

    def test_small_versions_after_long_one_are_rarely_fetched(self) -> None:
        result = _distribute_with_burst((_LINK,) * _NODES, None)
        self.assertLessEqual(result.late_fetches, _MAX_LATE_FETCHES, str(result))
