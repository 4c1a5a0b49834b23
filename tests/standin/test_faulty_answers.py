"""Tests of the bytes of a faulty backend server's answers."""

import testtools

from burdockdock.standin.faulty_answers import (
    interim_answer,
    run_answer,
    sign,
    signed_arrival,
    wire_answer,
)
from burdockdock.standin.faulty_behaviour import FieldPlace, Framing, MalformedField
from burdockdock.standin.ledger import Arrival
from tests.header_names import HEADER_NAMES

_ARRIVAL = Arrival(3, 1, 1, "", "id-1", "GET", "/", ())


class FaultyAnswersTest(testtools.TestCase):
    """Tests of answers, their signatures and their framing."""

    def test_signature_names_its_arrival_and_covers_the_answer(self) -> None:
        answer = run_answer(_ARRIVAL, status=200, body_bytes=30)
        self.assertEqual(3, signed_arrival(answer.signature))
        self.assertEqual(sign("id-1", 3, 200, answer.body), answer.signature)
        for changed in (
            sign("id-2", 3, 200, answer.body),
            sign("id-1", 4, 200, answer.body),
            sign("id-1", 3, 500, answer.body),
            sign("id-1", 3, 200, answer.body + b"."),
        ):
            self.assertNotEqual(changed, answer.signature)

    def test_signature_of_no_arrival(self) -> None:
        for text in ("", "x.1", "\u00b2.1"):
            self.assertEqual(0, signed_arrival(text))

    def test_bodies_differ_by_arrival(self) -> None:
        other = _ARRIVAL._replace(number=4)
        bodies = {
            run_answer(a, status=200, body_bytes=30).body for a in (_ARRIVAL, other)
        }
        self.assertEqual(2, len(bodies))

    def test_framing(self) -> None:
        answer = run_answer(_ARRIVAL, status=200, body_bytes=4)
        chunked = b"2\r\nar\r\n2\r\nri\r\n0\r\n"
        expected = {
            Framing.LENGTH: (b"Content-Length: 4", b"arri"),
            Framing.CHUNKED: (b"chunked", chunked + b"\r\n"),
            Framing.TRAILERS: (b"Trailer: X-Sum", chunked + b"X-Sum: 1\r\n\r\n"),
            Framing.NO_LENGTH: (b"Connection: close", b"arri"),
            Framing.TWO_LENGTHS: (b"Content-Length: 2", b"arri"),
            Framing.BAD_CHUNK: (b"chunked", b"4\r\narri\r\nno-size\r\n"),
            Framing.LINE_FEEDS: (b"OK\nDate", b"arri"),
            Framing.LONG_HEAD: (b"X-Long", b"arri"),
        }
        for framing in Framing:
            wire = wire_answer(HEADER_NAMES, answer, request_id="id-1", framing=framing)
            head_part, body = expected[framing]
            self.assertIn(head_part, wire.head)
            self.assertEqual(body, wire.body)

    def test_places_of_a_malformed_field(self) -> None:
        answer = run_answer(_ARRIVAL, status=200, body_bytes=4)
        field = MalformedField(b"X : a")
        for place, part in (
            (FieldPlace.HEAD_START, b" OK\r\nX : a\r\nDate"),
            (FieldPlace.HEAD_END, b"Trailer: X-Sum\r\nX : a\r\n\r\n2\r\nar"),
            (FieldPlace.TRAILER, b"0\r\nX-Sum: 1\r\nX : a\r\n\r\n"),
        ):
            wire = wire_answer(
                HEADER_NAMES,
                answer,
                request_id="id-1",
                framing=Framing.TRAILERS,
                malformed_field=field._replace(place=place),
            )
            self.assertIn(part, wire.data)
            self.assertEqual(1, wire.data.count(field.line))
        interim = field._replace(place=FieldPlace.INTERIM)
        expected = b"HTTP/1.1 103 Interim\r\nX : a\r\n\r\n"
        self.assertEqual(expected, interim_answer(103, malformed_field=interim))
