"""Tests that the judge sees each broken rule."""

from typing import Any

import testtools

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.standin.faulty_answers import run_answer
from burdockdock.standin.faulty_behaviour import (
    Behaviour,
    Ending,
    FieldPlace,
    Framing,
    Junk,
    MalformedField,
)
from burdockdock.standin.ledger import Answer, Arrival, LedgerEntry, SentBytes
from tests.fuzz.judge import Rule, judge
from tests.fuzz.outcomes import ATTEMPT_HEADER, Outcome, Run
from tests.fuzz.sequences import Call

_NOT_RUN = Failure(Verdict.NOT_RUN, "backend_refused")
_BROKEN = Failure(Verdict.MAY_HAVE_RUN, "backend_connection_broken")


def _entry(number: int, *, connection: int = 1, attempt: str = "") -> LedgerEntry:
    """Return the entry of an arrival that ran, alone in its attempt by default."""
    headers = ((ATTEMPT_HEADER, attempt or str(number)),)
    on_connection = number if connection == 1 else 1
    arrival = Arrival(
        number, connection, on_connection, "", f"id-{number}", "GET", "/", headers
    )
    entry = LedgerEntry(arrival, "", at_s=0.0)
    entry.ran = True
    entry.answer = run_answer(arrival, status=200, body_bytes=20)
    return entry


def _outcome(entry: LedgerEntry, **changes: Any) -> Outcome:
    """Return the outcome that an entry's whole answer gives, with changes."""
    answer = entry.answer
    headers = (("Response-Signature", answer.signature),) if answer.signature else ()
    arrival = entry.arrival
    attempt = arrival.header(ATTEMPT_HEADER)
    whole = Outcome(
        Call(1), arrival.request_id, attempt, answer.status, headers, answer.body, None
    )
    return whole._replace(**changes)


class JudgeTest(testtools.TestCase):
    """Tests of runs that are right, and of runs with one fault."""

    def _assert_rules(
        self,
        expected: list[Rule],
        outcomes: list[Outcome],
        entries: list[LedgerEntry],
        **behaviours: Behaviour,
    ) -> None:
        """Check which rules are broken; behaviours are named ``n1``, ``n2``, ..."""
        given = {
            e.arrival.number: behaviours.get(f"n{e.arrival.number}", Behaviour())
            for e in entries
        }
        found = [violation.rule for violation in judge(Run(outcomes, entries, given))]
        self.assertEqual(expected, found)

    def test_whole_answers(self) -> None:
        entries = [_entry(1), _entry(2)]
        self._assert_rules([], [_outcome(entry) for entry in entries], entries)

    def test_malformed_field_in_a_head(self) -> None:
        entry = _entry(1)
        malformed = Behaviour(malformed_field=MalformedField(b"X : a"))
        head = b"HTTP/1.1 200 OK\r\nX : a\r\n\r\n"
        entry.sent = [SentBytes(1, "answer", head)]
        expected = [Rule.MALFORMED_FIELD]
        self._assert_rules(expected, [_outcome(entry)], [entry], n1=malformed)
        broken_off = _outcome(entry, failure=_BROKEN)
        self._assert_rules(expected, [broken_off], [entry], n1=malformed)
        refused = _outcome(entry, status=0, headers=(), failure=_NOT_RUN)
        entry.ran = False
        self._assert_rules(expected, [refused], [entry], n1=malformed)
        failed = _outcome(entry, status=0, headers=(), failure=_BROKEN)
        self._assert_rules([], [failed], [entry], n1=malformed)
        entry.sent = [SentBytes(1, "answer", head[:20])]
        self._assert_rules([], [refused], [entry], n1=malformed)

    def test_malformed_field_in_a_trailer(self) -> None:
        entry = _entry(1)
        field = MalformedField(b"X : a", FieldPlace.TRAILER)
        malformed = Behaviour(malformed_field=field)
        entry.sent = [SentBytes(1, "answer", b"0\r\nX : a\r\n\r\n")]
        expected = [Rule.MALFORMED_FIELD]
        self._assert_rules(expected, [_outcome(entry)], [entry], n1=malformed)
        broken_off = _outcome(entry, failure=_BROKEN)
        self._assert_rules([], [broken_off], [entry], n1=malformed)
        # The answer ended before its own body.
        ended = malformed._replace(junk=Junk(between=b"0\r\n\r\n"))
        self._assert_rules([], [_outcome(entry)], [entry], n1=ended)

    def test_answer_of_another_arrival(self) -> None:
        first, second = _entry(1), _entry(2)
        taken = _outcome(second, headers=_outcome(first).headers)
        expected = [Rule.OTHER_ARRIVAL]
        self._assert_rules(expected, [_outcome(first), taken], [first, second])

    def test_answer_of_an_arrival_that_did_not_run(self) -> None:
        entry = _entry(1)
        entry.ran = False
        self._assert_rules([Rule.NO_RUN], [_outcome(entry)], [entry])

    def test_other_status(self) -> None:
        entry = _entry(1)
        self._assert_rules([Rule.OTHER_STATUS], [_outcome(entry, status=500)], [entry])

    def test_other_signature(self) -> None:
        entry = _entry(1)
        outcome = _outcome(entry, headers=(("Response-Signature", "1.0"),))
        self._assert_rules([Rule.OTHER_STATUS], [outcome], [entry])

    def test_other_body(self) -> None:
        entry = _entry(1)
        for body in (b"", entry.answer.body[:-1], entry.answer.body + b"."):
            outcome = _outcome(entry, body=body)
            self._assert_rules([Rule.OTHER_BODY], [outcome], [entry])

    def test_head_that_was_cut_and_taken_for_whole(self) -> None:
        entry = _entry(1)
        entry.sent = [SentBytes(1, "answer", b"HTTP/1.1 200 OK\r\n\r")]
        behaviour = Behaviour(framing=Framing.NO_LENGTH, cut_at=18)
        outcome = _outcome(entry, body=b"")
        self._assert_rules([Rule.OTHER_BODY], [outcome], [entry], n1=behaviour)

    def test_body_without_a_length_that_was_cut(self) -> None:
        entry = _entry(1)
        entry.sent = [SentBytes(1, "answer", b"HTTP/1.1 200 OK\r\n\r\narr")]
        behaviour = Behaviour(framing=Framing.NO_LENGTH, cut_at=22)
        for body, rules in ((b"arr", []), (b"arx", [Rule.OTHER_BODY])):
            outcome = _outcome(entry, body=body)
            self._assert_rules(rules, [outcome], [entry], n1=behaviour)

    def test_success_without_a_signature(self) -> None:
        entry = _entry(1)
        outcome = _outcome(entry, headers=())
        self._assert_rules([Rule.UNSIGNED_SUCCESS], [outcome], [entry])

    def test_failure_without_a_signature(self) -> None:
        entry = _entry(1)
        entry.ran, entry.answer = False, Answer(503)
        self._assert_rules([], [_outcome(entry)], [entry])
        other = _outcome(entry, status=429)
        self._assert_rules([Rule.UNKNOWN_ANSWER], [other], [entry])

    def test_not_run(self) -> None:
        entry = _entry(1)
        outcome = _outcome(entry, status=0, failure=_NOT_RUN)
        behaviour = Behaviour(ending=Ending.CLOSE)
        expected = [Rule.RAN_THOUGH_NOT_RUN]
        self._assert_rules(expected, [outcome], [entry], n1=behaviour)

    def test_not_idempotent_runs_once(self) -> None:
        first = _entry(1)
        second = _entry(2, connection=2)
        second.arrival = second.arrival._replace(request_id="id-1")
        call = Call(1, "POST", False)
        outcomes = [_outcome(entry, call=call) for entry in (first, second)]
        self._assert_rules([Rule.RAN_TWICE], outcomes, [first, second])

    def test_second_arrival_of_one_attempt(self) -> None:
        first, second = _entry(2), _entry(3, connection=2, attempt="2")
        for work_s in (0.0, 0.1):
            first.work_s = work_s
            rules = [Rule.EXTRA_ARRIVAL]
            self._assert_rules(rules, [_outcome(second)], [first, second])

    def test_connection_that_is_used_again(self) -> None:
        first, second = _entry(1), _entry(2)
        behaviour = Behaviour(framing=Framing.BAD_CHUNK)
        for failure, rules in ((_BROKEN, [Rule.USED_AGAIN]), (None, [])):
            outcomes = [_outcome(first, failure=failure), _outcome(second)]
            self._assert_rules(rules, outcomes, [first, second], n1=behaviour)
        behaviour = Behaviour(ending=Ending.ANNOUNCED_CLOSE)
        outcomes = [_outcome(first), _outcome(second)]
        rules = [Rule.USED_AGAIN]
        self._assert_rules(rules, outcomes, [first, second], n1=behaviour)

    def test_faultless_answer_that_is_lost(self) -> None:
        entry = _entry(1)
        outcome = _outcome(entry, status=0, failure=_BROKEN)
        self._assert_rules([Rule.LOST_ANSWER], [outcome], [entry])
        cut = Behaviour(cut_at=3)
        self._assert_rules([], [outcome], [entry], n1=cut)
