"""Commands that run stand-ins for the platform and for backend servers."""

import asyncio
import signal

import click

from burdockdock.standin.backend import Backend, BackendOptions
from burdockdock.standin.platform import serve_platform


@click.group()
def standin() -> None:
    """Run a stand-in for the platform or a backend.

    Stand-ins are for demos and tests.
    """


@standin.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, default=7600, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def platform(host: str, port: int, seed: int) -> None:
    """Run an in-memory implementation of the platform's object API."""

    async def run() -> None:
        stopped = _create_stop_event()
        server = serve_platform(host, port, seed=seed)
        await stopped.wait()
        server.stop()

    asyncio.run(run())


@standin.command()
@click.option("--service", required=True)
@click.option("--version", required=True)
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--announce-to", "node_url", default="", help="Operator URL of the node.")
@click.option("--latency-ms", type=float, default=5.0, show_default=True)
@click.option("--slots", type=int, default=8, show_default=True)
@click.option("--cold-start-s", type=float, default=0.0, show_default=True)
@click.option("--fail-share", type=float, default=0.0, show_default=True)
@click.option("--fail-after", type=int, default=0, show_default=True)
@click.option("--fail-route", default="", help="Prefix of paths that fail.")
@click.option("--fail-after-s", type=float, default=0.0, show_default=True)
@click.option("--fail-above", type=int, default=0, show_default=True)
@click.option("--lying-health", is_flag=True, help="Always report ready and idle.")
@click.option("--slow-factor", type=float, default=1.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def backend(**fields: object) -> None:
    """Run a backend server that announces itself to a node."""
    options = BackendOptions(**fields)

    async def run() -> None:
        await Backend(options).run(_create_stop_event())

    asyncio.run(run())


def _create_stop_event() -> asyncio.Event:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped
