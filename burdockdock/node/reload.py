"""Taking in a changed settings file while the node runs."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from burdockdock.logs import log_event
from burdockdock.node.settings import NodeSettings, read_settings

_CHECK_S = 2.0
# What a running node can change; addresses and names need a restart.
_CHANGEABLE = frozenset({"drain_timeout_s", "grace_period_s"})


class SettingsWatch:
    """Reads the settings again after a signal, or when the file changed by itself.

    A file that is wrong changes nothing.

    :param apply: called with the new settings.
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
        self._seen = self._stamp()

    @property
    def settings(self) -> NodeSettings:
        """The settings in force."""
        return self._settings

    def signal(self) -> None:
        """Read the file soon."""
        self._signalled.set()

    async def run(self) -> None:
        """Take in changes, for ever."""
        while True:
            try:
                async with asyncio.timeout(_CHECK_S):
                    await self._signalled.wait()
            except TimeoutError:
                if self._stamp() == self._seen:
                    continue
            self.reload(signalled=self._signalled.is_set())
            self._signalled.clear()

    def reload(self, *, signalled: bool) -> None:
        """Read the file whole, and apply it if nothing is wrong with it."""
        self._seen = self._stamp()
        found = read_settings(self._path)
        if not isinstance(found, NodeSettings):
            log_event(
                "settings.refused",
                signalled=signalled,
                problem=str(found[0]),
                kept=True,
            )
            return
        changed = [
            name
            for name in NodeSettings._fields
            if getattr(found, name) != getattr(self._settings, name)
        ]
        log_event(
            "settings.reloaded",
            signalled=signalled,
            changed=changed,
            needs_restart=[name for name in changed if name not in _CHANGEABLE],
        )
        applied = {n: getattr(found, n) for n in changed if n in _CHANGEABLE}
        self._settings = self._settings._replace(**applied)
        if applied:
            self._apply(self._settings)

    def _stamp(self) -> tuple[int, int]:
        """Return what tells one state of the file from another."""
        try:
            found = self._path.stat()
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
