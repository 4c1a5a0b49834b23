"""Asynchronous HTTP client for backend servers, built on libcurl."""

import asyncio
import math

import pycurl

from burdockdock.gate.transfer import BackendRequest, HeadCheck, Transfer

_STOP_POLLING = pycurl.POLL_REMOVE
# The event loop may run a timer early by its clock's resolution.
_TIMER_TOLERANCE_S = 0.001


class CurlClient:
    """Runs libcurl transfers on the running asyncio event loop.

    :param max_connections: maximum number of idle connections to keep open.
    """

    def __init__(self, *, max_connections: int = 64) -> None:
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, max_connections)
        self._timer: asyncio.TimerHandle | None = None
        # When libcurl wants to be called, in seconds of the event loop's time. The
        # timer may be set for an earlier time.
        self._due_s = math.inf
        # Events of libcurl's sockets that the event loop watches, by descriptor.
        self._watched: dict[int, int] = {}
        self._transfers: dict[pycurl.Curl, Transfer] = {}
        self._idle_handles: list[pycurl.Curl] = []

    def start(
        self,
        request: BackendRequest,
        *,
        check_head: HeadCheck = lambda head, *, first_on_connection: None,
    ) -> Transfer:
        """Start a transfer.

        :param check_head: called with each final head and whether its connection
            carried no request before; returns a failure for an answer that must not be
            used. Unless the failure proves that the request didn't run, the connection
            is closed, since the request's own answer may still arrive on it.
        """
        easy = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        transfer = Transfer(easy, request, self, check_head=check_head)
        self._transfers[easy] = transfer
        self._multi.add_handle(easy)
        if request.body_length == 0:
            # Saves the timer with which libcurl would ask for this call. A request with
            # a body waits for its first chunk, which is passed on in the next turn.
            self._run_due_work()
        return transfer

    def cancel(self, transfer: Transfer) -> None:
        """Stop a transfer and close its connection, unless it has finished."""
        if self._is_active(transfer):
            self._remove(transfer.easy)
            transfer.finish(pycurl.E_ABORTED_BY_CALLBACK, "cancelled")

    def close(self) -> None:
        """Stop every transfer."""
        for transfer in list(self._transfers.values()):
            self.cancel(transfer)
        if self._timer is not None:
            self._timer.cancel()
        self._multi.close()

    def now_s(self) -> float:
        """Return the event loop's time in seconds."""
        return self._loop.time()

    def resume(self, transfer: Transfer) -> None:
        """Resume a paused transfer; must not be called from a libcurl callback."""
        if self._is_active(transfer):
            transfer.easy.pause(pycurl.PAUSE_CONT)
            self._set_timer(0)

    def _is_active(self, transfer: Transfer) -> bool:
        """Return whether a transfer is active and still owns its handle."""
        return self._transfers.get(transfer.easy) is transfer

    def _watch_socket(self, event: int, fd: int, multi: object, data: object) -> None:
        # Watched anew even for the same events: a new socket may have the descriptor of
        # a closed one.
        watched = self._watched.pop(fd, 0)
        if watched & pycurl.POLL_IN:
            self._loop.remove_reader(fd)
        if watched & pycurl.POLL_OUT:
            self._loop.remove_writer(fd)
        if event == _STOP_POLLING:
            return
        self._watched[fd] = event
        if event & pycurl.POLL_IN:
            self._loop.add_reader(fd, self._process_socket_event, fd, pycurl.CSELECT_IN)
        if event & pycurl.POLL_OUT:
            self._loop.add_writer(
                fd, self._process_socket_event, fd, pycurl.CSELECT_OUT
            )

    def _set_timer(self, timeout_ms: int) -> None:
        """Set when libcurl wants to be called.

        libcurl moves the time several times a call, mostly back. A timer that is set
        for an earlier time is kept, and set again when it fires.
        """
        if timeout_ms < 0:
            self._due_s = math.inf
            return
        self._due_s = self._loop.time() + timeout_ms / 1000
        if self._timer is not None:
            if self._timer.when() <= self._due_s:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(self._due_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._due_s > self._loop.time() + _TIMER_TOLERANCE_S:
            if self._due_s < math.inf:
                self._timer = self._loop.call_at(self._due_s, self._on_timer)
            return
        self._run_due_work()

    def _run_due_work(self) -> None:
        self._due_s = math.inf
        self._process_socket_event(pycurl.SOCKET_TIMEOUT, 0)

    def _process_socket_event(self, fd: int, events: int) -> None:
        self._multi.socket_action(fd, events)
        self._finish_completed()

    def _finish_completed(self) -> None:
        """Finish the transfers that libcurl has completed."""
        while True:
            remaining_messages, succeeded, failed = self._multi.info_read()
            for easy in succeeded:
                self._finish(easy, 0, "")
            for easy, code, message in failed:
                self._finish(easy, code, message)
            if not remaining_messages:
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
