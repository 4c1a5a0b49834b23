"""Telling the operators' notification URL what happened, at least once."""

import asyncio
import json
import random
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from burdockdock.coordination.backoff import full_jitter
from burdockdock.logs import log_event

_TIMEOUT_S = 5.0
_ATTEMPTS = 8
_BACKOFF_BASE_S = 0.5
_BACKOFF_CAP_S = 30.0


class Notifier:
    """Posts JSON with an id, by which a receiver can drop a repeated one.

    :param url: where to post, empty for nowhere.
    """

    def __init__(self, url: str, *, rng: random.Random) -> None:
        self._url = url
        self._rng = rng
        self._tasks: set[asyncio.Task[bool]] = set()

    @property
    def enabled(self) -> bool:
        """Whether there is anyone to tell."""
        return bool(self._url)

    def post_later(self, notice_id: str, kind: str, **fields: Any) -> None:
        """Post in the background; a node that stops meanwhile loses the notice."""
        if not self.enabled:
            return
        task = asyncio.create_task(self.post(notice_id, kind, **fields))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def post(self, notice_id: str, kind: str, **fields: Any) -> bool:
        """Post until it is taken, a few times at most; return whether it was."""
        body = json.dumps({"id": notice_id, "kind": kind, **fields}, default=str)
        for attempt in range(_ATTEMPTS):
            if await self._post_once(body):
                return True
            delay_s = full_jitter(
                attempt, base_s=_BACKOFF_BASE_S, cap_s=_BACKOFF_CAP_S, rng=self._rng
            )
            await asyncio.sleep(delay_s)
        log_event("notice.not_taken", id=notice_id, kind=kind)
        return False

    def close(self) -> None:
        """Give up what was not taken yet."""
        for task in self._tasks:
            task.cancel()

    async def _post_once(self, body: str) -> bool:
        request = HTTPRequest(
            self._url,
            method="POST",
            body=body,
            headers={"Content-Type": "application/json"},
            request_timeout=_TIMEOUT_S,
        )
        try:
            await CurlAsyncHTTPClient().fetch(request)
        except (HTTPError, OSError):
            return False
        return True
