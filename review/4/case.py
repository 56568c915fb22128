"""A store that is silent for a moment after a change: later changes go unnoticed."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage_2 import TROUBLE, PlainServer, Stage, ask, play, route, service

#: `config-apply-ms` and `contact-timeout-ms` of the site, in seconds.
_APPLY_S = 2.0
_CONTACT_S = 3.0
#: The silence begins this long after a change, and lasts this long, in seconds.
_SILENT_AFTER_S = 0.2
_SILENT_S = 0.3


def _configuration(version: int, *routes: Any) -> dict[str, Any]:
    services = [service("app-old"), service("app-new")]
    return {"version": version, "routes": routes, "services": services, "limits": {}}


async def _case(stage: Stage) -> str:
    store, record = stage.store, stage.record
    old = await stage.add_server(PlainServer("i-old", "app-old", record))
    await stage.add_server(PlainServer("i-new", "app-new", record))
    moved = route("moved", "/moved/", "idempotent", "app-old")
    dropped = route("dropped", "/dropped/", "idempotent", "app-old")
    store.put("config", "main", _configuration(1, moved, dropped))
    entries = await stage.add_entries(3)
    store.put("config", "main", _configuration(4, moved, dropped))
    record.write("version 4 acknowledged")
    await asyncio.sleep(_SILENT_AFTER_S)
    if TROUBLE:
        store.is_silent = True
        record.write("the store is silent")
    await asyncio.sleep(_SILENT_S)
    store.is_silent = False
    record.write("the store answers")
    await asyncio.sleep(_CONTACT_S + 0.2)
    added = route("added", "/added/", "idempotent", "app-new")
    moved = {**moved, "service": "app-new"}
    store.put("config", "main", _configuration(7, moved, added))
    acknowledged_s = time.monotonic()
    record.write("version 7 acknowledged: /moved/ moved, /dropped/ gone, /added/ new")
    await asyncio.sleep(_APPLY_S + 0.1)
    faults = []
    number = 0
    while time.monotonic() < acknowledged_s + _APPLY_S + 2.0:
        for entry in entries:
            for path in ("/moved/", "/dropped/", "/added/"):
                number += 1
                attempt = f"a{number}"
                sent_s = time.monotonic() - acknowledged_s
                status, _, _ = await ask(entry.port, "POST", f"{path}x", attempt, b"q")
                ran_old = attempt in old.runs
                is_fault = ran_old or (path == "/added/" and status == 404)
                text = f"{attempt} {path} to {entry.name} {sent_s:.3f} s after the"
                text += f" acknowledgement: {status}{', run by app-old' * ran_old}"
                record.write(text + ", as of an older version" * is_fault)
                faults += [text] * is_fault
        await asyncio.sleep(0.2)
    return f"CONFIG, {len(faults)} of {number} requests" if faults else ""


play(Path(__file__).resolve().parent, _case, 60.0)
