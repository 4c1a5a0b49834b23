"""Tests of explaining a request from the log lines of several nodes."""

import tempfile
from pathlib import Path

import testtools
from click.testing import CliRunner

from burdockdock.cli.logs import describe_verdict, find_request_lines, parse_line
from burdockdock.cli.main import main
from burdockdock.logs import render_event


def _render_line(time_s: float, event: str, **pairs: object) -> str:
    return render_event({"timestamp": time_s, "message_type": event, **pairs})


def _render_end_line(time_s: float, request: str, **changes: object) -> str:
    pairs = {
        "request": request,
        "status": 503,
        "verdict": "not_run",
        "reason": "queue_full",
        "detail": "",
        "allowed_ms": 1000,
        "seconds_s": 0.25,
    }
    return _render_line(time_s, "call.ended", **{**pairs, **changes})


class ExplainTest(testtools.TestCase):
    """Tests of selecting and sorting a request's lines and of the verdict."""

    def test_rendered_line_is_parsed(self) -> None:
        line = parse_line(_render_line(2.5, "a.b", detail='x "y" z=1', n=3))
        self.assertEqual((2.5, "a.b"), line[:2])
        self.assertEqual({"detail": 'x "y" z=1', "n": "3"}, line.pairs)
        self.assertIsNone(parse_line("Traceback (most recent call last):"))
        self.assertIsNone(parse_line("time_s=soon event=x"))

    def test_lines_of_all_nodes_are_sorted_by_time(self) -> None:
        texts = [
            _render_end_line(9.0, "id-1"),
            _render_line(3.0, "gate.refused", request="id-1", reason="queue_full"),
            _render_line(4.0, "gate.ended", request="id-1.child"),
            _render_line(5.0, "gate.ended", request="id-10"),
            "garbage id-1",
        ]
        found = find_request_lines("id-1", texts)
        self.assertEqual([3.0, 4.0, 9.0], [line.time_s for line in found])

    def test_verdict_is_described_in_plain_words(self) -> None:
        cases = {
            _render_end_line(1.0, "i"): "safe to repeat",
            _render_end_line(
                1.0, "i", verdict="may_have_run", status=504
            ): "may have run",
            _render_end_line(
                1.0, "i", verdict="", status=200
            ): "own answer, status 200",
            _render_line(1.0, "gate.ended", request="i"): "No node says",
        }
        for text, expected in cases.items():
            self.assertIn(
                expected, describe_verdict("i", find_request_lines("i", [text]))
            )

    def test_command_reads_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.log"
            path.write_bytes(_render_end_line(1.0, "id-1").encode() + b"\n\xff\xfe\n")
            runner = CliRunner()
            found = runner.invoke(main, ["logs", "explain", "id-1", str(path)])
            self.assertEqual(0, found.exit_code, found.output)
            self.assertIn("after 250 of 1000 ms: queue_full.", found.output)
            missing = runner.invoke(main, ["logs", "explain", "id-2", str(path)])
            self.assertEqual(2, missing.exit_code)
