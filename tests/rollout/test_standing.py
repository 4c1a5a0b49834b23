"""Tests of what a rollout and a stop say together."""

import testtools

from burdockdock.rollout.model import Phase, Rollout, Stop
from burdockdock.rollout.standing import Ended, Open, standing_of
from tests.rollout.test_policy import START, rollout

_SLOTS = {"1": 8, "2": 8}
_STOP = Stop("desk", 1, "fault", "node")


def _ended(phase: Phase) -> Rollout:
    return rollout(phase=Phase.SOAKING).enter(phase, now=START, reason="test")


class StandingTest(testtools.TestCase):
    """Tests of stops beside open and ended rollouts."""

    def test_stop_takes_an_open_rollouts_new_version_out_of_use(self) -> None:
        for phase in (Phase.WAITING, Phase.SHIFTING, Phase.SOAKING):
            standing = standing_of(rollout(phase=phase, share=0.5), _STOP)
            self.assertEqual({"1": 1.0}, standing.weights(_SLOTS))

    def test_outcome_has_no_stop(self) -> None:
        done = standing_of(_ended(Phase.DONE), _STOP)
        self.assertIsInstance(done, Ended)
        self.assertNotIn("stop", done._fields)
        self.assertEqual(1.0, done.weights(_SLOTS)["2"])
        back = standing_of(_ended(Phase.ROLLED_BACK), _STOP)
        self.assertEqual(1.0, back.weights(_SLOTS)["1"])

    def test_stop_of_another_rollout_says_nothing(self) -> None:
        state = rollout(number=2, phase=Phase.SHIFTING, share=0.25)
        standing = standing_of(state, _STOP)
        self.assertEqual(Open(state, None), standing)
        self.assertEqual({"1": 0.75, "2": 0.25}, standing.weights(_SLOTS))

    def test_stop_that_leaves_no_backend_server_is_not_in_force(self) -> None:
        standing = standing_of(rollout(phase=Phase.SHIFTING, share=0.25), _STOP)
        self.assertGreater(standing.weights({"2": 8})["2"], 0.0)

    def test_refused_version_is_used_when_no_other_is_left(self) -> None:
        for state, version in (
            (_ended(Phase.DONE), "1"),
            (_ended(Phase.ROLLED_BACK), "2"),
            (rollout(), "2"),
        ):
            weights = standing_of(state, None).weights({version: 8})
            self.assertTrue(not weights or weights.get(version), state.phase)
