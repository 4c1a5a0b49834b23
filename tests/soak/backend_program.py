"""Backend server that logs the id of each request before it runs the request.

Usage: python -m tests.soak.backend_program PORT NODE_OPERATORS_URL RUN_LOG_PATH
"""

import asyncio
import json
import os
import signal
import sys

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

HOST = "127.0.0.1"
ID_HEADER = "X-Soak-Id"
SLOTS = 32
_CHUNK_BYTES = 64 * 1024
_ANNOUNCE_INTERVAL_S = 0.5
# Requests may still arrive for this long after the server announces that it drains.
_DRAIN_DELAY_S = 2.0


def expected_answer(request_id: str, size_bytes: int) -> bytes:
    """Return the body that answers a request: its id, repeated up to the size."""
    line = request_id.encode() + b"\n"
    return (line * (size_bytes // len(line) + 1))[:size_bytes]


class _WorkHandler(RequestHandler):
    def initialize(self, run_log_fd: int) -> None:
        self.run_log_fd = run_log_fd

    async def get(self) -> None:
        request_id = self.request.headers[ID_HEADER]
        os.write(self.run_log_fd, f"{request_id}\n".encode())
        await asyncio.sleep(int(self.get_query_argument("ms")) / 1000)
        answer = expected_answer(request_id, int(self.get_query_argument("size")))
        self.set_header("Content-Length", str(len(answer)))
        for start in range(0, len(answer), _CHUNK_BYTES):
            self.write(answer[start : start + _CHUNK_BYTES])
            try:
                await self.flush()
            except StreamClosedError:
                return

    post = get


async def _announce(port: int, node_url: str, *, draining: bool) -> None:
    properties = {"host": HOST, "port": port, "slots": SLOTS}
    body = {"service": "work", "version": "1", "draining": draining, **properties}
    request = HTTPRequest(
        f"{node_url}/backend", method="POST", body=json.dumps(body), request_timeout=1.0
    )
    try:
        await CurlAsyncHTTPClient().fetch(request)
    except (HTTPError, OSError):
        # The node is down. The next announcement may reach it.
        pass


async def _main(port: int, node_url: str, run_log_path: str) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    run_log_fd = os.open(run_log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    server = HTTPServer(
        Application(
            [(r"/.*", _WorkHandler, {"run_log_fd": run_log_fd})],
            log_function=lambda _: None,
        )
    )
    server.listen(port, address=HOST)
    while not stopped.is_set():
        await _announce(port, node_url, draining=False)
        try:
            await asyncio.wait_for(stopped.wait(), _ANNOUNCE_INTERVAL_S)
        except TimeoutError:
            pass
    await _announce(port, node_url, draining=True)
    await asyncio.sleep(_DRAIN_DELAY_S)
    server.stop()
    # Let running requests finish. None takes longer than this.
    await asyncio.sleep(_DRAIN_DELAY_S)


if __name__ == "__main__":
    asyncio.run(_main(int(sys.argv[1]), sys.argv[2], sys.argv[3]))
