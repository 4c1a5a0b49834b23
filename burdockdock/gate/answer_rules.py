"""Decides whether an answer belongs to the request that was sent last.

Backend servers may send late copies of earlier answers on a connection that is used
again. So an answer belongs to a request only if it bears the request's id, or if the
connection carried no request before.
"""

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.backend_head import BackendHead
from burdockdock.gate.headers import CallHeaders
from burdockdock.http_syntax import is_final_status
from burdockdock.protocol.answer_heads import INVALID_STATUS
from burdockdock.protocol.calls import CallRequest

_MISDIRECTED_REQUEST_STATUS = 421


def check_answer(
    names: CallHeaders,
    request: CallRequest,
    head: BackendHead,
    *,
    first_on_connection: bool,
) -> Failure | None:
    """Check that an answer is the backend server's answer to this request.

    An answer is rejected if its status is not that of a final answer. Where answers
    repeat ids, one is rejected if it bears another request's id,
    and if it has none and its connection carried other requests. Where answers are
    signed, a success is also rejected if it has no signature or an encoded body. The
    request counts as not run only if a header of the answer says so, or if the status
    is 421 where requests name the expected instance. Where answers repeat ids, a
    refusal without one proves nothing: it may be a late copy of an earlier refusal.

    :param names: names of the headers that the backend server uses.
    :param first_on_connection: whether the connection carried no request before.
    :returns: None if the answer is valid, else the failure to report instead of it.
    """
    if not is_final_status(head.status):
        return _in_doubt(INVALID_STATUS, f"status {head.status}")
    values = {name.lower(): value for name, value in head.headers}
    ids = _ids_in(names, head)
    if ids - {request.request_id}:
        return _in_doubt("other_requests_answer", " ".join(sorted(ids)))
    has_id = bool(ids) or not names.caller_sets_request_id
    refusal = _refusal(names, head.status, values)
    if refusal is not None:
        return refusal if has_id else _in_doubt("refusal_without_id", refusal.reason)
    if not has_id and not first_on_connection:
        return _in_doubt("answer_without_id", f"status {head.status}")
    if not names.signature or not 200 <= head.status < 300:
        return None
    if names.signature.lower() not in values or "content-encoding" in values:
        return _in_doubt("not_the_backends_answer")
    return None


def _ids_in(names: CallHeaders, head: BackendHead) -> set[str]:
    """Return the request ids that an answer bears, none where answers have none."""
    if not names.caller_sets_request_id:
        return set()
    id_name = names.request_id.lower()
    return {value for name, value in head.headers if name.lower() == id_name}


def _in_doubt(reason: str, detail: str = "") -> Failure:
    return Failure(Verdict.MAY_HAVE_RUN, reason, detail)


def _refusal(names: CallHeaders, status: int, values: dict[str, str]) -> Failure | None:
    """Return the failure of a request that an answer calls not run, else None.

    :param values: of the answer's headers, by name in lower case.
    """
    if names.not_run and names.not_run.lower() in values:
        return Failure(Verdict.NOT_RUN, "backend_refused", f"status {status}")
    if names.expected_instance and status == _MISDIRECTED_REQUEST_STATUS:
        return Failure(Verdict.NOT_RUN, "other_instance")
    return None
