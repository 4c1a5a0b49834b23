"""Tests of the membership table and the record store."""

import functools
import operator

import testtools
from hypothesis import given
from hypothesis import strategies as st

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.coordination.records import Record, RecordStore

_IDS = ("a", "b", "c")


def member(node_id: str, incarnation: int = 1, **fields: object) -> Member:
    """Return a member with fixed address, region and availability zone."""
    return Member(node_id, "127.0.0.1", 7000, "r", "z", incarnation, **fields)


_UPDATES = st.lists(
    st.builds(
        lambda i, n, s: member(i, n, state=MemberState(s)),
        st.sampled_from(_IDS),
        st.integers(1, 4),
        st.integers(0, 2),
    ),
    max_size=20,
)


class MembershipTableTest(testtools.TestCase):
    """Tests of one membership table."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.table = MembershipTable(member("own"), clock=self.clock)

    def test_own_death_is_refuted(self) -> None:
        dead = member("own", 5, state=MemberState.DEAD)
        self.assertTrue(self.table.merge(dead))
        self.assertEqual(6, self.table.own.incarnation)
        self.assertIs(MemberState.ALIVE, self.table.own.state)

    def test_refutation_is_forwarded_instead_of_the_update(self) -> None:
        suspect = member("own", 5, state=MemberState.SUSPECT)
        self.assertEqual(member("own", 6), self.table.merge(suspect))
        self.assertEqual(member("own", 6), self.table.merge(suspect))
        self.assertIsNone(self.table.merge(member("own", 5)))

    def test_refuted_suspect_is_not_confirmed_dead(self) -> None:
        self.table.merge(member("a"))
        suspect = self.table.suspect("a")
        self.table.merge(member("a", 2))
        self.assertIsNone(self.table.confirm_dead("a", incarnation=suspect.incarnation))
        self.assertIs(MemberState.ALIVE, self.table.get("a").state)

    def test_restart_with_the_same_name_supersedes_its_death(self) -> None:
        self.table.merge(member("a", 1, state=MemberState.DEAD))
        self.assertTrue(self.table.merge(member("a", 1000)))
        self.assertFalse(self.table.merge(member("a", 1, state=MemberState.DEAD)))

    @given(_UPDATES, st.booleans())
    def test_digest_combines_the_bucket_digests(
        self, updates: list[Member], expire_tombstones: bool
    ) -> None:
        clock = ManualClock()
        table = MembershipTable(member("own"), clock=clock)
        for update in updates:
            table.merge(update)
        if expire_tombstones:
            clock.advance(901)
            table.remove_expired()
        combined = functools.reduce(operator.xor, table.bucket_digests)
        self.assertEqual(combined, table.digest)

    def test_expired_tombstones_are_removed(self) -> None:
        digest = self.table.digest
        self.table.merge(member("a", 1, state=MemberState.DEAD))
        self.clock.advance(901)
        self.assertEqual(1, self.table.remove_expired())
        self.assertEqual(digest, self.table.digest)

    @given(_UPDATES, st.randoms(use_true_random=False))
    def test_tables_converge_with_reordered_and_repeated_updates(
        self, updates: list[Member], rng: object
    ) -> None:
        first = MembershipTable(member("own"), clock=ManualClock())
        second = MembershipTable(member("own"), clock=ManualClock())
        for update in updates:
            first.merge(update)
        shuffled = updates + updates[:3]
        rng.shuffle(shuffled)
        for update in shuffled:
            second.merge(update)
        self.assertEqual(first.bucket_digests, second.bucket_digests)


class RecordStoreTest(testtools.TestCase):
    """Tests of one record store."""

    @given(
        st.lists(
            st.tuples(st.sampled_from(_IDS), st.integers(1, 5)), min_size=1, max_size=30
        ),
        st.randoms(use_true_random=False),
    )
    def test_versions_never_go_down_and_replicas_agree(
        self, versions_to_put: list[tuple[str, int]], rng: object
    ) -> None:
        first, second = RecordStore(), RecordStore()
        for key, version in versions_to_put:
            before = first.version(key)
            first.put(Record(key, version, b"%d" % version))
            self.assertGreaterEqual(first.version(key), before)
        rng.shuffle(versions_to_put)
        for key, version in versions_to_put:
            second.put(Record(key, version, b"%d" % version))
        self.assertEqual(first.versions(), second.versions())
        self.assertEqual(
            (first.digest, first.version_sum), (second.digest, second.version_sum)
        )

    def test_refused_record_leaves_the_older_one(self) -> None:
        store = RecordStore(accept=lambda record: record.value != b"bad")
        store.put(Record("k", 1, b"good"))
        self.assertTrue(store.put(Record("k", 2, b"bad")))
        self.assertEqual((1, 2), (store.get("k").version, store.version("k")))
        self.assertFalse(store.put(Record("k", 2, b"good")))
        self.assertTrue(store.put(Record("k", 3, b"good")))
