"""Tests of the ranking of members."""

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
    """Tests with 40 members in four availability zones."""

    def setUp(self) -> None:
        super().setUp()
        self.members = [
            Member(f"n{i:02}", "h", i, "r", f"z{i % _ZONES}", 1) for i in range(_NODES)
        ]
        self.table = MembershipTable(self.members[0], clock=ManualClock())
        for member in self.members[1:]:
            self.table.merge(member)
        self.ranking = MemberRanking(self.table)
        rank_patch = mock.patch.object(ranking_module, "rank", side_effect=rank)
        self.rank = rank_patch.start()
        self.addCleanup(rank_patch.stop)

    def _expected(self, salt: str, zone: str = "") -> list[Member]:
        live = [m for m in self.table.live() if zone in ("", m.availability_zone)]
        return sorted(live, key=lambda m: rank(m.node_id, salt))

    def _check_all_rankings(self) -> None:
        for salt in ("first", "second"):
            self.assertEqual(self._expected(salt), self.ranking.in_all_zones(salt))
            for i in range(_ZONES):
                zone = f"z{i}"
                order = self.ranking.in_zone(salt, zone)
                self.assertEqual(self._expected(salt, zone), order)

    def test_changed_member_is_not_ranked_again(self) -> None:
        self._check_all_rankings()
        self.rank.reset_mock()
        changed = self.members[7]._replace(ready=True, incarnation=2)
        self.table.merge(changed)
        self._check_all_rankings()
        self.assertIn(changed, self.ranking.in_all_zones("first"))
        self.rank.assert_not_called()

    def test_only_a_joining_member_is_ranked(self) -> None:
        self._check_all_rankings()
        self.rank.reset_mock()
        self.table.merge(Member("n99", "h", 99, "r", "z1", 1))
        self._check_all_rankings()
        ranked_ids = {call.args[0] for call in self.rank.call_args_list}
        self.assertEqual({"n99"}, ranked_ids)

    def test_rank_of_a_dead_member_is_not_kept(self) -> None:
        self._check_all_rankings()
        self.table.merge(self.members[7]._replace(state=MemberState.DEAD))
        self._check_all_rankings()
        self.rank.reset_mock()
        self.table.merge(self.members[7]._replace(incarnation=2))
        self._check_all_rankings()
        ranked_ids = {call.args[0] for call in self.rank.call_args_list}
        self.assertEqual({"n07"}, ranked_ids)
