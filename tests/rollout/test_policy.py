"""Tests of the rollout policy and the judge."""

import random
from datetime import UTC, datetime, timedelta

import testtools
from hypothesis import given
from hypothesis import strategies as st

from burdockdock.rollout.evidence import EvidenceKey, EvidenceRow, latency_bucket
from burdockdock.rollout.judge import Judge, Judgement
from burdockdock.rollout.model import SOAKING_SHARE, Phase, Rollout, decode_rollout
from burdockdock.rollout.policy import Facts, next_state

START = datetime(2026, 1, 1, tzinfo=UTC)
_ORDER = [Phase.WAITING, Phase.SHIFTING, Phase.SOAKING, Phase.DONE]


def rollout(**fields: object) -> Rollout:
    """Return a rollout with a deadline after one minute."""
    values = {
        "service": "desk",
        "number": 1,
        "from_version": "1",
        "to_version": "2",
        "started_at": START,
        "deadline": START + timedelta(seconds=60),
        "author": "op",
        "reason": "test",
        **fields,
    }
    return Rollout(**values)


def facts(**fields: object) -> Facts:
    """Return facts of a good version with many calls."""
    values = {
        "judgement": Judgement("", 10_000),
        "stop_reason": "",
        "new_slots": 8,
        "old_slots": 8,
        **fields,
    }
    return Facts(**values)


def _run(state: Rollout, given_facts: Facts, *, seconds: int = 70) -> list[Rollout]:
    """Apply the policy four times a second and return every state."""
    states = [state]
    for tick in range(seconds * 4):
        now = START + timedelta(seconds=tick / 4)
        following = next_state(states[-1], given_facts, now)
        if following is not None:
            states.append(following)
    return states


class PolicyTest(testtools.TestCase):
    """Tests of the next state, given a state and facts."""

    def test_good_version_is_done_before_the_deadline(self) -> None:
        states = _run(rollout(), facts())
        self.assertIs(Phase.DONE, states[-1].phase)
        self.assertEqual(_ORDER, list(dict.fromkeys(s.phase for s in states)))
        shares = [state.share for state in states]
        self.assertEqual(sorted(shares), shares)
        self.assertLess(states[-1].step_at, states[-1].deadline)

    def test_fault_rolls_back_from_every_phase(self) -> None:
        for phase in _ORDER[:-1]:
            state = rollout(phase=phase, share=0.5, step_at=START)
            for bad in (
                facts(judgement=Judgement("fault", 10)),
                facts(stop_reason="fault"),
            ):
                following = next_state(state, bad, START)
                self.assertEqual(
                    (Phase.ROLLED_BACK, 0.0), (following.phase, following.share)
                )

    def test_a_late_start_leaves_time_for_a_good_version(self) -> None:
        # 110 calls/s. The first owner was lost: the share rises only after 5 s of 12 s.
        state = rollout(deadline=START + timedelta(seconds=12.2))
        state = state.enter(Phase.SHIFTING, now=START, reason="")
        state = state._replace(share=0.01)
        calls, now = 0.0, START + timedelta(seconds=5)
        while not state.phase.final:
            now += timedelta(seconds=0.25)
            calls += 110 * 0.25 * state.share
            seen = facts(judgement=Judgement("", int(calls)))
            state = next_state(state, seen, now) or state
        self.assertIs(Phase.DONE, state.phase, state.history[-1].reason)

    def test_too_few_calls_by_the_deadline_roll_back(self) -> None:
        last = _run(rollout(), facts(judgement=Judgement("", 12)))[-1]
        self.assertIs(Phase.ROLLED_BACK, last.phase)
        self.assertIn("not known after 12 calls", last.history[-1].reason)

    def test_share_stays_within_the_ready_slots(self) -> None:
        states = _run(rollout(), facts(new_slots=2), seconds=59)
        self.assertEqual(0.25, max(state.share for state in states))
        last = _run(rollout(), facts(new_slots=0))[-1]
        self.assertIn("no backend server of version 2", last.history[-1].reason)

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 20),
                st.sampled_from(["", "", "", "fault"]),
                st.integers(0, 400),
                st.integers(0, 16),
            ),
            max_size=40,
        )
    )
    def test_phases_only_go_forward_and_an_end_is_final(self, ticks: list) -> None:
        state = rollout()
        now = START
        for seconds, fault, calls, slots in ticks:
            now += timedelta(seconds=seconds)
            given_facts = facts(judgement=Judgement(fault, calls), new_slots=slots)
            following = next_state(state, given_facts, now)
            if following is None:
                continue
            self.assertFalse(state.phase.final)
            self.assertEqual(state.step + 1, following.step)
            if following.phase is not Phase.ROLLED_BACK:
                self.assertGreaterEqual(
                    _ORDER.index(following.phase), _ORDER.index(state.phase)
                )
                self.assertGreaterEqual(following.share, state.share)
            state = decode_rollout(following.encode())
            self.assertEqual(following, state)


def _rows(
    rng: random.Random, calls: int, version: str, *, fail: float = 0.0, slow: float = 1
) -> dict[EvidenceKey, EvidenceRow]:
    """Return one version's results of one interval.

    :param fail: probability that a call fails.
    :param slow: factor on the latency.
    """
    latencies: dict[int, int] = {}
    failures = 0
    for _ in range(calls):
        if rng.random() < fail:
            failures += 1
            continue
        bucket = latency_bucket(0.005 * rng.lognormvariate(0, 0.3) * slow)
        latencies[bucket] = latencies.get(bucket, 0) + 1
    key = EvidenceKey("profiles", "browsing", version)
    return {key: EvidenceRow(calls, failures, latencies)}


class JudgeTest(testtools.TestCase):
    """Tests of the judge with fixed seeds."""

    def _judge(self, seed: int, intervals: int = 200, **new: float) -> Judgement:
        rng = random.Random(seed)
        judge = Judge(from_version="1", to_version="2")
        for _ in range(intervals):
            judge.update({**_rows(rng, 40, "1"), **_rows(rng, 4, "2", **new)})
        return judge.judgement()

    def test_no_fault_is_found_in_good_versions(self) -> None:
        for seed in range(20):
            self.assertEqual("", self._judge(seed).fault)

    def test_a_slow_machine_during_soaking_is_no_fault_of_the_new_version(self) -> None:
        new_calls = round(40 * SOAKING_SHARE)
        for seed in range(20):
            rng = random.Random(seed)
            judge = Judge(from_version="1", to_version="2")
            for interval in range(80):
                # In most of the short intervals no call goes to the old version.
                old_calls = 0 if interval % 4 else 4 * (40 - new_calls)
                slow = 4.0 if interval >= 40 else 1.0
                old = _rows(rng, old_calls, "1", slow=slow) if old_calls else {}
                judge.update({**old, **_rows(rng, new_calls, "2", slow=slow)})
                self.assertEqual("", judge.judgement().fault, seed)

    def test_a_version_that_is_slow_only_at_high_load_is_detected(self) -> None:
        new_calls = round(40 * SOAKING_SHARE)
        for seed in range(20):
            rng = random.Random(seed)
            judge = Judge(from_version="1", to_version="2")
            for interval in range(80):
                slow = 2.5 if interval > 40 else 1.0
                old = _rows(rng, 40 - new_calls, "1")
                judge.update({**old, **_rows(rng, new_calls, "2", slow=slow)})
            self.assertIn("slower", judge.judgement().fault, seed)

    def test_failing_and_slow_versions_are_detected(self) -> None:
        for seed in range(10):
            self.assertIn("failures", self._judge(seed, fail=0.05).fault)
            self.assertIn("slower", self._judge(seed, slow=1.5).fault)

    def test_a_fault_of_both_versions_is_no_fault_of_the_new_one(self) -> None:
        rng = random.Random(3)
        judge = Judge(from_version="1", to_version="2")
        for _ in range(100):
            rows = _rows(rng, 40, "1", fail=0.3, slow=2)
            judge.update({**rows, **_rows(rng, 10, "2", fail=0.3, slow=2)})
        self.assertEqual("", judge.judgement().fault)
