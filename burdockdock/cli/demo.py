"""Command that demonstrates the system with real processes on this machine."""

import asyncio
import sys
import time
from importlib import resources
from pathlib import Path
from subprocess import PIPE, run

import click

from burdockdock.cli.exit_status import EXIT_REFUSED
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
_FAULTY_VERSION = ("tripvault", "2")
_FAULTY_VERSION_FAIL_SHARE = 0.5
_CALLS_PER_S = 160.0
_FINISH_BY = "+20s"


@click.command()
@click.option(
    "--logs",
    "folder",
    type=click.Path(path_type=Path),
    help="Folder in which settings and logs are kept.",
)
def demo(folder: Path | None) -> None:
    """Run a demonstration on a small local fleet.

    Applies a configuration, adds an exception and makes two moves.
    """
    sys.exit(asyncio.run(_Demo(folder).run()))


class _Demo:
    """Runs the steps of the demonstration and prints each with the elapsed time."""

    def __init__(self, folder: Path | None) -> None:
        self._started_s = time.monotonic()
        self._fleet = LocalFleet(folder=folder)
        self._problems: list[str] = []

    async def run(self) -> int:
        """Run all steps.

        :returns: the exit status.
        """
        try:
            report = await self._run_steps()
        finally:
            self._problems += await asyncio.to_thread(self._fleet.stop)
            self._print_line("stopped everything")
        self._check_report(report)
        for problem in self._problems:
            self._print_line(f"PROBLEM: {problem}")
        self._print_line("failed" if self._problems else "all good")
        return EXIT_REFUSED if self._problems else 0

    async def _run_steps(self) -> LoadReport:
        await self._start_fleet()
        await self._apply_configuration()
        urls = [node.callers_url for node in self._fleet.nodes.values()]
        load = LoadRunner(urls, calls_per_s=_CALLS_PER_S)
        task = asyncio.create_task(load.run())
        self._print_line(
            f"calling at {_CALLS_PER_S:g} calls a second through every node"
        )
        await self._add_exception()
        await self._run_move("matchdesk", expected_status=0, outcome="done")
        await self._run_move(
            "tripvault", expected_status=EXIT_REFUSED, outcome="taken back"
        )
        load.stop()
        await task
        await load.count_duplicates([b.url for b in self._fleet.backends.values()])
        for reason, count in load.failure_reasons.items():
            self._print_line(f"no answer for {count} calls: {reason}")
        return load.report

    async def _start_fleet(self) -> None:
        self._fleet.start_platform()
        for i, (service, version) in enumerate(_BACKENDS):
            zone = _ZONES[i % len(_ZONES)]
            node = self._fleet.start_node(NodePlace(f"node-{i}", _REGION, zone))
            faulty = (service, version) == _FAULTY_VERSION
            self._fleet.start_backend(
                node,
                service,
                version,
                fail_share=_FAULTY_VERSION_FAIL_SHARE if faulty else 0.0,
            )
        elapsed_s = await self._fleet.wait_ready(members=len(_BACKENDS))
        self._print_line(
            f"{len(_BACKENDS)} nodes in {len(_ZONES)} availability zones "
            f"discovered each other after {elapsed_s:.1f} s"
        )

    async def _apply_configuration(self) -> None:
        path = self._fleet.folder / "mesh.ini"
        path.write_text(
            resources.files("burdockdock.cli").joinpath("demo.ini").read_text()
        )
        await self._run_command(
            "config", "apply", str(path), "--reason", "first routes"
        )
        await self._wait_for_backends()

    async def _wait_for_backends(self) -> None:
        """Wait until both services answer a call."""
        url = next(iter(self._fleet.nodes.values())).callers_url
        load = LoadRunner([url], calls_per_s=_CALLS_PER_S)
        for path in ("/profiles/first", "/trips/first"):
            await load.call_until_answered(path)

    async def _add_exception(self) -> None:
        await self._run_command(
            "exception",
            "add",
            "slow-trips",
            "--scope=service:tripvault",
            "--setting=timeout_ms",
            "--value=5000",
            "--reason=trip packets are long until the archive is split",
        )

    async def _run_move(
        self, service: str, *, expected_status: int, outcome: str
    ) -> None:
        """Move a service from version 1 to 2 and check how the move ends.

        :param expected_status: exit status that ``move wait`` must have.
        :param outcome: what to print when it has.
        """
        started_s = time.monotonic()
        await self._run_command(
            "move",
            "start",
            service,
            "--from=1",
            "--to=2",
            f"--finish-by={_FINISH_BY}",
            "--reason=demonstration",
        )
        status = await self._run_command(
            "move", "wait", service, expected_status=expected_status
        )
        elapsed_s = time.monotonic() - started_s
        if status == expected_status:
            self._print_line(
                f"the move of {service} was {outcome} after {elapsed_s:.1f} s"
            )

    async def _run_command(self, *arguments: str, expected_status: int = 0) -> int:
        """Run a command as an operator would, and print its output.

        :returns: its exit status.
        """
        node = next(iter(self._fleet.nodes.values()))
        command_line = [sys.executable, "-m", "burdockdock", *arguments]
        options = [f"--platform={self._fleet.platform_url}"]
        if arguments[:2] != ("move", "wait"):
            options.append(f"--node={node.operators_url}")
        self._print_line(f"$ burdockdock {' '.join(arguments)}")
        finished = await asyncio.to_thread(
            run, [*command_line, *options], stdout=PIPE, text=True
        )
        for line in finished.stdout.splitlines():
            self._print_line(f"  {line}")
        if finished.returncode != expected_status:
            self._problems.append(
                f"{' '.join(arguments[:3])} exited with status {finished.returncode}, "
                f"not {expected_status}"
            )
        return finished.returncode

    def _check_report(self, report: LoadReport) -> None:
        self._print_line(
            f"calls: {report.calls}, complete answers: {report.complete}, of them "
            f"with the fault: {report.faulty}, refused as not run: {report.not_run}, "
            f"lost: {report.lost}, truncated or mismatched: {report.wrong}, "
            f"run more than once: {report.doubled}"
        )
        for name, count in report._asdict().items():
            if name in ("lost", "wrong", "doubled", "not_run") and count:
                self._problems.append(f"{count} calls {name}")
        if not report.calls:
            self._problems.append("no call was made")

    def _print_line(self, line: str) -> None:
        elapsed_s = time.monotonic() - self._started_s
        click.echo(f"{elapsed_s:6.1f} s  {line}")
