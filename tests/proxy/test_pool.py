"""Tests of pools and of the samples drawn from them."""

import random
from collections import Counter

import testtools

from burdockdock.coordination.membership import Member
from burdockdock.proxy.pool import LARGEST_WHOLE, Place, Pool, Shares

_PLACE = Place("n0", "z0", "r0")


class _CountingRandom(random.Random):
    """Counts the numbers drawn."""

    drawn = 0

    def random(self) -> float:
        """Return the next number."""
        self.drawn += 1
        return super().random()


def _member(i: int, *, zones: int = 3, regions: int = 1, **fields: object) -> Member:
    zone = i % zones
    values = {"slots": 3, "ready": True, **fields}
    return Member(f"n{i}", "h", i, f"r{zone % regions}", f"z{zone}", 1, **values)


def _pool(count: int, **options: int) -> Pool:
    return Pool(_PLACE, [_member(i, **options) for i in range(count)])


def _ids(members: list[Member]) -> set[str]:
    return {m.node_id for m in members}


class PoolTest(testtools.TestCase):
    """Tests of what a pool holds."""

    def test_it_holds_what_was_put_and_not_removed(self) -> None:
        rng = random.Random(5)
        pool, expected = Pool(_PLACE), {}
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
        # A sample that is filled up from the zone has all of it.
        near = [m for m in expected.values() if m.availability_zone == "z0"]
        found = pool.sample(rng, shares=Shares(len(expected), len(expected)))
        self.assertLessEqual(_ids(near), _ids(found))


class SampleTest(testtools.TestCase):
    """Tests of the members that are compared for one call."""

    def setUp(self) -> None:
        super().setUp()
        self.rng = random.Random(7)

    def test_all_of_a_small_pool_are_compared(self) -> None:
        for count in (0, 1, 3, 13, LARGEST_WHOLE):
            pool = _pool(count)
            self.assertEqual(_ids(pool), _ids(pool.sample(self.rng)))

    def test_one_that_was_tried_is_left_out_unless_all_were(self) -> None:
        for count in (3, 13, 17, 19, 64):
            pool = _pool(count)
            for tried in (1, 2, 7):
                excluded = frozenset(f"n{i}" for i in range(min(tried, count - 1)))
                for _ in range(50):
                    found = _ids(pool.sample(self.rng, excluded=excluded))
                    self.assertTrue(found)
                    self.assertEqual(frozenset(), found & excluded)
        three = _pool(3)
        self.assertEqual(3, len(three.sample(self.rng, excluded=_ids(three))))

    def test_a_sample_costs_the_same_at_each_size(self) -> None:
        for count in (17, 64, 4096):
            pool = _pool(count)
            rng = _CountingRandom(3)
            for _ in range(100):
                self.assertLessEqual(len(pool.sample(rng)), LARGEST_WHOLE)
            self.assertLess(rng.drawn, 100 * 2 * LARGEST_WHOLE)

    def test_the_own_member_and_the_own_zone_are_in_it(self) -> None:
        pool = _pool(300, zones=15, regions=5)
        for _ in range(200):
            found = pool.sample(self.rng)
            self.assertIn("n0", _ids(found))
            zones = Counter(m.availability_zone for m in found)
            self.assertGreaterEqual(zones["z0"], 10)
            self.assertGreaterEqual(Counter(m.region for m in found)["r0"], 13)

    def test_a_zone_of_few_leaves_its_part_to_the_region(self) -> None:
        members = [_member(i, zones=15, regions=5) for i in range(300)]
        far_off = [m for m in members if m.availability_zone != "z0"]
        pool = Pool(_PLACE, [*far_off, members[0], members[15]])
        for _ in range(200):
            found = pool.sample(self.rng)
            self.assertLessEqual({"n0", "n15"}, _ids(found))
            self.assertGreaterEqual(Counter(m.region for m in found)["r0"], 13)

    def test_a_region_without_any_leaves_its_part_to_all(self) -> None:
        far = [_member(i, zones=15, regions=5) for i in range(300)]
        pool = Pool(_PLACE, [m for m in far if m.region != "r0"])
        for _ in range(200):
            self.assertGreaterEqual(len(pool.sample(self.rng)), LARGEST_WHOLE - 1)

    def test_each_member_has_its_chance(self) -> None:
        pool = _pool(64)
        seen = Counter(m.node_id for _ in range(4000) for m in pool.sample(self.rng))
        near = [seen[m.node_id] for m in pool if m.availability_zone == "z0"]
        far = [seen[m.node_id] for m in pool if m.availability_zone != "z0"]
        self.assertEqual(64, len(seen))
        self.assertGreater(min(far), 0.75 * sum(far) / len(far))
        self.assertGreater(min(near), 0.75 * sum(near) / len(near))
