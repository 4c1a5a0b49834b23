"""Tests of the decisions about quotas: buckets, deputies, shares and stocks."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from burdockdock.coordination.membership import Member, MemberState
from burdockdock.coordination.quota import (
    Grantor,
    QuotaAsk,
    QuotaBounds,
    QuotaGrant,
    QuotaLimit,
    fallback_rate_share,
)
from burdockdock.coordination.quota_deputy import Deputy
from burdockdock.coordination.quota_share import FleetShare
from burdockdock.coordination.quota_stock import Stock

_BOUNDS = QuotaBounds()
_LIMIT = QuotaLimit(10.0, 5.0)


def _ask(number: int, count: int = 1, node_id: str = "a") -> QuotaAsk:
    return QuotaAsk("w", node_id, number, count)


class GrantorTest(testtools.TestCase):
    """Tests of the bucket of a workspace."""

    def _grant(self, grantor: Grantor, ask: QuotaAsk, now_s: float) -> QuotaGrant:
        return grantor.grant(ask, _LIMIT, share=1.0, now_s=now_s)

    def test_a_new_bucket_is_empty(self) -> None:
        """Guards against a second burst by each node that becomes the grantor."""
        grantor = Grantor(_BOUNDS, empty_since_s=0.0)
        grant = self._grant(grantor, _ask(1), 0.0)
        self.assertEqual(0, grant.count)
        self.assertGreater(grant.retry_after_s, 0)

    def test_a_bucket_that_follows_another_waits(self) -> None:
        """Guards against tokens for the time in which another node granted them."""
        grantor = Grantor(_BOUNDS, empty_since_s=0.0)
        grantor.start_empty(10.5)
        self.assertEqual(0, self._grant(grantor, _ask(1), 10.4).count)
        self.assertEqual(1, self._grant(grantor, _ask(2, 9), 10.61).count)

    def test_a_repeated_ask_gets_the_same_grant(self) -> None:
        """Guards against tokens that are taken twice after a lost datagram."""
        grantor = Grantor(_BOUNDS, empty_since_s=0.0)
        first = self._grant(grantor, _ask(1, 3), 10.0)
        again = self._grant(grantor, _ask(1, 3), 10.02)
        self.assertEqual((3, first), (first.count, again))
        self.assertEqual(2, self._grant(grantor, _ask(2, 9), 10.02).count)

    def test_denied_nodes_are_told_different_times(self) -> None:
        """Guards against nodes that all ask again for the same token."""
        grantor = Grantor(_BOUNDS, empty_since_s=0.0)
        turns = [
            self._grant(grantor, _ask(1, node_id=str(i)), 0.0).retry_after_s
            for i in range(3)
        ]
        # A quarter of the tolerance of 25.5 requests, over 5 s, is 1.275 a second.
        step_s = 1 / 11.275
        expected = [round(i * step_s, 6) for i in (1, 2, 3)]
        self.assertEqual(expected, [round(turn, 6) for turn in turns])

    def test_a_window_of_full_demand_stays_within_half_of_the_tolerance(self) -> None:
        """Guards against an extra rate that leaves nothing for grants on their way."""
        grantor = Grantor(_BOUNDS, empty_since_s=0.0)
        granted = sum(
            self._grant(grantor, _ask(i, 100), 10.0 + i * 0.05).count
            for i in range(101)
        )
        limit = _LIMIT.rate_per_s * _BOUNDS.window_s + _LIMIT.burst
        self.assertGreater(granted, limit)
        self.assertLessEqual(granted, limit + _BOUNDS.tolerance(_LIMIT) / 2)

    def test_a_lowered_limit_takes_tokens_away(self) -> None:
        """Guards against a burst that only the older version allowed."""
        grantor = Grantor(_BOUNDS, empty_since_s=0.0)
        high = QuotaLimit(100.0, 500.0)
        grantor.grant(_ask(1), high, share=1.0, now_s=10.0)
        grant = grantor.grant(_ask(2, 100), _LIMIT, share=1.0, now_s=10.1)
        self.assertEqual(5, grant.count)

    def test_a_reset_empties_all_buckets(self) -> None:
        """Guards against a paused grantor that goes on beside its successor."""
        grantor = Grantor(_BOUNDS, empty_since_s=0.0)
        self._grant(grantor, _ask(1), 100.0)
        grantor.reset(100.0)
        self.assertEqual(0, self._grant(grantor, _ask(2), 100.0).count)

    def test_a_bucket_is_kept_until_it_is_full(self) -> None:
        """Guards against a whole burst, again, for a bucket that fills slowly."""
        limit = QuotaLimit(2.0, 600.0)
        grantor = Grantor(_BOUNDS, empty_since_s=0.0)
        first = grantor.grant(_ask(1, 1000), limit, share=1.0, now_s=1000.0)
        self.assertEqual(600, first.count)
        grantor.prune(1061.0)
        again = grantor.grant(_ask(2, 1000), limit, share=1.0, now_s=1061.0)
        filled = 61 * _BOUNDS.granted_rate_per_s(limit)
        self.assertEqual(int(filled), again.count)
        grantor.prune(1061.0 + 600 / _BOUNDS.granted_rate_per_s(limit) + 1)
        self.assertEqual([], grantor.workspaces)

    @given(
        rate_per_s=st.floats(0.5, 300),
        burst=st.floats(0, 500),
        steps=st.lists(st.tuples(st.floats(0, 2), st.integers(1, 100)), max_size=60),
    )
    def test_grants_stay_within_the_limit(
        self, rate_per_s: float, burst: float, steps: list[tuple[float, int]]
    ) -> None:
        """Guards against a bucket that grants above its rate and depth."""
        limit = QuotaLimit(rate_per_s, burst)
        grantor = Grantor(_BOUNDS, empty_since_s=0.0)
        granted: list[tuple[float, int]] = []
        now_s = 0.0
        for number, (pause_s, count) in enumerate(steps):
            now_s += pause_s
            grant = grantor.grant(_ask(number, count), limit, share=1.0, now_s=now_s)
            granted.append((now_s, grant.count))
        window_s = _BOUNDS.window_s + _BOUNDS.grant_life_s(limit)
        allowed = rate_per_s * _BOUNDS.window_s + burst + _BOUNDS.tolerance(limit)
        for end_s, _ in granted:
            used = sum(n for at_s, n in granted if end_s - window_s < at_s <= end_s)
            self.assertLessEqual(used, allowed + 1e-6)


class DeputyTest(testtools.TestCase):
    """Tests of the second by rank while the grantor doesn't respond."""

    def _grant(self, deputy: Deputy, number: int, now_s: float) -> QuotaGrant:
        deputy.next_probe("w", now_s)
        return deputy.grant(_ask(number, 100), _LIMIT, share=1.0, now_s=now_s)

    def test_it_grants_only_while_the_grantor_is_silent(self) -> None:
        """Guards against two nodes that grant the whole rate."""
        deputy = Deputy(_BOUNDS)
        probe = deputy.next_probe("w", 0.0)
        self.assertEqual(0, self._grant(deputy, 1, 0.01).count)
        silent = self._grant(deputy, 2, 0.1)
        self.assertEqual(int(0.25 * _BOUNDS.tolerance(_LIMIT)), silent.count)
        deputy.note_answer("w", probe.number, 0.12)
        self.assertFalse(self._grant(deputy, 3, 0.13).is_grantor)

    def test_its_allowance_is_granted_once(self) -> None:
        """Guards against an allowance for each short silence of the grantor."""
        deputy = Deputy(_BOUNDS)
        self._grant(deputy, 1, 0.0)
        first = self._grant(deputy, 2, 0.1).count
        probe = deputy.next_probe("w", 0.3)
        deputy.note_answer("w", probe.number, 0.31)
        deputy.next_probe("w", 1.0)
        second = self._grant(deputy, 3, 1.2).count
        self.assertLessEqual(second, first * 0.2 + 1)

    def test_its_allowance_is_kept_for_two_windows(self) -> None:
        """Guards against a second allowance after a minute where windows are longer."""
        deputy = Deputy(_BOUNDS._replace(window_s=100.0))
        self._grant(deputy, 1, 0.0)
        first = self._grant(deputy, 2, 0.1).count
        probe = deputy.next_probe("w", 0.3)
        deputy.note_answer("w", probe.number, 0.31)
        deputy.prune(61.0)
        self._grant(deputy, 3, 61.0)
        second = self._grant(deputy, 4, 61.1).count
        self.assertLess(second, first / 2)
        deputy.prune(262.0)
        self.assertEqual({}, deputy._states)

    def test_its_part_of_the_rate_rises_slowly(self) -> None:
        """Guards against two whole rates until a partition is noticed."""
        self.assertEqual(0.15, fallback_rate_share(2.9))
        self.assertAlmostEqual(0.575, fallback_rate_share(5.5))
        self.assertEqual(1.0, fallback_rate_share(60.0))
        self.assertEqual(0.15, fallback_rate_share(2.9, alive_share=0.95))
        self.assertEqual(1.0, fallback_rate_share(4.0, alive_share=0.95))


def _members(alive: int, suspect: int = 0) -> list[Member]:
    states = [MemberState.ALIVE] * alive + [MemberState.SUSPECT] * suspect
    return [Member(f"n{i}", "h", 1, "r", "z", 1, s) for i, s in enumerate(states)]


class FleetShareTest(testtools.TestCase):
    """Tests of the share of the rate that a part of the fleet may grant."""

    def _share(self, fleet: FleetShare, members: list[Member], now_s: float) -> float:
        return fleet.share(members, answers=(True,), now_s=now_s)

    def test_parts_of_the_fleet_add_up_to_one(self) -> None:
        """Guards against partitions that each grant the whole rate."""
        total = 0.0
        for part in (range(3), range(3, 10)):
            fleet = FleetShare()
            members = _members(10)
            for i in set(range(10)) - set(part):
                fleet.note_member(members[i]._replace(state=MemberState.DEAD), 0.0)
            total += self._share(fleet, [members[i] for i in part], 1.0)
        self.assertAlmostEqual(1.0, total)

    def test_suspects_dont_count_as_alive(self) -> None:
        """Guards against a whole rate until suspects are confirmed dead."""
        self.assertAlmostEqual(0.6, self._share(FleetShare(), _members(6, 4), 0.0))

    def test_the_share_rises_only_after_a_while(self) -> None:
        """Guards against two grantors right after a partition has healed."""
        fleet = FleetShare()
        self._share(fleet, _members(6, 4), 10.0)
        self.assertAlmostEqual(0.6, self._share(fleet, _members(10), 11.0))
        self.assertEqual(1.0, self._share(fleet, _members(10), 12.1))

    def test_dead_members_are_forgotten_after_a_minute(self) -> None:
        """Guards against a share that stays low after nodes were removed."""
        fleet = FleetShare()
        fleet.note_member(_members(1)[0]._replace(state=MemberState.DEAD), 0.0)
        self.assertAlmostEqual(0.9, self._share(fleet, _members(9), 1.0))
        self.assertEqual(1.0, self._share(fleet, _members(9), 63.0))

    def test_members_taken_for_dead_still_share_the_quotas(self) -> None:
        """Guards against floors that grow as a part takes the others for dead."""
        fleet = FleetShare()
        fleet.note_member(_members(1)[0]._replace(state=MemberState.DEAD), 0.0)
        self.assertEqual(10, fleet.known_count(9, 1.0))
        self.assertEqual(9, fleet.known_count(9, 61.0))

    def test_members_that_left_dont_count(self) -> None:
        """Guards against a lower rate after each planned stop."""
        fleet = FleetShare()
        left = _members(1)[0]._replace(state=MemberState.DEAD, leaving=True)
        fleet.note_member(left, 0.0)
        self.assertEqual(1.0, self._share(fleet, _members(9), 1.0))

    def test_a_node_that_nobody_answers_counts_only_who_asks(self) -> None:
        """Guards against a lone grantor, which suspects others only after 12 s."""
        for answers, expected in (
            ((True, False, True), 1.0),
            ((True, False, False), 0.3),
            ((False, False, False), 0.2),
        ):
            fleet = FleetShare()
            fleet.note_asked("n1", 9.0)
            share = fleet.share(_members(10), answers=answers, now_s=10.0)
            self.assertAlmostEqual(expected, share)

    def test_nodes_that_asked_are_forgotten_in_a_healthy_fleet(self) -> None:
        """Guards against memory for each node id that was ever seen."""
        fleet = FleetShare()
        fleet.note_asked("gone", 9.0)
        fleet.note_asked("n1", 11.5)
        self._share(fleet, _members(10), 12.0)
        self.assertEqual(["n1"], list(fleet._asked_at_s))


class StockTest(testtools.TestCase):
    """Tests of a node's tokens."""

    def _stock(self, limit: QuotaLimit = _LIMIT, nodes: int = 10) -> Stock:
        return Stock("w", limit, bounds=_BOUNDS, nodes=nodes, now_s=0.0)

    def test_tokens_expire_counted_from_the_ask(self) -> None:
        """Guards against the tokens of an old grant after a pause of the process."""
        stock = self._stock()
        stock.add_grant(QuotaGrant(1, 2), asked_at_s=1.0, now_s=1.1)
        self.assertIsNotNone(stock.take(1.29))
        self.assertIsNone(stock.take(1.31))
        stock.add_grant(QuotaGrant(2, 2), asked_at_s=1.0, now_s=5.0)
        self.assertIsNone(stock.take(5.0))

    def test_a_token_given_back_keeps_its_expiry(self) -> None:
        """Guards against returned tokens that add up to a second burst."""
        stock = self._stock()
        stock.add_grant(QuotaGrant(1, 1), asked_at_s=1.0, now_s=1.0)
        token = stock.take(1.0)
        self.assertTrue(stock.give_back(token, 1.1))
        self.assertEqual(token, stock.take(1.2))
        self.assertFalse(stock.give_back(token, 1.4))
        self.assertIsNone(stock.take(1.4))

    def test_a_node_with_few_requests_asks_for_what_it_needs(self) -> None:
        """Guards against tokens that expire while other nodes need them."""
        stock = self._stock(QuotaLimit(2.0, 2.0), nodes=80)
        stock.note_request(1.0)
        self.assertEqual(1, stock.wanted(1, 1.0))
        self.assertFalse(stock.runs_low(1.0))

    def test_a_busy_node_asks_ahead(self) -> None:
        """Guards against a request to the grantor for each call."""
        stock = self._stock(QuotaLimit(180.0, 90.0))
        for i in range(100):
            stock.note_request(i / 20)
        self.assertIn(stock.wanted(1, 5.0), (4, 5))
        self.assertTrue(stock.runs_low(5.0))

    def test_refused_requests_are_told_different_times(self) -> None:
        """Guards against callers that all come back for the same token."""
        stock = self._stock()
        stock.add_grant(QuotaGrant(1, 0, 0.2), asked_at_s=1.0, now_s=1.0)
        waits = [stock.retry_after_s(1.0) for _ in range(3)]
        self.assertEqual([0.2, 1.2, 2.2], [round(w, 6) for w in waits])
        self.assertLessEqual(max(stock.retry_after_s(1.0) for _ in range(9)), 5.0)

    def test_the_floor_of_a_denied_node_is_a_part_of_its_share(self) -> None:
        """Guards against cut-off nodes that double a rate that is in use."""
        stock = self._stock(QuotaLimit(100.0, 10.0), nodes=10)
        stock.add_grant(QuotaGrant(1, 0, 0.1), asked_at_s=1.0, now_s=1.0)
        stock.note_silence(since_s=1.1, now_s=1.15)
        taken = sum(stock.take_floor(1.15 + i / 50, 0.0) is not None for i in range(50))
        self.assertIn(taken, (1, 2))

    def test_a_node_without_denials_goes_on(self) -> None:
        """Guards against refusals of an ordinary load when a grantor dies."""
        stock = self._stock(QuotaLimit(100.0, 10.0), nodes=10)
        for i in range(40):
            now_s = 1.0 + i / 5
            stock.add_grant(QuotaGrant(i, 1), asked_at_s=now_s, now_s=now_s)
        stock.note_silence(since_s=9.0, now_s=9.05)
        taken = sum(
            stock.take_floor(9.05 + i / 5, 0.5) is not None for i in range(1, 25)
        )
        self.assertGreaterEqual(taken, 18)
        self.assertLessEqual(taken, 24)
