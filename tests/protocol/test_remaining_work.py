"""Tests of the remaining work that gates report, also between releases."""

import re
import tempfile
from importlib import resources
from pathlib import Path

import capnp
import testtools

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.protocol.calls import (
    AnswerHead,
    GateResults,
    frame_answer_head,
    frame_failure,
    read_answer_head,
    read_failure_results,
)
from burdockdock.protocol.codec import HEADER_BYTES, decode

_RESULTS = GateResults(0.25, 0.5, 1.75)


class RemainingWorkTest(testtools.TestCase):
    """Tests that answers and failures carry the remaining work."""

    def test_answers_and_failures_carry_it(self) -> None:
        frame = frame_answer_head(1, AnswerHead(200, "OK", (), results=_RESULTS))
        head = read_answer_head(decode(frame[HEADER_BYTES:]))
        self.assertEqual(_RESULTS, head.results)
        failure = Failure(Verdict.NOT_RUN, "queue_full")
        frame = frame_failure(1, failure, load=3, results=_RESULTS)
        message = decode(frame[HEADER_BYTES:])
        self.assertEqual(_RESULTS, read_failure_results(message))

    def test_more_than_the_field_holds_is_cut(self) -> None:
        # Guards against an answer that can't be encoded behind a very long queue.
        results = GateResults(remaining_s=1e9)
        frame = frame_answer_head(1, AnswerHead(200, "OK", (), results=results))
        head = read_answer_head(decode(frame[HEADER_BYTES:]))
        self.assertGreater(head.results.remaining_s, 4_000.0)

    def test_answer_of_an_older_node_leaves_it_unknown(self) -> None:
        # An older node's message lacks the field. Its schema is this one without it.
        message = _OLDER_SCHEMA.Message.new_message()
        message.init("answerHead").serviceUs = 250_000
        head = read_answer_head(decode(message.to_bytes()))
        self.assertEqual(GateResults(0.25, 0.0, 0.0), head.results)

    def test_older_node_ignores_it(self) -> None:
        frame = frame_answer_head(1, AnswerHead(200, "OK", (), results=_RESULTS))
        with _OLDER_SCHEMA.Message.from_bytes(frame[HEADER_BYTES:]) as message:
            self.assertEqual(250_000, message.answerHead.serviceUs)
            self.assertEqual(200, message.answerHead.status)


def _older_schema() -> object:
    """Return the schema without the field, under an id of its own."""
    source = resources.files("burdockdock.protocol").joinpath("messages.capnp")
    text = re.sub(r"^@0x\w+;", "@0xb1a2c3d4e5f60718;", source.read_text(), flags=re.M)
    lines = text.splitlines()
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "older.capnp"
        path.write_text("\n".join(x for x in lines if "remainingUs" not in x))
        return capnp.SchemaParser().load(str(path))


_OLDER_SCHEMA = _older_schema()
