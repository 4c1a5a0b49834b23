"""Tests of taking in a changed settings file."""

import tempfile
from importlib import resources
from pathlib import Path

import testtools

from burdockdock.node.reload import SettingsWatch
from burdockdock.node.settings import NodeSettings, read_settings
from tests.support import async_test


class SettingsWatchTest(testtools.TestCase):
    """Tests of good, wrong and missing files."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.ini"
        sample = resources.files("burdockdock.node").joinpath("sample.ini")
        self.text = sample.read_text()
        self.path.write_text(self.text)
        self.applied: list[NodeSettings] = []

    def _watch(self) -> SettingsWatch:
        settings = read_settings(self.path)
        return SettingsWatch(self.path, settings, apply=self.applied.append)

    @async_test
    async def test_what_can_change_is_applied(self) -> None:
        watch = self._watch()
        self.path.write_text(self.text.replace("= 70s", "= 1500ms"))
        watch.reload(signalled=True)
        self.assertEqual([1.5], [s.grace_period_s for s in self.applied])

    @async_test
    async def test_what_needs_a_restart_stays_as_it_is(self) -> None:
        watch = self._watch()
        self.path.write_text(self.text.replace("= guild", "= other"))
        watch.reload(signalled=True)
        self.assertEqual([], self.applied)

    @async_test
    async def test_a_wrong_or_missing_file_changes_nothing(self) -> None:
        watch = self._watch()
        for text in ("", "[node]\nname = x\n", self.text + "\n[unknown]\na = b\n"):
            self.path.write_text(text)
            watch.reload(signalled=False)
        self.path.unlink()
        watch.reload(signalled=False)
        self.assertEqual([], self.applied)
