"""Follows the settings file of a process while it runs.

The platform may rewrite the file with a SIGHUP or without any signal. What can change
in a running process does; what can't is named in the log and waits for the next start.
A file that can't be read or has a wrong field changes nothing.
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

#: Time between two looks at the file; nothing in it is urgent, and a look is one call
#: to the kernel.
_LOOK_S: Final = 2.0

#: Fields whose new values a running process takes over.
FOLLOWED: Final = frozenset(
    {
        "store",
        "grace_s",
        "result_retention_s",
        "max_object_bytes",
        "cpu_cores",
        "link_mbps",
    }
)


class SettingsWatch:
    """The settings in force, and whoever wants to know of changes."""

    def __init__(self, path: Path, settings: ProcessSettings) -> None:
        self._path = path
        self._log = logger(__name__)
        self._seen = self._stamp()
        self._has_signal = asyncio.Event()
        # The settings in force.
        self.settings = settings
        # Called with the new settings after each change.
        self.on_change: list[Callable[[ProcessSettings], None]] = []

    def _stamp(self) -> tuple[int, int] | None:
        """Return what tells one content of the file from another; None if it's gone."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size

    def signal(self) -> None:
        """Look at once, as after SIGHUP."""
        self._has_signal.set()

    async def run(self) -> None:
        """Look now and then, for good."""
        while True:
            try:
                async with asyncio.timeout(_LOOK_S):
                    await self._has_signal.wait()
            except TimeoutError:
                self._look()
            else:
                self._has_signal.clear()
                self._log.info("reload", source="SIGHUP")
                self._read()

    def _look(self) -> None:
        stamp = self._stamp()
        if stamp != self._seen and stamp is not None:
            self._seen = stamp
            self._read()

    def _read(self) -> None:
        self._seen = self._stamp()
        read = load_settings(self._path)
        if isinstance(read, Refusal):
            self._log.error("settings-refused", reason=read.reason)
            return
        known = attrs.asdict(self.settings, recurse=False)
        changed = {
            name
            for name, value in attrs.asdict(read, recurse=False).items()
            if value != known[name]
        }
        if not changed:
            return
        self._log.info(
            "settings-changed",
            in_force=sorted(changed & FOLLOWED),
            after_restart=sorted(changed - FOLLOWED),
        )
        taken = {name: getattr(read, name) for name in changed & FOLLOWED}
        self.settings = attrs.evolve(self.settings, **taken)
        for callback in self.on_change:
            callback(self.settings)
