"""Tests of member pools and their samples."""

import random
from collections import Counter

import testtools

from burdockdock.coordination.membership import Member
from burdockdock.proxy.pool import SAMPLE_SIZE, Locality, Pool, SampleQuotas

_LOCALITY = Locality("n0", "z0", "r0")


class _CountingRandom(random.Random):
    """A random generator that counts the numbers it returns."""

    draw_count = 0

    def random(self) -> float:
        """Count the call and return the next number."""
        self.draw_count += 1
        return super().random()


def _member(i: int, *, zones: int = 3, regions: int = 1, **fields: object) -> Member:
    zone = i % zones
    values = {"slots": 3, "ready": True, **fields}
    return Member(f"n{i}", "h", i, f"r{zone % regions}", f"z{zone}", 1, **values)


def _pool(count: int, **options: int) -> Pool:
    return Pool(_LOCALITY, [_member(i, **options) for i in range(count)])


def _ids(members: list[Member]) -> set[str]:
    return {m.node_id for m in members}


class PoolTest(testtools.TestCase):
    """Tests of a pool's content."""

    def test_pool_contains_members_added_and_not_removed(self) -> None:
        rng = random.Random(5)
        pool, expected = Pool(_LOCALITY), {}
        for _ in range(3000):
            node_id = f"n{rng.randrange(40)}"
            if rng.random() < 0.5:
                pool.remove(node_id)
                expected.pop(node_id, None)
                continue
            member = _member(int(node_id[1:]), slots=rng.randrange(4))
            member = member._replace(availability_zone=f"z{rng.randrange(2)}")
            pool.put(member)
            expected[node_id] = member
            self.assertEqual(member, pool.get(node_id))
        self.assertEqual(sorted(expected.values()), sorted(pool))
        slots = sum(max(1, m.slots) for m in expected.values())
        self.assertEqual((len(expected), slots), (len(pool), pool.slots))
        # With a zone quota of the pool's size the sample contains the whole zone.
        near = [m for m in expected.values() if m.availability_zone == "z0"]
        sample = pool.sample(rng, quotas=SampleQuotas(len(expected), len(expected)))
        self.assertLessEqual(_ids(near), _ids(sample))


class SampleTest(testtools.TestCase):
    """Tests of the members sampled for one call."""

    def setUp(self) -> None:
        super().setUp()
        self.rng = random.Random(7)

    def test_sample_of_small_pool_is_whole_pool(self) -> None:
        for count in (0, 1, 3, 13, SAMPLE_SIZE):
            pool = _pool(count)
            self.assertEqual(_ids(pool), _ids(pool.sample(self.rng)))

    def test_excluded_members_are_left_out_unless_all_are_excluded(self) -> None:
        for count in (3, 13, 17, 19, 64):
            pool = _pool(count)
            for tried in (1, 2, 7):
                excluded = frozenset(f"n{i}" for i in range(min(tried, count - 1)))
                for _ in range(50):
                    sample = _ids(pool.sample(self.rng, excluded=excluded))
                    self.assertTrue(sample)
                    self.assertEqual(frozenset(), sample & excluded)
        three = _pool(3)
        self.assertEqual(3, len(three.sample(self.rng, excluded=_ids(three))))

    def test_sampling_cost_does_not_grow_with_pool_size(self) -> None:
        for count in (17, 64, 4096):
            pool = _pool(count)
            rng = _CountingRandom(3)
            for _ in range(100):
                self.assertLessEqual(len(pool.sample(rng)), SAMPLE_SIZE)
            self.assertLess(rng.draw_count, 100 * 2 * SAMPLE_SIZE)

    def test_sample_contains_own_member_and_quotas_of_zone_and_region(self) -> None:
        pool = _pool(300, zones=15, regions=5)
        for _ in range(200):
            sample = pool.sample(self.rng)
            self.assertIn("n0", _ids(sample))
            zones = Counter(m.availability_zone for m in sample)
            self.assertGreaterEqual(zones["z0"], 10)
            self.assertGreaterEqual(Counter(m.region for m in sample)["r0"], 13)

    def test_region_fills_quota_of_small_zone(self) -> None:
        members = [_member(i, zones=15, regions=5) for i in range(300)]
        other_zones = [m for m in members if m.availability_zone != "z0"]
        pool = Pool(_LOCALITY, [*other_zones, members[0], members[15]])
        for _ in range(200):
            sample = pool.sample(self.rng)
            self.assertLessEqual({"n0", "n15"}, _ids(sample))
            self.assertGreaterEqual(Counter(m.region for m in sample)["r0"], 13)

    def test_whole_pool_fills_quota_of_empty_region(self) -> None:
        far = [_member(i, zones=15, regions=5) for i in range(300)]
        pool = Pool(_LOCALITY, [m for m in far if m.region != "r0"])
        for _ in range(200):
            self.assertGreaterEqual(len(pool.sample(self.rng)), SAMPLE_SIZE - 1)

    def test_no_member_is_sampled_much_less_often_than_its_peers(self) -> None:
        pool = _pool(64)
        seen = Counter(m.node_id for _ in range(4000) for m in pool.sample(self.rng))
        near = [seen[m.node_id] for m in pool if m.availability_zone == "z0"]
        far = [seen[m.node_id] for m in pool if m.availability_zone != "z0"]
        self.assertEqual(64, len(seen))
        self.assertGreater(min(far), 0.75 * sum(far) / len(far))
        self.assertGreater(min(near), 0.75 * sum(near) / len(near))
