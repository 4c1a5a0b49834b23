"""Tests of the log lines."""

import testtools

from burdockdock.logs import render_event


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
