"""Asynchronous HTTP client for backend servers, built on libcurl."""

import asyncio

import pycurl

from burdockdock.gate.transfer import BackendRequest, HeadCheck, Transfer

_STOP_POLLING = pycurl.POLL_REMOVE


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
        self._watched_fds: set[int] = set()
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
        if fd in self._watched_fds:
            self._loop.remove_reader(fd)
            self._loop.remove_writer(fd)
            self._watched_fds.discard(fd)
        if event == _STOP_POLLING:
            return
        self._watched_fds.add(fd)
        if event & pycurl.POLL_IN:
            self._loop.add_reader(fd, self._process_socket_event, fd, pycurl.CSELECT_IN)
        if event & pycurl.POLL_OUT:
            self._loop.add_writer(
                fd, self._process_socket_event, fd, pycurl.CSELECT_OUT
            )

    def _set_timer(self, timeout_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_ms >= 0:
            self._timer = self._loop.call_later(timeout_ms / 1000, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
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
