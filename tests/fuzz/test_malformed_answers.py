"""Tests of answers with malformed lines, through nodes."""

import testtools

from burdockdock.coordination.verdict import Verdict
from burdockdock.standin.faulty_behaviour import (
    Behaviour,
    Ending,
    FieldPlace,
    Framing,
    MalformedField,
    Refusal,
)
from tests.fuzz.outcomes import Outcome
from tests.fuzz.sequences import Call, Sequence, Step
from tests.fuzz.ways import nodes_way
from tests.header_names import CONTROL_BYTES
from tests.support import async_test

_MALFORMED_NAMES = (
    b"X Note",
    b"X-Note ",
    b"X-Note\t",
    b"\tX-Note",
    b"",
    b"X-N\xf6te",
    b"Transfer-Encoding ",
    b"Content-Length ",
    *(b"X-" + byte + b"Note" for byte in CONTROL_BYTES),
)
_POST = Call(1, "POST", idempotent=False)


async def _outcomes(sequence: Sequence) -> list[Outcome]:
    """Return what the callers of a sequence got; no rule may be broken."""
    async with nodes_way() as way:
        run = await way.run(sequence)
        assert way.judge(run) == [], way.judge(run)
        return run.outcomes


class MalformedAnswersTest(testtools.TestCase):
    """Tests that callers get no answer of which a line is malformed."""

    async def _assert_no_answer(self, behaviours: list[Behaviour]) -> None:
        """Assert that each answer leaves it open to its caller whether it ran."""
        steps = [
            Step(_POST._replace(request=number), behaviour)
            for number, behaviour in enumerate(behaviours)
        ]
        for step, outcome in zip(steps, await _outcomes(tuple(steps)), strict=True):
            self.assertEqual(0, outcome.status, (step, outcome))
            self.assertEqual(Verdict.MAY_HAVE_RUN, outcome.failure.verdict, step)

    @async_test
    async def test_malformed_names(self) -> None:
        lines = [name + b": 1" for name in _MALFORMED_NAMES]
        await self._assert_no_answer(
            [Behaviour(malformed_field=MalformedField(line)) for line in lines]
        )

    @async_test
    async def test_statuses_of_no_answer(self) -> None:
        # Below 200 no answer follows, so that the backend server ends the connection.
        await self._assert_no_answer(
            [
                Behaviour(status=status, ending=Ending.CLOSE)
                for status in (0, 99, 199, 600, 999)
            ]
        )

    @async_test
    async def test_malformed_name_in_an_interim_head(self) -> None:
        field = MalformedField(b"X-Note : a", FieldPlace.INTERIM)
        await self._assert_no_answer([Behaviour(interim=(103,), malformed_field=field)])

    @async_test
    async def test_lines_that_begin_with_a_blank(self) -> None:
        behaviours = []
        for line in (b" X-Note: a", b"\tX-Note: a", b" Content-Length: 1", b" a"):
            head_end = MalformedField(line, FieldPlace.HEAD_END)
            interim = MalformedField(b"X-A: a\r\n" + line, FieldPlace.INTERIM)
            behaviours += [
                Behaviour(malformed_field=head_end),
                Behaviour(refusal=Refusal(503), malformed_field=head_end),
                Behaviour(interim=(103,), malformed_field=interim),
            ]
        await self._assert_no_answer(behaviours)

    @async_test
    async def test_malformed_refusal_is_no_proof(self) -> None:
        field = MalformedField(b"X-Note : a", FieldPlace.HEAD_END)
        refusal = Refusal(503)
        await self._assert_no_answer(
            [Behaviour(refusal=refusal, malformed_field=field)]
        )

    @async_test
    async def test_control_characters_in_values(self) -> None:
        lines = [b"X-Note: a" + byte + b"b" for byte in CONTROL_BYTES]
        await self._assert_no_answer(
            [Behaviour(malformed_field=MalformedField(line)) for line in lines]
        )

    @async_test
    async def test_idempotent_request_gets_the_answer_of_another_server(self) -> None:
        field = MalformedField(b"X-Note : a")
        sequence = (Step(Call(1), Behaviour(malformed_field=field)),)
        (outcome,) = await _outcomes(sequence)
        self.assertEqual((200, None), (outcome.status, outcome.failure))

    @async_test
    async def test_malformed_trailer_breaks_the_answer_off(self) -> None:
        field = MalformedField(b"X-Note : a", FieldPlace.TRAILER)
        behaviour = Behaviour(framing=Framing.TRAILERS, malformed_field=field)
        (outcome,) = await _outcomes((Step(_POST, behaviour),))
        self.assertIsNotNone(outcome.failure)
