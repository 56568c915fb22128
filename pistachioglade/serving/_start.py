"""Starts a serving program: settings, logs, metrics and the event loop.

The arguments are parsed without click. The process starts anew at every restart of its
machine, and importing click alone would take a sixth of the start time.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Final

from ..decisions import (
    WITHOUT_VARIABLE,
    Policy,
    connection_bounds,
    parse_policy,
)
from ..errors import Refusal
from ..logs import configure_bounded_logs
from ..metrics import METRICS_PORT_VARIABLE, Metrics, serve_metrics
from ..platform import SETTINGS_VARIABLE, ProcessSettings, load_settings
from ._client_ends import ClientEnds
from ._descriptors import max_descriptors
from ._settings_watch import SettingsWatch

#: Exit status for invalid arguments or settings.
_USAGE_STATUS: Final = 2
_ROLES: Final = MappingProxyType(
    {
        "entry": ("_entry_program", "EntryProgram"),
        "engine": ("_engine_program", "EngineProgram"),
        "storage": ("_storage_program", "StorageProgram"),
    }
)


def main(arguments: Sequence[str]) -> int:
    """Run the program of a role until it stops; return the exit status."""
    if len(arguments) != 1 or arguments[0] not in _ROLES:
        roles = ", ".join(_ROLES)
        print(f"usage: python3 -m pistachioglade.serving ROLE ({roles})")
        return _USAGE_STATUS
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"{SETTINGS_VARIABLE}: not set", file=sys.stderr)
        return _USAGE_STATUS
    settings = load_settings(Path(path))
    if isinstance(settings, Refusal):
        print(settings.reason, file=sys.stderr)
        return _USAGE_STATUS
    policy = parse_policy(os.environ.get(WITHOUT_VARIABLE, ""))
    if isinstance(policy, Refusal):
        print(policy.reason, file=sys.stderr)
        return _USAGE_STATUS
    port = os.environ.get(METRICS_PORT_VARIABLE, "")
    if port and not port.isdigit():
        print(f"{METRICS_PORT_VARIABLE}: {port!r} is not a port", file=sys.stderr)
        return _USAGE_STATUS
    writer = configure_bounded_logs(settings.node, arguments[0])
    metrics = Metrics()
    metrics.register_gauge(
        "pistachioglade_log_lines_dropped",
        "Log lines dropped because they were too many or their reader too slow.",
        lambda: writer.dropped,
    )
    asyncio.run(
        _run(arguments[0], Path(path), settings, metrics, int(port or 0), policy)
    )
    return 0


async def _run(
    role: str,
    path: Path,
    settings: ProcessSettings,
    metrics: Metrics,
    metrics_port: int,
    policy: Policy,
) -> None:
    if metrics_port:
        probes = connection_bounds(max_descriptors(settings), None).probes
        server = await serve_metrics(
            metrics,
            settings.host,
            metrics_port,
            settings.max_probe_connections or probes,
            settings.max_probe_body_bytes,
        )
        server.on_ended = ClientEnds("metrics", metrics).record
    # Each role imports only the modules that it needs, since memory is paid for.
    from importlib import import_module

    module, name = _ROLES[role]
    program = getattr(import_module(f".{module}", __package__), name)
    await program(SettingsWatch(path, settings), metrics, policy).run()
