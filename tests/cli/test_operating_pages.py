"""Tests that run all commands in the operators' pages and check their output."""

import asyncio
import json
import os
import re
import shlex
import subprocess
import sys
from pathlib import Path

import testtools

from burdockdock.standin.local_fleet import LocalFleet, NodePlace
from tests.support import PATIENCE_S, async_test

_PAGES_FOLDER = Path(__file__).parent.parent.parent / "docs" / "operating"
_PAGE_ORDER = ("start", "configuration", "moves", "watching", "zones", "failures")
_SHELL_BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)
_CONFIGURATION = (
    "[service matchdesk]\n[service tripvault]\n"
    "[route profiles]\npath = /profiles\nservice = matchdesk\n"
)


def _read_commands(page: str) -> list[tuple[list[str], int]]:
    """Return the commands in a page and their expected exit statuses."""
    commands = []
    for block in _SHELL_BLOCK.findall((_PAGES_FOLDER / f"{page}.md").read_text()):
        for line in block.splitlines():
            command, _, comment = line.partition("  # exit ")
            commands.append((shlex.split(command), int(comment or 0)))
    return commands


class _OperatorShell:
    """Runs commands against a small fleet as an operator would."""

    def __init__(self, fleet: LocalFleet) -> None:
        self.folder = fleet.folder
        node = next(iter(fleet.nodes.values()))
        self.environment = {
            **os.environ,
            "BURDOCKDOCK_PLATFORM": fleet.platform_url,
            "BURDOCKDOCK_NODE": node.operators_url,
        }

    async def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run ``burdockdock`` with the given arguments."""
        return await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-m", "burdockdock", *arguments],
            cwd=self.folder,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=PATIENCE_S,
        )


async def _start_fleet(fleet: LocalFleet) -> _OperatorShell:
    fleet.start_platform()
    for i in range(2):
        fleet.start_node(NodePlace(f"node-{i}", "r", f"z{i}"))
    await fleet.wait_ready(members=2, timeout_s=PATIENCE_S)
    (fleet.folder / "mesh.ini").write_text(_CONFIGURATION)
    (fleet.folder / "bad.ini").write_text(_CONFIGURATION + "[route x]\npath = y\n")
    return _OperatorShell(fleet)


class OperatingPagesTest(testtools.TestCase):
    """Tests of the commands in the operators' pages."""

    @async_test
    async def test_commands_on_pages_exit_as_documented(self) -> None:
        self.assertEqual(
            set(_PAGE_ORDER), {path.stem for path in _PAGES_FOLDER.glob("*.md")}
        )
        fleet = LocalFleet(mesh="pages")
        try:
            shell = await _start_fleet(fleet)
            count = 0
            for page in _PAGE_ORDER:
                for arguments, status in _read_commands(page):
                    self.assertEqual("burdockdock", arguments[0])
                    finished = await shell.run(*arguments[1:])
                    details = (page, arguments, finished.stdout, finished.stderr)
                    self.assertEqual(status, finished.returncode, details)
                    count += 1
            self.assertGreaterEqual(count, 15)
            await self._check_output(shell)
        finally:
            await asyncio.to_thread(fleet.stop)

    async def _check_output(self, shell: _OperatorShell) -> None:
        """Check the output for people and for scripts."""
        finished = await shell.run("config", "apply", "mesh.ini", "--reason", "again")
        self.assertRegex(finished.stdout, r"accepted as version \d+")
        self.assertRegex(finished.stdout, r"in force on 2 of 2 nodes after \d+\.\d s")
        finished = await shell.run("config", "check", "bad.ini")
        self.assertIn("[route x] path: give a path that begins with /", finished.stderr)
        finished = await shell.run("status", "--output", "json")
        self.assertEqual(2, json.loads(finished.stdout)["fleet"]["total"])
        unreachable = {"BURDOCKDOCK_PLATFORM": "http://127.0.0.1:9"}
        shell.environment.update(unreachable)
        finished = await shell.run("config", "show")
        self.assertEqual(4, finished.returncode)
        self.assertEqual(1, len(finished.stderr.splitlines()), finished.stderr)
