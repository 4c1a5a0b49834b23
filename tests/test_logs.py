"""Tests of the log lines."""

import os
import select
from unittest import mock

import eliot
import testtools

from burdockdock.cli.logs import parse_line
from burdockdock.logs import LineWriter, log_event, render_event


class RenderEventTest(testtools.TestCase):
    """Tests of rendering an event as a line."""

    def test_event_is_one_line_of_pairs(self) -> None:
        event = {
            "message_type": "x.y",
            "timestamp": 1.5,
            "text": 'a "b"\nc',
            "bare": "v1",
            "flag": True,
            "nothing": None,
            "n": 3,
        }
        self.assertEqual(
            'time_s=1.500000 event=x.y text="a \\"b\\"\\nc" bare=v1 flag=true '
            "nothing=none n=3",
            render_event(event),
        )

    def test_text_is_quoted_if_a_parser_would_split_it(self) -> None:
        bare = ("v1", "r-7wj5rij", "10.1.0.2:80", "a/b?c", "ā", "0.5", "true")
        quoted = ("", " ", "a b", 'a"b', "a=b", "a\\b", "a'b", "a\nb", "\u2028", "\x7f")
        for text in bare + quoted:
            line = render_event({"message_type": "x.y", "timestamp": 1, "text": text})
            self.assertEqual(text, parse_line(line).pairs["text"])
            self.assertEqual(text in quoted, line.partition("text=")[2][0] == '"')


class LogEventTest(testtools.TestCase):
    """Tests of the events that reach eliot's destinations."""

    def setUp(self) -> None:
        super().setUp()
        self.events: list[dict] = []
        eliot.add_destinations(self.events.append)
        self.addCleanup(eliot.remove_destination, self.events.append)
        self.events.clear()

    def test_event_has_its_time_and_its_fields_in_order(self) -> None:
        with mock.patch("time.time", return_value=1.5):
            log_event("call.ended", route="r", status=200, detail="")
        (event,) = self.events
        self.assertEqual(
            'time_s=1.500000 event=call.ended route=r status=200 detail=""',
            render_event(event),
        )

    def test_event_creates_no_action(self) -> None:
        with mock.patch("eliot._action.uuid4") as make_id:
            log_event("call.ended", route="r")
        self.assertEqual(1, len(self.events))
        make_id.assert_not_called()


class LineWriterTest(testtools.TestCase):
    """Tests of writing lines to a pipe with a slow reader."""

    def setUp(self) -> None:
        super().setUp()
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)
        self.writer = LineWriter(self.write_end)

    def _read_all(self) -> bytes:
        data = b""
        while select.select([self.read_end], [], [], 0)[0]:
            data += os.read(self.read_end, 1 << 20)
            self.writer.flush()
        return data

    def test_lines_arrive_whole_and_in_order(self) -> None:
        lines = ["a" * 10, "b" * 10_000, "c"]
        for line in lines:
            self.writer.write(line)
        self.assertEqual("\n".join(lines) + "\n", self._read_all().decode())

    def test_stalled_reader_does_not_block_and_gets_the_dropped_count(self) -> None:
        line = "x" * 1000
        for _ in range(1000):
            self.writer.write(line)
        dropped_count = self.writer.dropped
        self.assertGreater(dropped_count, 0)
        text = self._read_all().decode()
        self.assertIn(f"event=logs.dropped lines={dropped_count}", text)
        self.assertEqual(1000 - dropped_count, text.count(line))

    def test_frequent_lines_are_written_in_batches(self) -> None:
        with mock.patch("asyncio.get_running_loop") as running:
            loop = running.return_value
            due_s = []
            for now_s in (5.0, 5.01, 5.03, 5.04, 5.2, 9.0):
                loop.time.return_value = now_s
                if due_s and now_s >= due_s[-1]:
                    self.writer.flush()
                self.writer.write("x")
                if loop.call_at.called:
                    due_s.append(loop.call_at.call_args.args[0])
                    loop.call_at.reset_mock()
        # The first flush comes soon after a pause, further ones 0.1 s apart.
        expected_s = [5.02, 5.12, 5.22, 9.02]
        self.assertEqual(expected_s, [round(at_s, 6) for at_s in due_s])

    def test_lines_left_for_a_slow_reader_are_retried_soon(self) -> None:
        for _ in range(100):
            self.writer.write("x" * 1000)
        with mock.patch("asyncio.get_running_loop") as running:
            loop = running.return_value
            loop.time.return_value = 5.0
            self.writer.flush()
            self.assertAlmostEqual(5.02, loop.call_at.call_args.args[0])
