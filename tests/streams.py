"""Streams for tests, closed by ``async_test`` before the event loop closes."""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any
from weakref import WeakKeyDictionary

ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class _OpenStreams:
    """Servers and connections that a test has opened in one event loop."""

    def __init__(self) -> None:
        self.servers: list[asyncio.Server] = []
        self.handlers: list[asyncio.Task[Any]] = []
        self.writers: list[asyncio.StreamWriter] = []


_open_streams: WeakKeyDictionary[asyncio.AbstractEventLoop, _OpenStreams] = (
    WeakKeyDictionary()
)


def _current_loop_streams() -> _OpenStreams:
    return _open_streams.setdefault(asyncio.get_running_loop(), _OpenStreams())


async def open_connection(
    host: str, port: int, **options: Any
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection that is closed at the end of the test."""
    reader, writer = await asyncio.open_connection(host, port, **options)
    _current_loop_streams().writers.append(writer)
    return reader, writer


async def start_server(
    handler: ConnectionHandler, host: str, port: int, **options: Any
) -> asyncio.Server:
    """Start a server that is closed with its connections at the end of the test."""

    @functools.wraps(handler)
    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        streams = _current_loop_streams()
        streams.writers.append(writer)
        streams.handlers.append(asyncio.current_task())
        await handler(reader, writer)

    server = await asyncio.start_server(handle, host, port, **options)
    _current_loop_streams().servers.append(server)
    return server


async def close_all() -> None:
    """Close the servers and connections of this event loop and wait until closed."""
    streams = _open_streams.pop(asyncio.get_running_loop(), _OpenStreams())
    for server in streams.servers:
        server.close()
    for handler in streams.handlers:
        handler.cancel()
    if streams.handlers:
        await asyncio.wait(streams.handlers)
    for writer in streams.writers:
        # A close would wait for a reader of the unsent data, which nobody needs.
        writer.transport.abort()
    for writer in streams.writers:
        with suppress(OSError):
            await writer.wait_closed()
