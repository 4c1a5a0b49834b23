"""Tests of merging members from messages into the membership table."""

from unittest import mock

import testtools
from hypothesis import given
from hypothesis import strategies as st

from burdockdock.clock import ManualClock
from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.protocol import decode, encode, members
from burdockdock.protocol.members import merge_member, pack_member

_UPDATES = st.lists(
    st.builds(
        lambda i, n, s, r: Member(i, "h", 1, "r", "z", n, MemberState(s), ready=r),
        st.sampled_from(("own", "a", "b")),
        st.integers(1, 4),
        st.integers(0, 2),
        st.booleans(),
    ),
    max_size=20,
)


def _new_table() -> MembershipTable:
    return MembershipTable(Member("own", "h", 1, "r", "z", 2), clock=ManualClock())


class MergeMemberTest(testtools.TestCase):
    """Tests of :func:`merge_member`."""

    @given(_UPDATES)
    def test_result_equals_merging_every_unpacked_update(
        self, updates: list[Member]
    ) -> None:
        table, reference = _new_table(), _new_table()
        packed = encode("ping", mesh="m", members=[pack_member(r) for r in updates])
        for update, item in zip(updates, decode(packed).ping.members, strict=True):
            self.assertEqual(reference.merge(update), merge_member(table, item))
        self.assertEqual(list(reference), list(table))

    def test_entry_survives_a_round_trip(self) -> None:
        entry = Member(
            "a", "h", 1, "r", "z", 1, ready=True, slots=3, stopped=True, cold=True
        )
        packed = encode("ping", mesh="m", members=[pack_member(entry)])
        self.assertEqual(entry, members.unpack_member(decode(packed).ping.members[0]))

    def test_known_update_is_not_unpacked(self) -> None:
        update = Member("a", "h", 1, "r", "z", 1)
        packed = encode("ping", mesh="m", members=[pack_member(update)] * 3)
        table = _new_table()
        with mock.patch.object(
            members, "unpack_member", side_effect=members.unpack_member
        ) as unpack:
            for item in decode(packed).ping.members:
                merge_member(table, item)
        self.assertEqual(1, unpack.call_count)
