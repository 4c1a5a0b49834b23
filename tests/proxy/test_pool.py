"""Tests of pools."""

import random

import testtools

from burdockdock.coordination.membership import Member
from burdockdock.proxy.pool import Place, Pool

_PLACE = Place("n0", "z0", "r0")


def _member(i: int, *, zones: int = 3, regions: int = 1, **fields: object) -> Member:
    zone = i % zones
    values = {"slots": 3, "ready": True, **fields}
    return Member(f"n{i}", "h", i, f"r{zone % regions}", f"z{zone}", 1, **values)


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
