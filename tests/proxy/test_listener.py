"""Tests of the server that callers use."""

import asyncio
from types import SimpleNamespace

import testtools

from burdockdock.clock import SystemClock
from burdockdock.metrics import Metrics
from burdockdock.proxy import listener
from burdockdock.proxy.call import Caller
from burdockdock.standin.local_fleet import free_port
from tests.support import PATIENCE_S, async_test, eventually

_HOST = "127.0.0.1"
_HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n"
_REQUEST = SimpleNamespace(
    request_id="1",
    route="all",
    service="work",
    time_left_ms=1000,
    tenant="t",
    traffic_class="c",
)


class _Forwarder:
    """Reads nothing of the body; the caller is found gone when a test says so."""

    def __init__(self) -> None:
        self.gone = asyncio.Event()

    async def forward(self, call: object, caller: Caller) -> None:
        """Wait, then end as a write to a closed connection does."""
        await self.gone.wait()
        raise asyncio.CancelledError


def _context(forwarder: _Forwarder) -> SimpleNamespace:
    return SimpleNamespace(
        forwarder=forwarder,
        clock=SystemClock(),
        metrics=Metrics(),
        headers=SimpleNamespace(request_id="Request-Id"),
        open_calls=0,
        draining=False,
        refusing=False,
        snapshot=lambda: SimpleNamespace(version=1),
    )


class ListenerTest(testtools.TestCase):
    """Tests of callers' connections and their end."""

    @async_test
    async def test_a_connection_whose_call_ended_does_not_wait_for_room(self) -> None:
        self.patch(listener, "make_call", lambda *_: SimpleNamespace(request=_REQUEST))
        forwarder = _Forwarder()
        context = _context(forwarder)
        port = free_port()
        server = listener.serve_callers(context, host=_HOST, port=port)
        _, writer = await asyncio.open_connection(_HOST, port)
        writer.write(_HEAD + b"x" * 4 * listener._BUFFER_BYTES)
        await eventually(lambda: context.open_calls)
        # The connection's buffers take a part, and then the caller has to wait.
        await asyncio.sleep(0.2)
        forwarder.gone.set()
        await eventually(lambda: not context.open_calls)
        # A timeout would cancel what is tested, and hide that it hangs.
        closing = asyncio.create_task(server.close_all_connections())
        done, _ = await asyncio.wait({closing}, timeout=PATIENCE_S)
        self.assertEqual({closing}, done)
        server.stop()
        writer.close()
