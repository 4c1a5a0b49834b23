"""Runs every command of the operators' pages, and checks what commands promise."""

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

_PAGES = Path(__file__).parent.parent.parent / "docs" / "operating"
_ORDER = ("start", "configuration", "moves", "watching", "failures")
_BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)
_CONFIG = (
    "[service matchdesk]\n[service tripvault]\n"
    "[route profiles]\npath = /profiles\nservice = matchdesk\n"
)


def _commands(page: str) -> list[tuple[list[str], int]]:
    """Return the commands of a page with their exit statuses."""
    found = []
    for block in _BLOCK.findall((_PAGES / f"{page}.md").read_text()):
        for line in block.splitlines():
            command, _, comment = line.partition("  # exit ")
            found.append((shlex.split(command), int(comment or 0)))
    return found


class _Shell:
    """Runs commands as an operator would, beside a small fleet."""

    def __init__(self, fleet: LocalFleet) -> None:
        self.folder = fleet.folder
        node = next(iter(fleet.nodes.values()))
        self.environment = {
            **os.environ,
            "BURDOCKDOCK_PLATFORM": fleet.platform_url,
            "BURDOCKDOCK_NODE": node.operators_url,
        }

    async def run(self, *words: str) -> subprocess.CompletedProcess[str]:
        """Run ``burdockdock`` with some words."""
        return await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-m", "burdockdock", *words],
            cwd=self.folder,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=PATIENCE_S,
        )


async def _start(fleet: LocalFleet) -> _Shell:
    fleet.start_platform()
    for i in range(2):
        fleet.start_node(NodePlace(f"node-{i}", "r", f"z{i}"))
    await fleet.wait_ready(members=2, timeout_s=PATIENCE_S)
    (fleet.folder / "mesh.ini").write_text(_CONFIG)
    (fleet.folder / "bad.ini").write_text(_CONFIG + "[route x]\npath = y\n")
    return _Shell(fleet)


class OperatingPagesTest(testtools.TestCase):
    """Tests of what operators read and type."""

    @async_test
    async def test_every_command_on_the_pages(self) -> None:
        self.assertEqual(set(_ORDER), {path.stem for path in _PAGES.glob("*.md")})
        fleet = LocalFleet(mesh="pages")
        try:
            shell = await _start(fleet)
            count = 0
            for page in _ORDER:
                for words, status in _commands(page):
                    self.assertEqual("burdockdock", words[0])
                    done = await shell.run(*words[1:])
                    seen = (page, words, done.stdout, done.stderr)
                    self.assertEqual(status, done.returncode, seen)
                    count += 1
            self.assertGreaterEqual(count, 15)
            await self._check_texts(shell)
        finally:
            await asyncio.to_thread(fleet.stop)

    async def _check_texts(self, shell: _Shell) -> None:
        """Check what is printed for people and for scripts."""
        done = await shell.run("config", "apply", "mesh.ini", "--reason", "again")
        self.assertRegex(done.stdout, r"accepted as version \d+")
        self.assertRegex(done.stdout, r"in force on 2 of 2 nodes after \d+\.\d s")
        done = await shell.run("config", "check", "bad.ini")
        self.assertIn("[route x] path: give a path that begins with /", done.stderr)
        done = await shell.run("status", "--output", "json")
        self.assertEqual(2, json.loads(done.stdout)["fleet"]["total"])
        down = {"BURDOCKDOCK_PLATFORM": "http://127.0.0.1:9"}
        shell.environment.update(down)
        done = await shell.run("config", "show")
        self.assertEqual(4, done.returncode)
        self.assertEqual(1, len(done.stderr.splitlines()), done.stderr)
