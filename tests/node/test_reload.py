"""Tests of reloading the settings file."""

import tempfile
from importlib import resources
from pathlib import Path

import testtools

from burdockdock.node.reload import SettingsWatch
from burdockdock.node.settings import NodeSettings, read_settings
from tests.support import async_test


class SettingsWatchTest(testtools.TestCase):
    """Tests of valid, invalid and missing files."""

    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "node.ini"
        sample = resources.files("burdockdock.node").joinpath("sample.ini")
        self.text = sample.read_text()
        self.path.write_text(self.text)
        self.applied: list[NodeSettings] = []

    def _watch(self) -> SettingsWatch:
        settings = read_settings(self.path)
        return SettingsWatch(self.path, settings, apply=self.applied.append)

    @async_test
    async def test_applies_reloadable_settings(self) -> None:
        watch = self._watch()
        self.path.write_text(self.text.replace("= 70s", "= 1500ms"))
        watch.reload(signalled=True)
        self.assertEqual([1.5], [s.grace_period_s for s in self.applied])

    @async_test
    async def test_ignores_settings_that_need_a_restart(self) -> None:
        watch = self._watch()
        self.path.write_text(self.text.replace("= guild", "= other"))
        watch.reload(signalled=True)
        self.assertEqual([], self.applied)

    @async_test
    async def test_invalid_or_missing_file_changes_nothing(self) -> None:
        watch = self._watch()
        for text in ("", "[node]\nname = x\n", self.text + "\n[unknown]\na = b\n"):
            self.path.write_text(text)
            watch.reload(signalled=False)
        self.path.unlink()
        watch.reload(signalled=False)
        self.assertEqual([], self.applied)
