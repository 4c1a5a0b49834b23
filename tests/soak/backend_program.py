"""A backend server that writes down each request it runs, before it runs it.

Its arguments are its own port, its node's operators' address and the file.
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
_PIECE_BYTES = 64 * 1024
_ANNOUNCE_S = 0.5
# Calls still arrive for this long after the backend server said that it leaves.
_LEAVE_S = 2.0


def answer_to(request_id: str, size_bytes: int) -> bytes:
    """Return the only right answer to a request."""
    line = request_id.encode() + b"\n"
    return (line * (size_bytes // len(line) + 1))[:size_bytes]


class _Work(RequestHandler):
    def initialize(self, ran: int) -> None:
        self.ran = ran

    async def get(self) -> None:
        request_id = self.request.headers[ID_HEADER]
        os.write(self.ran, f"{request_id}\n".encode())
        await asyncio.sleep(int(self.get_query_argument("ms")) / 1000)
        answer = answer_to(request_id, int(self.get_query_argument("size")))
        self.set_header("Content-Length", str(len(answer)))
        for start in range(0, len(answer), _PIECE_BYTES):
            self.write(answer[start : start + _PIECE_BYTES])
            try:
                await self.flush()
            except StreamClosedError:
                return

    post = get


async def _announce(port: int, node_url: str, *, draining: bool) -> None:
    place = {"host": HOST, "port": port, "slots": SLOTS}
    body = {"service": "work", "version": "1", "draining": draining, **place}
    request = HTTPRequest(
        f"{node_url}/backend", method="POST", body=json.dumps(body), request_timeout=1.0
    )
    try:
        await CurlAsyncHTTPClient().fetch(request)
    except (HTTPError, OSError):
        # The node is not up; a later announcement will reach it.
        pass


async def _main(port: int, node_url: str, ran_path: str) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    ran = os.open(ran_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    server = HTTPServer(
        Application([(r"/.*", _Work, {"ran": ran})], log_function=lambda _: None)
    )
    server.listen(port, address=HOST)
    while not stopped.is_set():
        await _announce(port, node_url, draining=False)
        try:
            await asyncio.wait_for(stopped.wait(), _ANNOUNCE_S)
        except TimeoutError:
            pass
    await _announce(port, node_url, draining=True)
    await asyncio.sleep(_LEAVE_S)
    server.stop()
    # The last answers: no request takes longer.
    await asyncio.sleep(_LEAVE_S)


if __name__ == "__main__":
    asyncio.run(_main(int(sys.argv[1]), sys.argv[2], sys.argv[3]))
