"""A demonstration with real processes on this machine."""

import asyncio
import sys
import time
from importlib import resources
from pathlib import Path
from subprocess import PIPE, run

import click

from burdockdock.cli.output import EXIT_REFUSED
from burdockdock.standin.load import LoadReport, LoadRunner
from burdockdock.standin.local_fleet import LocalFleet, NodePlace

_REGION = "great-lakes"
_ZONES = ("lk-west", "lk-mid", "lk-east")
_BACKENDS = (
    ("matchdesk", "1"),
    ("matchdesk", "1"),
    ("matchdesk", "2"),
    ("matchdesk", "2"),
    ("tripvault", "1"),
    ("tripvault", "1"),
    ("tripvault", "2"),
    ("tripvault", "2"),
)
_FAULTY = ("tripvault", "2")
_FAULTY_SHARE = 0.5
_CALLS_PER_S = 160.0
_FINISH_BY = "+20s"


@click.command()
@click.option(
    "--logs",
    "folder",
    type=click.Path(path_type=Path),
    help="Keep settings and logs in this folder.",
)
def demo(folder: Path | None) -> None:
    """Run a small fleet, a configuration, an exception, and two moves."""
    sys.exit(asyncio.run(_Demo(folder).run()))


class _Demo:
    """The steps of the demonstration, each printed with its time."""

    def __init__(self, folder: Path | None) -> None:
        self._started_s = time.monotonic()
        self._fleet = LocalFleet(folder=folder)
        self._problems: list[str] = []

    async def run(self) -> int:
        """Run every step; return the exit status."""
        try:
            report = await self._run_steps()
        finally:
            self._problems += await asyncio.to_thread(self._fleet.stop)
            self._say("stopped everything")
        self._judge(report)
        for problem in self._problems:
            self._say(f"PROBLEM: {problem}")
        self._say("failed" if self._problems else "all good")
        return EXIT_REFUSED if self._problems else 0

    async def _run_steps(self) -> LoadReport:
        await self._start_fleet()
        await self._apply()
        urls = [node.callers_url for node in self._fleet.nodes.values()]
        load = LoadRunner(urls, calls_per_s=_CALLS_PER_S)
        task = asyncio.create_task(load.run())
        self._say(f"calling at {_CALLS_PER_S:g} calls a second through every node")
        await self._add_exception()
        await self._move("matchdesk", expected=0, outcome="done")
        await self._move("tripvault", expected=EXIT_REFUSED, outcome="taken back")
        load.stop()
        await task
        await load.check_doubled([b.url for b in self._fleet.backends.values()])
        for reason, count in load.failure_reasons.items():
            self._say(f"no answer for {count} calls: {reason}")
        return load.report

    async def _start_fleet(self) -> None:
        self._fleet.start_platform()
        for i, (service, version) in enumerate(_BACKENDS):
            zone = _ZONES[i % len(_ZONES)]
            node = self._fleet.start_node(NodePlace(f"node-{i}", _REGION, zone))
            faulty = (service, version) == _FAULTY
            self._fleet.start_backend(
                node, service, version, fail_share=_FAULTY_SHARE if faulty else 0.0
            )
        seconds_s = await self._fleet.wait_ready(members=len(_BACKENDS))
        self._say(
            f"{len(_BACKENDS)} nodes in {len(_ZONES)} availability zones know each "
            f"other after {seconds_s:.1f} s"
        )

    async def _apply(self) -> None:
        path = self._fleet.folder / "mesh.ini"
        path.write_text(
            resources.files("burdockdock.cli").joinpath("demo.ini").read_text()
        )
        await self._command("config", "apply", str(path), "--reason", "first routes")
        await self._wait_backends()

    async def _wait_backends(self) -> None:
        """Wait until a call reaches both services."""
        url = next(iter(self._fleet.nodes.values())).callers_url
        load = LoadRunner([url], calls_per_s=_CALLS_PER_S)
        for path in ("/profiles/first", "/trips/first"):
            await load.call_until_answered(path)

    async def _add_exception(self) -> None:
        await self._command(
            "exception",
            "add",
            "slow-trips",
            "--scope=service:tripvault",
            "--setting=timeout_ms",
            "--value=5000",
            "--reason=trip packets are long until the archive is split",
        )

    async def _move(self, service: str, *, expected: int, outcome: str) -> None:
        """Move a service from version 1 to 2 and compare the end."""
        started_s = time.monotonic()
        await self._command(
            "move",
            "start",
            service,
            "--from=1",
            "--to=2",
            f"--finish-by={_FINISH_BY}",
            "--reason=demonstration",
        )
        status = await self._command("move", "wait", service, expected=expected)
        seconds_s = time.monotonic() - started_s
        if status == expected:
            self._say(f"the move of {service} was {outcome} after {seconds_s:.1f} s")

    async def _command(self, *words: str, expected: int = 0) -> int:
        """Run a command as an operator would, and print what it prints."""
        node = next(iter(self._fleet.nodes.values()))
        argv = [sys.executable, "-m", "burdockdock", *words]
        options = [f"--platform={self._fleet.platform_url}"]
        if words[:2] != ("move", "wait"):
            options.append(f"--node={node.operators_url}")
        self._say(f"$ burdockdock {' '.join(words)}")
        done = await asyncio.to_thread(run, [*argv, *options], stdout=PIPE, text=True)
        for line in done.stdout.splitlines():
            self._say(f"  {line}")
        if done.returncode != expected:
            self._problems.append(
                f"{' '.join(words[:3])} ended with {done.returncode}, not {expected}"
            )
        return done.returncode

    def _judge(self, report: LoadReport) -> None:
        self._say(
            f"calls: {report.calls}, whole answers: {report.complete}, of them met the "
            f"fault: {report.faulty}, refused as not run: {report.not_run}, "
            f"lost: {report.lost}, cut or crossed: {report.wrong}, "
            f"doubled: {report.doubled}"
        )
        for name, count in report._asdict().items():
            if name in ("lost", "wrong", "doubled", "not_run") and count:
                self._problems.append(f"{count} calls {name}")
        if not report.calls:
            self._problems.append("no call was made")

    def _say(self, line: str) -> None:
        seconds_s = time.monotonic() - self._started_s
        click.echo(f"{seconds_s:6.1f} s  {line}")
