"""Tests of orders that every node works out alike."""

from unittest import mock

import testtools

from burdockdock.clock import ManualClock
from burdockdock.coordination import ranking as ranking_module
from burdockdock.coordination.membership import Member, MembershipTable, MemberState
from burdockdock.coordination.ranking import MemberRanking
from burdockdock.coordination.tree import rank

_NODES = 40
_ZONES = 4


class MemberRankingTest(testtools.TestCase):
    """Tests of forty members in four availability zones."""

    def setUp(self) -> None:
        super().setUp()
        self.members = [
            Member(f"n{i:02}", "h", i, "r", f"z{i % _ZONES}", 1) for i in range(_NODES)
        ]
        self.table = MembershipTable(self.members[0], clock=ManualClock())
        for member in self.members[1:]:
            self.table.merge(member)
        self.ranking = MemberRanking(self.table)
        counting = mock.patch.object(ranking_module, "rank", side_effect=rank)
        self.rank = counting.start()
        self.addCleanup(counting.stop)

    def _expected(self, salt: str, zone: str = "") -> list[Member]:
        live = [m for m in self.table.live() if zone in ("", m.availability_zone)]
        return sorted(live, key=lambda m: rank(m.node_id, salt))

    def _ask_all(self) -> None:
        for salt in ("first", "second"):
            self.assertEqual(self._expected(salt), self.ranking.in_all_zones(salt))
            for i in range(_ZONES):
                zone = f"z{i}"
                order = self.ranking.in_zone(salt, zone)
                self.assertEqual(self._expected(salt, zone), order)

    def test_a_change_of_a_member_ranks_nobody_again(self) -> None:
        self._ask_all()
        self.rank.reset_mock()
        changed = self.members[7]._replace(ready=True, incarnation=2)
        self.table.merge(changed)
        self._ask_all()
        self.assertIn(changed, self.ranking.in_all_zones("first"))
        self.rank.assert_not_called()

    def test_who_joins_is_ranked_alone(self) -> None:
        self._ask_all()
        self.rank.reset_mock()
        self.table.merge(Member("n99", "h", 99, "r", "z1", 1))
        self._ask_all()
        asked = {call.args[0] for call in self.rank.call_args_list}
        self.assertEqual({"n99"}, asked)

    def test_who_is_lost_leaves_no_rank_behind(self) -> None:
        self._ask_all()
        self.table.merge(self.members[7]._replace(state=MemberState.DEAD))
        self._ask_all()
        self.rank.reset_mock()
        self.table.merge(self.members[7]._replace(incarnation=2))
        self._ask_all()
        asked = {call.args[0] for call in self.rank.call_args_list}
        self.assertEqual({"n07"}, asked)
