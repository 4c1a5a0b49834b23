"""The bytes of a faulty backend server's answers, and their signatures."""

import hashlib
from typing import NamedTuple

from burdockdock.standin.faulty_behaviour import FieldPlace, Framing, MalformedField
from burdockdock.standin.ledger import Answer, Arrival

_REASONS = {200: "OK", 404: "Not Found", 421: "Misdirected", 429: "Too Many"}
_LONG_HEADER_BYTES = 120_000
_DIGEST_BYTES = 8


class HeaderNames(NamedTuple):
    """Names of the headers of requests and answers.

    :param not_run: in an answer, proves that the request wasn't run.
    :param expected_instance: in a request, id of the only instance that may run it.
    :param timeout: in a request, milliseconds until its deadline.
    :param instance_id: in an answer to a health check, empty for none.
    """

    request_id: str
    signature: str
    not_run: str
    expected_instance: str
    timeout: str
    instance_id: str = ""


class WireAnswer(NamedTuple):
    """An answer as it is sent."""

    head: bytes
    body: bytes

    @property
    def data(self) -> bytes:
        """The whole answer."""
        return self.head + self.body


def sign(request_id: str, number: int, status: int, body: bytes) -> str:
    """Return the signature of an answer.

    :param number: of the arrival.
    """
    content = f"{request_id}\0{number}\0{status}\0".encode() + body
    return f"{number}.{hashlib.blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()}"


def signed_arrival(signature: str) -> int:
    """Return the number of the arrival that a signature names, 0 if it names none."""
    number = signature.partition(".")[0]
    return int(number) if number.isascii() and number.isdecimal() else 0


def run_answer(arrival: Arrival, *, status: int, body_bytes: int) -> Answer:
    """Return the answer of a run; its body differs from those of other arrivals."""
    body = _body(arrival, body_bytes)
    signature = sign(arrival.request_id, arrival.number, status, body)
    return Answer(status, body, signature)


def wire_answer(
    names: HeaderNames,
    answer: Answer,
    *,
    request_id: str,
    framing: Framing = Framing.LENGTH,
    extra: tuple[tuple[str, str], ...] = (),
    has_body: bool = True,
    malformed_field: MalformedField | None = None,
) -> WireAnswer:
    """Return the bytes of an answer.

    :param request_id: that it bears, empty for none.
    :param extra: further headers.
    :param has_body: whether the body is sent, which it isn't after HEAD.
    :param malformed_field: a line for the head or the trailers.
    """
    headers = [("Date", "Sun, 06 Dec 2026 07:31:56 GMT")]
    headers += [(names.request_id, request_id)] if request_id else []
    headers += [(names.signature, answer.signature)] if answer.signature else []
    headers += _framing_headers(framing, len(answer.body)) + list(extra)
    reason = _REASONS.get(answer.status, "Other")
    lines = [
        f"HTTP/1.1 {answer.status:03} {reason}".encode(),
        *_lines_at(FieldPlace.HEAD_START, malformed_field),
        *(f"{name}: {value}".encode("latin-1") for name, value in headers),
        *_lines_at(FieldPlace.HEAD_END, malformed_field),
    ]
    line_end = b"\n" if framing is Framing.LINE_FEEDS else b"\r\n"
    head = line_end.join(lines) + line_end * 2
    trailers = _lines_at(FieldPlace.TRAILER, malformed_field)
    body = _framed(framing, answer.body, trailers) if has_body else b""
    return WireAnswer(head, body)


def interim_answer(
    status: int, *, malformed_field: MalformedField | None = None
) -> bytes:
    """Return the bytes of an interim answer.

    :param malformed_field: a line for its head.
    """
    lines = [f"HTTP/1.1 {status} Interim".encode()]
    if status == 101:
        lines += [b"Upgrade: other", b"Connection: Upgrade"]
    lines += _lines_at(FieldPlace.INTERIM, malformed_field)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _lines_at(place: FieldPlace, field: MalformedField | None) -> list[bytes]:
    return [field.line] if field is not None and field.place is place else []


def _body(arrival: Arrival, size_bytes: int) -> bytes:
    start = f"arrival {arrival.number} of {arrival.request_id}:".encode("latin-1")
    return (start + b"." * size_bytes)[:size_bytes] if size_bytes else b""


def _framing_headers(framing: Framing, size_bytes: int) -> list[tuple[str, str]]:
    if framing in (Framing.CHUNKED, Framing.BAD_CHUNK):
        return [("Transfer-Encoding", "chunked")]
    if framing is Framing.TRAILERS:
        return [("Transfer-Encoding", "chunked"), ("Trailer", "X-Sum")]
    if framing is Framing.NO_LENGTH:
        return [("Connection", "close")]
    length = [("Content-Length", str(size_bytes))]
    if framing is Framing.TWO_LENGTHS:
        return [*length, ("Content-Length", str(size_bytes // 2))]
    if framing is Framing.LONG_HEAD:
        return [*length, ("X-Long", "x" * _LONG_HEADER_BYTES)]
    return length


def _framed(framing: Framing, body: bytes, further_trailers: list[bytes]) -> bytes:
    if framing is Framing.BAD_CHUNK:
        return b"%x\r\n%s\r\nno-size\r\n" % (len(body), body) if body else b"zz\r\n"
    if framing not in (Framing.CHUNKED, Framing.TRAILERS):
        return body
    half = len(body) // 2
    parts = [part for part in (body[:half], body[half:]) if part]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    trailers = []
    if framing is Framing.TRAILERS:
        trailers = [b"X-Sum: 1", *further_trailers]
    return chunks + b"\r\n".join([b"0", *trailers]) + b"\r\n\r\n"
