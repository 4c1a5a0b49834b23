"""HTTP client for backend servers: streams both ways and never sends twice."""

import asyncio
from collections import deque
from typing import NamedTuple

import pycurl

from burdockdock.coordination.verdict import Failure, Verdict
from burdockdock.gate.backend_head import BackendHead, body_length, parse_head

_PAUSE_ABOVE_BYTES = 256 * 1024
_CONNECT_TIMEOUT_MS = 1000
# Of a request's time, what connecting may take; the rest is for another try.
_CONNECT_SHARE = 0.5
# A kept connection is not used again after this, before a backend server that says
# nothing of its own limit might close it.
_MAX_IDLE_S = 5
_STOP_POLLING = pycurl.POLL_REMOVE
# Errors of which libcurl knows that no byte of the request was sent.
_NOT_SENT_ERRORS = {
    pycurl.E_COULDNT_CONNECT: "connection_refused",
    pycurl.E_COULDNT_RESOLVE_HOST: "bad_address",
    pycurl.E_UNSUPPORTED_PROTOCOL: "bad_address",
    pycurl.E_URL_MALFORMAT: "bad_address",
}


class BackendRequest(NamedTuple):
    """A request to a backend server.

    :param url: address with the target.
    :param body_length: bytes of the body, -1 when not known, 0 without a body.
    :param fresh_connection: open a new connection, so that a stale one can't make
        the outcome uncertain.
    :param resend_allowed: let libcurl send the request again on a dead connection.
    """

    method: str
    url: str
    headers: list[str]
    body_length: int
    timeout_ms: int
    fresh_connection: bool
    resend_allowed: bool = False


def connect_timeout_ms(timeout_ms: int) -> int:
    """Return how long a request with a time-out may take to connect, in ms."""
    return max(1, min(_CONNECT_TIMEOUT_MS, int(timeout_ms * _CONNECT_SHARE)))


class CurlClient:
    """Runs transfers on the running asyncio loop.

    :param max_connections: idle connections kept.
    """

    def __init__(self, *, max_connections: int = 64) -> None:
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, max_connections)
        self._timer: asyncio.TimerHandle | None = None
        self._watched: set[int] = set()
        self._transfers: dict[pycurl.Curl, Transfer] = {}
        self._idle_handles: list[pycurl.Curl] = []

    def start(self, request: BackendRequest) -> "Transfer":
        """Begin a transfer."""
        easy = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        transfer = Transfer(easy, request, self)
        self._transfers[easy] = transfer
        self._multi.add_handle(easy)
        return transfer

    def cancel(self, transfer: "Transfer") -> None:
        """Stop a transfer, unless it has complete; its connection is closed."""
        if self._runs(transfer):
            self._remove(transfer.easy)
            transfer.finish(pycurl.E_ABORTED_BY_CALLBACK, "cancelled")

    def close(self) -> None:
        """Stop every transfer."""
        for transfer in list(self._transfers.values()):
            self.cancel(transfer)
        if self._timer is not None:
            self._timer.cancel()
        self._multi.close()

    def resume(self, transfer: "Transfer") -> None:
        """Continue a paused transfer from outside of libcurl's callbacks."""
        if self._runs(transfer):
            transfer.easy.pause(pycurl.PAUSE_CONT)
            self._set_timer(0)

    def _runs(self, transfer: "Transfer") -> bool:
        """Tell whether a transfer has not complete; its handle may serve another."""
        return self._transfers.get(transfer.easy) is transfer

    def _watch_socket(self, event: int, fd: int, multi: object, data: object) -> None:
        if fd in self._watched:
            self._loop.remove_reader(fd)
            self._loop.remove_writer(fd)
            self._watched.discard(fd)
        if event == _STOP_POLLING:
            return
        self._watched.add(fd)
        if event & pycurl.POLL_IN:
            self._loop.add_reader(fd, self._act, fd, pycurl.CSELECT_IN)
        if event & pycurl.POLL_OUT:
            self._loop.add_writer(fd, self._act, fd, pycurl.CSELECT_OUT)

    def _set_timer(self, timeout_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_ms >= 0:
            self._timer = self._loop.call_later(timeout_ms / 1000, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._act(pycurl.SOCKET_TIMEOUT, 0)

    def _act(self, fd: int, events: int) -> None:
        self._multi.socket_action(fd, events)
        self._reap()

    def _reap(self) -> None:
        """Finish the transfers that libcurl is done with."""
        while True:
            left, succeeded, failed = self._multi.info_read()
            for easy in succeeded:
                self._finish(easy, 0, "")
            for easy, code, message in failed:
                self._finish(easy, code, message)
            if not left:
                return

    def _finish(self, easy: pycurl.Curl, code: int, message: str) -> None:
        transfer = self._transfers.get(easy)
        if transfer is not None:
            self._remove(easy)
            transfer.finish(code, message)

    def _remove(self, easy: pycurl.Curl) -> None:
        self._multi.remove_handle(easy)
        del self._transfers[easy]
        easy.reset()
        self._idle_handles.append(easy)


class Transfer:
    """One request to a backend server and its answer."""

    def __init__(
        self, easy: pycurl.Curl, request: BackendRequest, client: CurlClient
    ) -> None:
        self.easy = easy
        self.body_started = False
        self._client = client
        self._sends = 0
        self._resend_allowed = request.resend_allowed
        self._head_lines: list[bytes] = []
        self._head: asyncio.Future[BackendHead | Failure] = client._loop.create_future()
        self._outgoing: deque[bytes] = deque()
        self._outgoing_ended = request.body_length == 0
        self._read_paused = False
        self._drained = asyncio.Event()
        self._incoming: deque[bytes] = deque()
        self._incoming_bytes = 0
        self._has_upload = request.body_length != 0
        # Bytes of the answer's body still to come, -1 where its head does not tell.
        self._left_bytes = -1
        self._write_paused = False
        self._arrived = asyncio.Event()
        self._result: Failure | None = None
        self._done = False
        self._set_options(request)

    @property
    def sent(self) -> bool:
        """Whether libcurl began to send the request."""
        return self._sends > 0

    async def head(self) -> BackendHead | Failure:
        """Wait for the beginning of the answer."""
        return await self._head

    async def send_body(self, data: bytes, *, end: bool) -> None:
        """Send a piece of the request's body and wait until it was taken."""
        if data:
            self._outgoing.append(data)
        self._outgoing_ended |= end
        self._resume_reading()
        while self._outgoing and not self._done:
            self._drained.clear()
            await self._drained.wait()

    async def read_body(self) -> bytes | Failure | None:
        """Return the next piece of the answer's body, None at its end."""
        while not self._incoming:
            if self._done:
                return self._result
            if self._has_upload and not self._left_bytes:
                # Libcurl goes on with the request's body; the answer is whole.
                return None
            self._arrived.clear()
            await self._arrived.wait()
        data = b"".join(self._incoming)
        self._incoming.clear()
        self._incoming_bytes = 0
        if self._write_paused:
            self._write_paused = False
            self._client.resume(self)
        return data

    def take_complete_body(self, *, max_bytes: int) -> tuple[bytes, bool]:
        """Take the answer's body if all of it has arrived and it is short.

        :param max_bytes: longest body to take.
        :returns: the body and True, or no bytes and False.
        """
        complete = self._done and self._result is None
        complete = complete and self._incoming_bytes <= max_bytes
        data = b"".join(self._incoming) if complete else b""
        if complete:
            self._incoming.clear()
        return data, complete

    def cancel(self) -> None:
        """Stop the transfer."""
        self._client.cancel(self)

    def finish(self, code: int, message: str) -> None:
        """Take in how libcurl complete the transfer."""
        self._done = True
        if code:
            self._result = self._describe(code, message)
        if not self._head.done():
            # Failures are false, so that "or" would not do here.
            missing = Failure(Verdict.MAY_HAVE_RUN, "no_answer")
            self._head.set_result(missing if self._result is None else self._result)
        self._arrived.set()
        self._drained.set()

    def _describe(self, code: int, message: str) -> Failure:
        """Tell from libcurl's error whether the request may have run."""
        if not self.sent:
            reason = _NOT_SENT_ERRORS.get(code, "not_sent")
            return Failure(Verdict.NOT_RUN, reason, message)
        if code == pycurl.E_OPERATION_TIMEDOUT:
            return Failure(Verdict.MAY_HAVE_RUN, "backend_timeout", message)
        if code == pycurl.E_PARTIAL_FILE:
            return Failure(Verdict.RAN, "short_body", message)
        return Failure(Verdict.MAY_HAVE_RUN, "backend_connection_broken", message)

    def _set_options(self, request: BackendRequest) -> None:
        easy = self.easy
        # Tornado reads what a caller sends as Latin-1; pycurl would only take ASCII.
        url = request.url.encode("latin-1")
        easy.setopt(pycurl.URL, url)
        # As the caller wrote it: libcurl would encode some bytes, and drop a fragment.
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
        easy.setopt(pycurl.MAXAGE_CONN, _MAX_IDLE_S)
        easy.setopt(pycurl.HEADERFUNCTION, self._on_header)
        easy.setopt(pycurl.WRITEFUNCTION, self._on_body)
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

    def _before_send(self, *_addresses: object) -> int:
        """Allow one sending: libcurl resends by itself on a dead connection."""
        if self._sends and not self._resend_allowed:
            return pycurl.PREREQFUNC_ABORT
        self._sends += 1
        return pycurl.PREREQFUNC_OK

    def _on_header(self, line: bytes) -> None:
        if line.startswith(b"HTTP/"):
            self._head_lines = [line]
        elif line.strip():
            self._head_lines.append(line)
        else:
            self._end_of_head()

    def _end_of_head(self) -> None:
        head = parse_head(self._head_lines)
        # An interim answer, or the trailer after a body.
        if head is None or head.status < 200 or self._head.done():
            return
        self._left_bytes = body_length(head)
        self._head.set_result(head)

    def _on_body(self, data: bytes) -> int | None:
        if self._incoming_bytes >= _PAUSE_ABOVE_BYTES:
            self._write_paused = True
            return pycurl.WRITEFUNC_PAUSE
        self._incoming.append(data)
        self._incoming_bytes += len(data)
        self._left_bytes -= len(data) if self._left_bytes > 0 else 0
        self._arrived.set()
        return None

    def _on_read(self, size_bytes: int) -> bytes | int:
        if not self._outgoing:
            if self._outgoing_ended:
                return b""
            self._read_paused = True
            return pycurl.READFUNC_PAUSE
        self.body_started = True
        piece = self._outgoing.popleft()
        if len(piece) > size_bytes:
            self._outgoing.appendleft(piece[size_bytes:])
            piece = piece[:size_bytes]
        if not self._outgoing:
            self._drained.set()
        return piece

    def _resume_reading(self) -> None:
        if self._read_paused:
            self._read_paused = False
            self._client.resume(self)
