"""Tests of the choice of a faulty backend server's behaviours."""

import testtools

from burdockdock.standin.faulty_behaviour import Behaviour
from burdockdock.standin.faulty_script import Kind, Script, parse_mix

_ARRIVALS = 300


def _draw(seed: int, text: str) -> list[Behaviour]:
    script = Script(seed, parse_mix(text))
    return [script.next() for _ in range(_ARRIVALS)]


class FaultyScriptTest(testtools.TestCase):
    """Tests of seeds and mixes."""

    def test_same_seed_gives_the_same_behaviours(self) -> None:
        self.assertEqual(_draw(1, "copy,cut"), _draw(1, "copy,cut"))
        self.assertNotEqual(_draw(1, "copy,cut"), _draw(2, "copy,cut"))

    def test_mix_without_faults(self) -> None:
        behaviours = _draw(1, "none")
        self.assertTrue(all(behaviour.is_faultless for behaviour in behaviours))

    def test_every_kind_of_fault_is_drawn(self) -> None:
        # A framing may be drawn that is none of the faulty ones.
        for kind in set(Kind) - {Kind.NONE}:
            behaviours = _draw(1, kind.value)
            faulty = [b for b in behaviours if not b.is_faultless]
            self.assertGreater(len(faulty), _ARRIVALS // 2, kind)

    def test_mix_that_is_wrong(self) -> None:
        for text in ("", "other=1", "copy=0", "copy=-1", "copy=x", "copy=nan"):
            self.assertRaises(ValueError, parse_mix, text)
