"""Reload of the settings file while the node runs."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from burdockdock.logs import log_event
from burdockdock.node.settings import NodeSettings, read_settings

_FILE_CHECK_INTERVAL_S = 2.0
# Settings that a running node can change; addresses and names need a restart.
_RELOADABLE = frozenset({"drain_timeout_s", "grace_period_s"})


class SettingsWatch:
    """Reloads the settings on a signal, or when the file has changed.

    An invalid file is logged and changes nothing.

    :param apply: called with the new settings when a reloadable one has changed.
    """

    def __init__(
        self,
        path: Path,
        settings: NodeSettings,
        *,
        apply: Callable[[NodeSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._signalled = asyncio.Event()
        self._last_fingerprint = self._fingerprint()

    @property
    def settings(self) -> NodeSettings:
        """The settings in force."""
        return self._settings

    def request_reload(self) -> None:
        """Make ``run`` reload the file at once, even if it has not changed."""
        self._signalled.set()

    async def run(self) -> None:
        """Reload the file on each change and each request; runs until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_FILE_CHECK_INTERVAL_S):
                    await self._signalled.wait()
            except TimeoutError:
                if self._fingerprint() == self._last_fingerprint:
                    continue
            self.reload(signalled=self._signalled.is_set())
            self._signalled.clear()

    def reload(self, *, signalled: bool) -> None:
        """Read the file and apply its reloadable settings if the whole file is valid.

        :param signalled: whether a signal caused the reload, for the log.
        """
        self._last_fingerprint = self._fingerprint()
        loaded = read_settings(self._path)
        if not isinstance(loaded, NodeSettings):
            log_event(
                "settings.refused",
                signalled=signalled,
                problem=str(loaded[0]),
                kept=True,
            )
            return
        changed = [
            name
            for name in NodeSettings._fields
            if getattr(loaded, name) != getattr(self._settings, name)
        ]
        log_event(
            "settings.reloaded",
            signalled=signalled,
            changed=changed,
            needs_restart=[name for name in changed if name not in _RELOADABLE],
        )
        applied = {n: getattr(loaded, n) for n in changed if n in _RELOADABLE}
        self._settings = self._settings._replace(**applied)
        if applied:
            self._apply(self._settings)

    def _fingerprint(self) -> tuple[int, int]:
        """Return the file's modification time in ns and its size, zeros if missing."""
        try:
            stat = self._path.stat()
        except OSError:
            return (0, 0)
        return (stat.st_mtime_ns, stat.st_size)
