"""Tests of the log lines."""

import os
import select

import testtools

from burdockdock.logs import LineWriter, render_event


class RenderEventTest(testtools.TestCase):
    """Tests of one event's line."""

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


class LineWriterTest(testtools.TestCase):
    """Tests of writing to a reader that may be slow."""

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

    def test_a_reader_that_stops_holds_nobody_up_and_is_told_what_it_missed(
        self,
    ) -> None:
        line = "x" * 1000
        for _ in range(1000):
            self.writer.write(line)
        missed = self.writer.dropped
        self.assertGreater(missed, 0)
        text = self._read_all().decode()
        self.assertIn(f"event=logs.dropped lines={missed}", text)
        self.assertEqual(1000 - missed, text.count(line))
