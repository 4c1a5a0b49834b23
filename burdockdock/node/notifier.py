"""Delivery of events to the operators' notification URL."""

import asyncio
import json
import random
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from burdockdock.coordination.backoff import full_jitter
from burdockdock.logs import log_event

_REQUEST_TIMEOUT_S = 5.0
_MAX_ATTEMPTS = 8
_BACKOFF_BASE_S = 0.5
_BACKOFF_CAP_S = 30.0


class Notifier:
    """Posts notices as JSON, with retries.

    A receiver can get a notice more than once; its id identifies duplicates.

    :param url: receiver of the notices, empty to disable them.
    """

    def __init__(self, url: str, *, rng: random.Random) -> None:
        self._url = url
        self._rng = rng
        self._tasks: set[asyncio.Task[bool]] = set()

    @property
    def enabled(self) -> bool:
        """Whether a notification URL is set."""
        return bool(self._url)

    def post_later(self, notice_id: str, kind: str, **fields: Any) -> None:
        """Post in the background; the notice is lost if the node stops first."""
        if not self.enabled:
            return
        task = asyncio.create_task(self.post(notice_id, kind, **fields))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def post(self, notice_id: str, kind: str, **fields: Any) -> bool:
        """Post with a limited number of retries.

        :returns: whether the receiver accepted the notice.
        """
        body = json.dumps({"id": notice_id, "kind": kind, **fields}, default=str)
        for attempt in range(_MAX_ATTEMPTS):
            if await self._post_once(body):
                return True
            delay_s = full_jitter(
                attempt, base_s=_BACKOFF_BASE_S, cap_s=_BACKOFF_CAP_S, rng=self._rng
            )
            await asyncio.sleep(delay_s)
        log_event("notice.not_taken", id=notice_id, kind=kind)
        return False

    def close(self) -> None:
        """Cancel the posts that are still in progress."""
        for task in self._tasks:
            task.cancel()

    async def _post_once(self, body: str) -> bool:
        request = HTTPRequest(
            self._url,
            method="POST",
            body=body,
            headers={"Content-Type": "application/json"},
            request_timeout=_REQUEST_TIMEOUT_S,
        )
        try:
            await CurlAsyncHTTPClient().fetch(request)
        except (HTTPError, OSError):
            return False
        return True
