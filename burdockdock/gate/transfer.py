"""One request to a backend server and its answer, as a transfer of libcurl.

It streams bodies in both directions, and sends a request only once.
"""

import asyncio
from collections import deque
from typing import NamedTuple, Protocol

import pycurl

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.backend_head import BackendHead, body_length
from burdockdock.gate.head_lines import HeadLines, line_detail
from burdockdock.gate.model import KEPT_CONNECTION_ENDED
from burdockdock.http_syntax import HEAD_ENDS, is_field_line

# Reading an answer pauses while this much of its body is buffered.
_BODY_BUFFER_LIMIT_BYTES = 256 * 1024
_MAX_CONNECT_TIMEOUT_MS = 1000
# Part of a request's timeout that connecting may take; the rest is left for a retry.
_CONNECT_TIMEOUT_FRACTION = 0.5
# Longest idle time after which a connection is reused. Backend servers may close idle
# connections without having announced their own limit.
_MAX_CONNECTION_IDLE_S = 5
# Age beyond which a connection is not reused, in whole seconds, which libcurl rounds.
MAX_CONNECTION_AGE_S = 60
# Time after a request was sent within which the backend server's machine resets a
# connection that it forgot.
_DEAD_CONNECTION_S = 0.02
# Returned by the header callback to make libcurl abort the transfer.
_ABORT_TRANSFER = -1
# Reason of a failure: a line behind the body is no valid field.
_MALFORMED_TRAILER = "malformed_trailer"
# libcurl errors that occur before any byte of the request is sent, and their reasons.
_NOT_SENT_ERRORS = {
    pycurl.E_COULDNT_CONNECT: "connection_refused",
    pycurl.E_COULDNT_RESOLVE_HOST: "bad_address",
    pycurl.E_UNSUPPORTED_PROTOCOL: "bad_address",
    pycurl.E_URL_MALFORMAT: "bad_address",
}


class BackendRequest(NamedTuple):
    """A request to a backend server.

    :param url: URL whose target is sent exactly as the caller wrote it.
    :param headers: header lines in the format of libcurl's ``HTTPHEADER`` option.
    :param body_length: length of the body in bytes, -1 if unknown, 0 without a body.
    :param timeout_ms: limit for the whole transfer.
    :param fresh_connection: open a new connection. A reused one may turn out to be
        dead, which makes the outcome uncertain, or may carry a late copy of the answer
        to an earlier arrival of the same request.
    """

    method: str
    url: str
    headers: list[str]
    body_length: int
    timeout_ms: int
    fresh_connection: bool


def connect_timeout_ms(timeout_ms: int) -> int:
    """Return the connect timeout for a request with this total timeout."""
    return max(
        1, min(_MAX_CONNECT_TIMEOUT_MS, int(timeout_ms * _CONNECT_TIMEOUT_FRACTION))
    )


class HeadCheck(Protocol):
    """Returns the failure to report instead of an answer, None for a valid answer."""

    def __call__(
        self, head: BackendHead, *, first_on_connection: bool
    ) -> Failure | None:
        """Check the head of an answer."""
        ...


class TransferOwner(Protocol):
    """The client that runs transfers."""

    def now_s(self) -> float:
        """Return the event loop's time in seconds."""
        ...

    def resume(self, transfer: "Transfer") -> None:
        """Resume a paused transfer."""
        ...

    def cancel(self, transfer: "Transfer") -> None:
        """Stop a transfer and close its connection, unless it has finished."""
        ...


class Transfer:
    """One request to a backend server and its answer."""

    def __init__(
        self,
        easy: pycurl.Curl,
        request: BackendRequest,
        client: TransferOwner,
        *,
        check_head: HeadCheck,
    ) -> None:
        self.easy = easy
        self._check_head = check_head
        self._sent_at_s = 0.0
        self._resend_refused = False
        self._opened_connection = False
        # Local port of the connection, 0 before the request is sent, and whether it
        # carried no request before this one.
        self.connection_port = 0
        self.first_on_connection = False
        self.body_started = False
        self._client = client
        self._send_count = 0
        self._head_lines = HeadLines()
        self._head: asyncio.Future[BackendHead | Failure] = (
            asyncio.get_running_loop().create_future()
        )
        self._outgoing: deque[bytes] = deque()
        self._outgoing_ended = request.body_length == 0
        self._upload_paused = False
        self._outgoing_drained = asyncio.Event()
        self._incoming: deque[bytes] = deque()
        self._incoming_bytes = 0
        self._has_upload = request.body_length != 0
        # Bytes of the answer's body still to be received, -1 if the length is unknown.
        self._remaining_bytes = -1
        self._download_paused = False
        self._incoming_changed = asyncio.Event()
        self._failure: Failure | None = None
        self._done = False
        self._set_options(request)

    @property
    def sent(self) -> bool:
        """Whether libcurl started to send the request."""
        return self._send_count > 0

    async def head(self) -> BackendHead | Failure:
        """Wait for the head of the answer, or for the transfer to fail."""
        return await self._head

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Send a part of the request's body and wait until libcurl has consumed it."""
        if data:
            self._outgoing.append(data)
        self._outgoing_ended |= end
        self._resume_upload()
        while self._outgoing and not self._done:
            self._outgoing_drained.clear()
            await self._outgoing_drained.wait()

    async def read_body(self) -> bytes | Failure | None:
        """Return the next chunk of the answer's body, None at its end."""
        while not self._incoming:
            if self._done:
                return self._failure
            if self._has_upload and not self._remaining_bytes:
                # The answer is complete, although libcurl is still sending the request.
                return None
            self._incoming_changed.clear()
            await self._incoming_changed.wait()
        data = b"".join(self._incoming)
        self._incoming.clear()
        self._incoming_bytes = 0
        if self._download_paused:
            self._download_paused = False
            self._client.resume(self)
        return data

    def take_complete_body(self, *, max_bytes: int) -> tuple[bytes, bool]:
        """Take the answer's body if all of it has arrived and it is short.

        :param max_bytes: longest body to take.
        :returns: the body and True, or no bytes and False.
        """
        complete = self._done and self._failure is None
        complete = complete and self._incoming_bytes <= max_bytes
        data = b"".join(self._incoming) if complete else b""
        if complete:
            self._incoming.clear()
        return data, complete

    def cancel(self) -> None:
        """Stop the transfer."""
        self._client.cancel(self)

    def finish(self, code: int, message: str) -> None:
        """Set the transfer's final state.

        :param code: libcurl error code, 0 for success.
        :param message: libcurl's error message.
        """
        self._done = True
        if code and self._failure is None:
            self._failure = self._classify_error(code, message)
        if not self._head.done():
            # A Failure is falsy, so ``self._failure or no_answer`` would be wrong.
            no_answer = Failure(
                Verdict.MAY_HAVE_RUN, "no_answer", "the head has no end"
            )
            self._head.set_result(no_answer if self._failure is None else self._failure)
        self._incoming_changed.set()
        self._outgoing_drained.set()

    def _classify_error(self, code: int, message: str) -> Failure:
        """Derive from libcurl's error whether the request may have run."""
        if not self.sent:
            reason = _NOT_SENT_ERRORS.get(code, "not_sent")
            return Failure(Verdict.NOT_RUN, reason, message)
        if self._was_connection_dead(code):
            return Failure(Verdict.MAY_HAVE_RUN, KEPT_CONNECTION_ENDED, message)
        if code == pycurl.E_OPERATION_TIMEDOUT:
            return Failure(Verdict.MAY_HAVE_RUN, "backend_timeout", message)
        if code == pycurl.E_PARTIAL_FILE:
            return Failure(Verdict.RAN, "short_body", message)
        return Failure(Verdict.MAY_HAVE_RUN, "backend_connection_broken", message)

    def _was_connection_dead(self, code: int) -> bool:
        """Return whether the connection was most likely dead when it was used again.

        A backend server that breaks off as soon as it has read the request looks like
        this as well.
        """
        # libcurl can't send a body again; it gives up before it asks.
        wants_resend = self._resend_refused or code == pycurl.E_SEND_FAIL_REWIND
        since_sent_s = self._client.now_s() - self._sent_at_s
        return wants_resend and since_sent_s < _DEAD_CONNECTION_S

    def _set_options(self, request: BackendRequest) -> None:
        easy = self.easy
        # Tornado decodes the caller's target as Latin-1; pycurl takes only ASCII text.
        url = request.url.encode("latin-1")
        easy.setopt(pycurl.URL, url)
        # Send it unchanged: libcurl would encode some bytes and drop a fragment.
        easy.setopt(pycurl.REQUEST_TARGET, b"/" + b"".join(url.split(b"/", 3)[3:]))
        easy.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        easy.setopt(pycurl.CUSTOMREQUEST, request.method)
        easy.setopt(pycurl.PATH_AS_IS, 1)
        easy.setopt(pycurl.NOSIGNAL, 1)
        easy.setopt(pycurl.PROXY, "")
        headers = [header.encode("latin-1") for header in request.headers]
        easy.setopt(pycurl.HTTPHEADER, headers)
        easy.setopt(pycurl.CONNECTTIMEOUT_MS, connect_timeout_ms(request.timeout_ms))
        easy.setopt(pycurl.TIMEOUT_MS, max(1, request.timeout_ms))
        easy.setopt(pycurl.MAXAGE_CONN, _MAX_CONNECTION_IDLE_S)
        easy.setopt(pycurl.MAXLIFETIME_CONN, MAX_CONNECTION_AGE_S)
        easy.setopt(pycurl.HEADERFUNCTION, self._on_header)
        easy.setopt(pycurl.WRITEFUNCTION, self._on_body)
        easy.setopt(pycurl.SOCKOPTFUNCTION, self._on_socket_opened)
        easy.setopt(pycurl.PREREQFUNCTION, self._before_send)
        if request.fresh_connection:
            easy.setopt(pycurl.FRESH_CONNECT, 1)
        if request.method == "HEAD":
            easy.setopt(pycurl.NOBODY, 1)
        elif request.body_length != 0:
            easy.setopt(pycurl.UPLOAD, 1)
            easy.setopt(pycurl.READFUNCTION, self._on_read)
            if request.body_length > 0:
                easy.setopt(pycurl.INFILESIZE_LARGE, request.body_length)

    def _on_socket_opened(self, _fd: int, _purpose: int) -> int:
        if not self._may_send():
            return pycurl.SOCKOPT_ERROR
        self._opened_connection = True
        return pycurl.SOCKOPT_OK

    def _before_send(
        self, _ip: str, _local_ip: str, _port: int, local_port: int
    ) -> int:
        if not self._may_send():
            return pycurl.PREREQFUNC_ABORT
        self.connection_port = local_port
        self.first_on_connection = self._opened_connection
        self._opened_connection = False
        self._sent_at_s = self._client.now_s()
        self._send_count += 1
        return pycurl.PREREQFUNC_OK

    def _may_send(self) -> bool:
        """Return whether libcurl may send the request, which it may once.

        It would send it again by itself if a kept connection ends before the first
        byte of an answer.
        """
        if not self._send_count:
            return True
        self._resend_refused = True
        return False

    def _on_header(self, line: bytes) -> int | None:
        if self._head.done():
            return self._check_trailer(line)
        head = self._head_lines.add(line)
        if head is None:
            return None
        rejection = self._rejection(head)
        if rejection is not None:
            self._head.set_result(rejection)
            return None if rejection.verdict is Verdict.NOT_RUN else _ABORT_TRANSFER
        self._remaining_bytes = body_length(head)
        self._head.set_result(head)
        return None

    def _check_trailer(self, line: bytes) -> int | None:
        """Abort the transfer if a line behind the body can't be there."""
        if line in HEAD_ENDS or is_field_line(line):
            return None
        if line.endswith(b"\n"):
            self._failure = Failure(Verdict.RAN, _MALFORMED_TRAILER, line_detail(line))
        return _ABORT_TRANSFER

    def _rejection(self, head: BackendHead | Failure) -> Failure | None:
        if isinstance(head, Failure):
            return head
        return self._check_head(head, first_on_connection=self.first_on_connection)

    def _on_body(self, data: bytes) -> int | None:
        if self._incoming_bytes >= _BODY_BUFFER_LIMIT_BYTES:
            self._download_paused = True
            return pycurl.WRITEFUNC_PAUSE
        self._incoming.append(data)
        self._incoming_bytes += len(data)
        self._remaining_bytes -= len(data) if self._remaining_bytes > 0 else 0
        self._incoming_changed.set()
        return None

    def _on_read(self, size_bytes: int) -> bytes | int:
        if not self._outgoing:
            if self._outgoing_ended:
                return b""
            self._upload_paused = True
            return pycurl.READFUNC_PAUSE
        self.body_started = True
        chunk = self._outgoing.popleft()
        if len(chunk) > size_bytes:
            self._outgoing.appendleft(chunk[size_bytes:])
            chunk = chunk[:size_bytes]
        if not self._outgoing:
            self._outgoing_drained.set()
        return chunk

    def _resume_upload(self) -> None:
        if self._upload_paused:
            self._upload_paused = False
            self._client.resume(self)
