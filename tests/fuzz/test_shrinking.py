"""Tests of how failing sequences get shorter."""

import testtools

from burdockdock.standin.faulty_behaviour import Behaviour, Framing
from tests.fuzz.sequences import Call, Sequence, Step, draw_sequence
from tests.fuzz.shrinking import shrink
from tests.support import async_test


class ShrinkingTest(testtools.TestCase):
    """Tests of what is left of a sequence."""

    @async_test
    async def test_what_is_not_needed_is_taken_away(self) -> None:
        needed = Step(Call(2, rest_s=0.006), Behaviour(500, framing=Framing.CHUNKED))
        sequence = (Step(Call(1)), needed, Step(Call(3), Behaviour(404)))

        async def fails(candidate: Sequence) -> bool:
            return any(s.behaviour.framing is Framing.CHUNKED for s in candidate)

        shrunk = await shrink(sequence, fails)
        expected = (Step(Call(2), Behaviour(framing=Framing.CHUNKED)),)
        self.assertEqual(expected, shrunk)

    @async_test
    async def test_sequence_that_fails_only_as_it_is(self) -> None:
        sequence = draw_sequence("1/1")

        async def fails(candidate: Sequence) -> bool:
            return candidate == sequence

        self.assertEqual(sequence, await shrink(sequence, fails))

    def test_seed_gives_one_sequence(self) -> None:
        self.assertEqual(draw_sequence("1/1"), draw_sequence("1/1"))
        self.assertNotEqual(draw_sequence("1/1"), draw_sequence("1/2"))
