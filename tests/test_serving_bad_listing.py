"""An entry's listing whose address can't be used."""

from __future__ import annotations

import asyncio
from pathlib import Path

from pistachioglade.serving._members import ENTRY_KIND

from .serving import LOOKUP, Fleet, run_case

#: Time for which entries run beside the listing, in seconds.
_RUN_S = 5.0


def test_entries_run_beside_a_listing_with_an_invalid_address(tmp_path: Path) -> None:
    """Guards against tasks that fail on another entry's listing.

    The probe of the listed neighbour failed eight times within 18 s, after which the
    entry stopped; the next entry then probed the same listing.
    """

    async def case(fleet: Fleet) -> None:
        value = {"address": "127.0.0.1:99999", "boot": "b", "capacity": 1.0}
        await fleet.store.client().create(ENTRY_KIND, "entry-00", value, 2.0)
        await asyncio.sleep(_RUN_S)
        failed = [
            (entry.name, line["task"], line["ran_s"])
            for entry in fleet.entries
            for line in entry.log_lines("task-failed")
        ]
        ended = [entry.process.returncode for entry in fleet.entries if entry.process]
        statuses = [
            (await fleet.call(entry, "POST", f"{LOOKUP}x")).status
            for entry in fleet.entries
            if entry.process and entry.process.returncode is None
        ]
        assert (failed, ended, statuses) == ([], [None, None], [200, 200])

    run_case(tmp_path, case, entries=2)
