"""Commands that run stand-ins for the platform and for backend servers."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

import click

from burdockdock.clock import SystemClock
from burdockdock.platform.headers import HEADERS
from burdockdock.standin.backend import Backend, BackendOptions
from burdockdock.standin.faulty_answers import HeaderNames
from burdockdock.standin.faulty_backend import FaultyBackend
from burdockdock.standin.faulty_script import DEFAULT_MIX, Kind, Mix, Script, parse_mix
from burdockdock.standin.ledger import Ledger, LedgerEntry
from burdockdock.standin.platform import serve_platform

_HEADER_NAMES = HeaderNames(
    request_id=HEADERS.request_id,
    signature=HEADERS.signature,
    not_run=HEADERS.not_run,
    expected_instance=HEADERS.expected_instance,
    timeout=HEADERS.timeout,
)


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


def _read_mix(context: click.Context, option: click.Parameter, text: str) -> Mix:
    try:
        return parse_mix(text) if text else DEFAULT_MIX
    except ValueError as error:
        raise click.BadParameter(str(error)) from None


@standin.command("faulty-backend")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--mix",
    callback=_read_mix,
    default="",
    help=f"Weights of faults, such as none=9,copy=1. Kinds: "
    f"{', '.join(kind.value for kind in Kind)}.",
)
@click.option("--instance-id", default="", help="Id that requests may expect.")
@click.option("--health", "health_path", default="/health", show_default=True)
@click.option("--idle-timeout-s", type=float, default=60.0, show_default=True)
@click.option(
    "--ledger",
    "ledger_path",
    type=click.Path(dir_okay=False, path_type=Path),
    help="File that gets one line of JSON for each arrival.",
)
def faulty_backend(
    host: str,
    port: int,
    seed: int,
    mix: Mix,
    instance_id: str,
    health_path: str,
    idle_timeout_s: float,
    ledger_path: Path | None,
) -> None:
    """Run a backend server that misbehaves by a script and keeps a ledger.

    Each arrival gets one behaviour, drawn from the seed: answers that come twice, late,
    in part, with no id or another one, that are cut, framed wrongly or surrounded by
    other bytes; connections that are reset or forgotten; refusals; restarts. The ledger
    says for each arrival what the request was, whether it ran, what it answered, which
    bytes were sent, and which arrival's they were.

    It doesn't announce itself. Headers have the names of the users' platform, and
    the signature is a hash over id, number of the arrival, status and body.
    """

    async def run() -> None:
        stopped = _create_stop_event()
        backend = FaultyBackend(
            Script(seed, mix).next,
            clock=SystemClock(),
            ledger=Ledger(_ledger_writer(ledger_path), keeps_entries=False),
            names=_HEADER_NAMES,
            instance_id=instance_id,
            health_path=health_path,
            idle_timeout_s=idle_timeout_s,
        )
        await backend.start(host, port)
        await stopped.wait()
        await backend.close()

    asyncio.run(run())


def _ledger_writer(path: Path | None) -> Callable[[LedgerEntry], None]:
    """Return a function that appends an entry to the file, if there is one."""
    if path is None:
        return lambda entry: None

    def write(entry: LedgerEntry) -> None:
        with path.open("a") as file:
            file.write(entry.as_json() + "\n")

    return write


def _create_stop_event() -> asyncio.Event:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped
