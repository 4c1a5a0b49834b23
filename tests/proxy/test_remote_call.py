"""Tests of one attempt's answer at the calling node."""

import testtools

from burdockdock.coordination.verdict import Failure
from burdockdock.protocol.calls import AnswerHead
from burdockdock.proxy.peer_link import LINK_BROKEN
from burdockdock.proxy.remote_call import RemoteCall
from tests.support import async_test


class _Link:
    """Accepts what a call sends."""

    def send(self, data: bytes) -> None:
        """Ignore a frame."""

    def forget(self, call_id: int) -> None:
        """Do nothing."""


class BrokenLinkTest(testtools.TestCase):
    """Tests of answers whose link ends."""

    async def _read_answer(
        self, *chunks: tuple[bytes, bool]
    ) -> list[bytes | Failure | None]:
        """Return what is read of an answer if its link ends after these chunks."""
        call = RemoteCall(1, _Link())
        call.receive_head(AnswerHead(200, "OK", ()))
        for data, end in chunks:
            call.receive_body(data, end)
        call.receive_failure(LINK_BROKEN)
        read = [await call.read_body()]
        while isinstance(read[-1], bytes):
            read.append(await call.read_body())
        return read

    @async_test
    async def test_whole_answer_is_read_to_its_end(self) -> None:
        # Guards against breaking off an answer that has arrived whole.
        self.assertEqual([b"ab", None], await self._read_answer((b"ab", True)))
        read = await self._read_answer((b"a", False), (b"b", False), (b"", True))
        self.assertEqual([b"ab", None], read)

    @async_test
    async def test_answer_without_its_end_is_broken_off(self) -> None:
        self.assertEqual([b"a", LINK_BROKEN], await self._read_answer((b"a", False)))

    @async_test
    async def test_answer_that_ends_with_its_head(self) -> None:
        call = RemoteCall(1, _Link())
        call.receive_head(AnswerHead(204, "", (), end=True))
        call.receive_failure(LINK_BROKEN)
        self.assertIsNone(await call.read_body())
