"""Backend servers of tests, and gates in front of them."""

import asyncio
import re
from typing import Any

from burdockdock.clock import Clock, SystemClock
from burdockdock.gate.gate import Gate
from burdockdock.gate.model import BackendServer
from burdockdock.metrics import Metrics
from tests import streams

HOST = "127.0.0.1"
_REQUEST_ID = re.compile(rb"Request-Id: (\S+)\r\n")


async def start_backend(serve: streams.ConnectionHandler) -> int:
    """Start a server that is closed at the end of the test; return its port.

    :param serve: serves one connection.
    """
    server = await streams.start_server(serve, HOST, 0)
    return server.sockets[0].getsockname()[1]


async def start_gate(
    serve: streams.ConnectionHandler,
    *,
    slots: int = 1,
    clock: Clock | None = None,
    **options: Any,
) -> Gate:
    """Start a backend server and return a gate in front of it.

    :param serve: serves one connection of the backend server.
    :param options: further options of the gate.
    """
    port = await start_backend(serve)
    gate = Gate(clock=clock or SystemClock(), metrics=Metrics(), **options)
    gate.announce(BackendServer("work", "1", HOST, port, slots))
    return gate


async def read_request_id(reader: asyncio.StreamReader) -> str:
    """Return the id of the next request, empty at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return ""
    return _REQUEST_ID.search(head)[1].decode()
