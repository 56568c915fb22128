"""Weight orders, from real entries, for engines without an engine program.

The tests guard against engines that get no orders when no engine programs run: from
the third weight version on, no step then earns anything.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from pistachioglade.platform import names

from .serving import Fleet, instances_of, run_case


async def _name_version(fleet: Fleet, version: int) -> None:
    client = fleet.store.client()
    value = {"model": "m", "version": version}
    await client.create(names.VERSION_KIND, "m", value, 5.0)
    await client.replace(names.VERSION_KIND, "m", value, None)


async def _wait_until_loaded(fleet: Fleet, version: int) -> None:
    """Wait until one engine has the version and all are at most one behind."""
    async with asyncio.timeout(20.0):
        while True:
            held = [engine.versions["m"] for engine in instances_of(fleet, "lm")]
            if max(held) >= version and min(held) >= version - 1:
                return
            await asyncio.sleep(0.05)


def test_an_entry_orders_weights_for_engines_without_a_program(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        for version in (2, 3, 4):
            await _name_version(fleet, version)
            await _wait_until_loaded(fleet, version)
        for engine in instances_of(fleet, "lm"):
            fences = [order["fencing-token"] for order in engine.orders]
            assert fences == sorted(fences)
            assert len({order["holder"] for order in engine.orders}) == 1

    run_case(tmp_path, case, entries=3)


def test_another_entry_orders_weights_when_the_lease_holder_dies(
    tmp_path: Path,
) -> None:
    async def case(fleet: Fleet) -> None:
        await _name_version(fleet, 2)
        await _wait_until_loaded(fleet, 2)
        await _name_version(fleet, 3)
        await _wait_until_loaded(fleet, 3)
        holder = instances_of(fleet, "lm")[0].orders[-1]["holder"]
        lost = next(entry for entry in fleet.entries if entry.name == holder)
        assert lost.process is not None
        lost.process.kill()
        await lost.process.wait()
        # Time for another entry to detect the loss of the lease holder.
        await asyncio.sleep(2.0)
        for version in (4, 5):
            await _name_version(fleet, version)
            await _wait_until_loaded(fleet, version)

    run_case(tmp_path, case, entries=3)
