"""Tests of the rules by which an answer belongs to a request."""

import testtools

from burdockdock.coordination.verdict import Verdict
from burdockdock.gate.answer_rules import check_answer
from burdockdock.gate.backend_head import BackendHead
from burdockdock.platform.headers import HEADERS
from burdockdock.protocol.calls import CallRequest

_REQUEST = CallRequest("id-1", "t", "c", "r", "work", 1000, True, "GET", "/", ())


def _verdict_on(head: BackendHead, *, first: bool) -> Verdict | None:
    failure = check_answer(HEADERS, _REQUEST, head, first_on_connection=first)
    return None if failure is None else failure.verdict


class CheckAnswerTest(testtools.TestCase):
    """Tests of the validation of a backend server's answers."""

    def _verdict(
        self, status: int, *, first: bool = False, **headers: str
    ) -> Verdict | None:
        """Return the verdict on an answer, None if it is valid.

        :param first: whether the connection carried no request before.
        """
        pairs = {"Request-Id": "id-1", "Response-Signature": "s"}
        pairs.update({k.replace("_", "-"): v for k, v in headers.items()})
        head = BackendHead(status, "", tuple((k, v) for k, v in pairs.items() if v))
        return _verdict_on(head, first=first)

    def test_valid_answers_are_accepted(self) -> None:
        for status in (200, 204, 404, 500, 503, 504):
            self.assertIsNone(self._verdict(status))
        self.assertIsNone(self._verdict(500, Response_Signature=""))

    def test_only_an_explicit_refusal_means_not_run(self) -> None:
        self.assertIs(Verdict.NOT_RUN, self._verdict(503, Not_Executed="1"))
        self.assertIs(Verdict.NOT_RUN, self._verdict(421, Instance_Id="i-2"))
        self.assertIs(Verdict.NOT_RUN, self._verdict(400, Not_Executed="1"))

    def test_status_that_is_none_proves_nothing(self) -> None:
        for status in (0, 99, 199, 600, 700, 999):
            verdict = self._verdict(status, first=True, Not_Executed="1")
            self.assertIs(Verdict.MAY_HAVE_RUN, verdict, status)

    def test_success_must_be_signed_unencoded_and_for_this_request(self) -> None:
        uncertain = Verdict.MAY_HAVE_RUN
        self.assertIs(uncertain, self._verdict(200, Response_Signature=""))
        self.assertIs(uncertain, self._verdict(200, Content_Encoding="gzip"))
        self.assertIs(uncertain, self._verdict(200, Request_Id="id-0"))
        self.assertIs(uncertain, self._verdict(500, Request_Id="id-0"))

    def test_answer_without_an_id_needs_a_connection_of_its_own(self) -> None:
        for status in (200, 404, 500):
            self.assertIsNone(self._verdict(status, first=True, Request_Id=""))
            verdict = self._verdict(status, Request_Id="")
            self.assertIs(Verdict.MAY_HAVE_RUN, verdict)

    def test_refusal_without_an_id_is_no_proof(self) -> None:
        for first in (False, True):
            verdict = self._verdict(503, first=first, Request_Id="", Not_Executed="1")
            self.assertIs(Verdict.MAY_HAVE_RUN, verdict)

    def test_answer_with_two_ids(self) -> None:
        for ids in (("id-0", "id-1"), ("id-1", "id-0")):
            headers = tuple(("Request-Id", value) for value in ids)
            head = BackendHead(500, "", headers)
            self.assertIs(Verdict.MAY_HAVE_RUN, _verdict_on(head, first=True))
