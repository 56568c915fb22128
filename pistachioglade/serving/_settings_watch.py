"""Follows the settings file of a process while it runs.

The platform may rewrite the file with or without sending SIGHUP. Fields that a running
process can apply come into force; the others are logged and need a restart. A file that
can't be loaded or has an invalid field changes nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Final

import attrs

from ..errors import Refusal
from ..logs import logger
from ..platform import ProcessSettings, load_settings

#: Time between two checks of the file. No setting is urgent, and a check costs one
#: system call.
_CHECK_INTERVAL_S: Final = 2.0

#: Fields whose new values a running process applies.
RELOADABLE_FIELDS: Final = frozenset(
    {
        "store",
        "grace_s",
        "result_retention_s",
        "max_object_bytes",
        "cpu_cores",
        "link_mbps",
        "memory_mb",
    }
)


class SettingsWatch:
    """Holds the settings in force, and calls back when they change."""

    def __init__(self, path: Path, settings: ProcessSettings) -> None:
        self._path = path
        self._log = logger(__name__)
        self._last_stamp = self._stamp()
        self._is_requested = asyncio.Event()
        # The settings in force.
        self.settings = settings
        # Called with the new settings after each change.
        self.on_change: list[Callable[[ProcessSettings], None]] = []

    def _stamp(self) -> tuple[int, int] | None:
        """Return the file's modification time and size; None if there is no file."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size

    def request_reload(self) -> None:
        """Request that the file is loaded at once, as after SIGHUP."""
        self._is_requested.set()

    async def run(self) -> None:
        """Check the file at intervals and on request, forever."""
        while True:
            try:
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await self._is_requested.wait()
            except TimeoutError:
                self._check_file()
            else:
                self._is_requested.clear()
                self._log.info("reload", source="SIGHUP")
                self._reload()

    def _check_file(self) -> None:
        stamp = self._stamp()
        if stamp != self._last_stamp and stamp is not None:
            self._last_stamp = stamp
            self._reload()

    def _reload(self) -> None:
        self._last_stamp = self._stamp()
        loaded = load_settings(self._path)
        if isinstance(loaded, Refusal):
            self._log.error("settings-refused", reason=loaded.reason)
            return
        known = attrs.asdict(self.settings, recurse=False)
        changed = {
            name
            for name, value in attrs.asdict(loaded, recurse=False).items()
            if value != known[name]
        }
        if not changed:
            return
        self._log.info(
            "settings-changed",
            in_force=sorted(changed & RELOADABLE_FIELDS),
            after_restart=sorted(changed - RELOADABLE_FIELDS),
        )
        applied = {name: getattr(loaded, name) for name in changed & RELOADABLE_FIELDS}
        self.settings = attrs.evolve(self.settings, **applied)
        for callback in self.on_change:
            callback(self.settings)
