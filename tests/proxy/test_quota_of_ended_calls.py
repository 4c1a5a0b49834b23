"""Tests of the quota token of a call that ends by an exception."""

import asyncio

import testtools

from burdockdock.proxy.call import Caller
from burdockdock.proxy.ready_check import ReadyCheck
from tests import streams
from tests.proxy.caller_server import HOST, start_caller_server
from tests.support import async_test, eventually

_CHUNKED = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
_WITHOUT_BODY = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


class _Quota:
    """Admits all calls; ``returned`` counts the tokens that were given back."""

    def __init__(self) -> None:
        self.returned = 0

    async def admit(self, workspace: str) -> object:
        """Return a token."""
        return object()

    def give_back(self, token: object) -> None:
        """Count a token."""
        self.returned += 1


class _Forwarder:
    """Reads a part of the body if ``reads``, and raises or waits to be cancelled."""

    def __init__(self, *, reads: bool, raises: bool) -> None:
        self._reads = reads
        self._raises = raises
        self.started = False

    async def forward(
        self, call: object, caller: Caller, *, check_ready: ReadyCheck
    ) -> None:
        """Raise an exception, or wait until cancelled."""
        if self._reads:
            await caller.read_body()
        self.started = True
        if self._raises:
            raise RuntimeError("unexpected error in the forwarder")
        await asyncio.Event().wait()


class QuotaOfEndedCallsTest(testtools.TestCase):
    """Tests of calls whose caller left, and of errors in this node."""

    async def _count_returned(
        self, data: bytes, *, reads: bool = False, raises: bool = False
    ) -> int:
        """Send a request, leave, and return how many tokens were given back."""
        quota, forwarder = _Quota(), _Forwarder(reads=reads, raises=raises)
        context, _, port = start_caller_server(self, forwarder)
        context.quota = quota
        _, writer = await streams.open_connection(HOST, port)
        writer.write(data)
        await eventually(lambda: forwarder.started)
        writer.close()
        await eventually(lambda: not context.open_calls)
        return quota.returned

    @async_test
    async def test_call_that_was_not_sent_returns_its_token(self) -> None:
        # Guards against callers that pay for requests that no backend server got.
        self.assertEqual(1, await self._count_returned(_CHUNKED))
        self.assertEqual(1, await self._count_returned(_CHUNKED, raises=True))

    @async_test
    async def test_call_that_may_have_been_sent_keeps_its_token(self) -> None:
        # Guards against requests that run without a token.
        body = _CHUNKED + b"1\r\nx\r\n"
        for raises in (False, True):
            for data, reads in ((body, True), (_WITHOUT_BODY, False)):
                returned = await self._count_returned(data, reads=reads, raises=raises)
                self.assertEqual(0, returned, (data, raises))
