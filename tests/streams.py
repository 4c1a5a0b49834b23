"""Streams for tests, which `async_test` closes before the event loop closes."""

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
    """What one event loop has opened for a test."""

    def __init__(self) -> None:
        self.servers: list[asyncio.Server] = []
        self.handlers: list[asyncio.Task[Any]] = []
        self.writers: list[asyncio.StreamWriter] = []


_open_streams: WeakKeyDictionary[asyncio.AbstractEventLoop, _OpenStreams] = (
    WeakKeyDictionary()
)


def _streams_of_this_loop() -> _OpenStreams:
    return _open_streams.setdefault(asyncio.get_running_loop(), _OpenStreams())


async def open_connection(
    host: str, port: int, **options: Any
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection that is closed at the end of the test."""
    reader, writer = await asyncio.open_connection(host, port, **options)
    _streams_of_this_loop().writers.append(writer)
    return reader, writer


async def start_server(
    handler: ConnectionHandler, host: str, port: int, **options: Any
) -> asyncio.Server:
    """Start a server that is closed with its connections at the end of the test."""

    @functools.wraps(handler)
    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        streams = _streams_of_this_loop()
        streams.writers.append(writer)
        streams.handlers.append(asyncio.current_task())
        await handler(reader, writer)

    server = await asyncio.start_server(handle, host, port, **options)
    _streams_of_this_loop().servers.append(server)
    return server


async def close_all() -> None:
    """Close the servers and connections of this loop; wait until they are closed."""
    streams = _open_streams.pop(asyncio.get_running_loop(), _OpenStreams())
    for server in streams.servers:
        server.close()
    for handler in streams.handlers:
        handler.cancel()
    if streams.handlers:
        await asyncio.wait(streams.handlers)
    for writer in streams.writers:
        # What is still unsent is for nobody, and a close would wait for a reader.
        writer.transport.abort()
    for writer in streams.writers:
        with suppress(OSError):
            await writer.wait_closed()
