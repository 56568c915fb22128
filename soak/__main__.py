"""Runs seeds by hand: ``python -m soak --seeds 1,2,3 --duration-s 25``."""

from __future__ import annotations

import asyncio
import json
import secrets
import shutil
import sys
import tempfile
from pathlib import Path

import attrs
import click

from ._run import Sizes, soak


@click.command()
@click.option("--seeds", default="", help="Seeds, by commas; fresh ones by default.")
@click.option("--fresh", default=3, help="How many fresh seeds, if none are named.")
@click.option("--duration-s", default=25.0, help="Time for which faults come.")
@click.option("--entries", default=3, help="Entries.")
@click.option("--engines", default=3, help="Engines, each with its program.")
@click.option("--keep", default="", help="Folder for the logs of seeds that failed.")
def main(
    seeds: str, fresh: int, duration_s: float, entries: int, engines: int, keep: str
) -> None:
    """Run seeds one after the other; exit with code 1 if any seed had a violation."""
    chosen = [int(text) for text in seeds.split(",") if text] or [
        secrets.randbelow(1_000_000) for _ in range(fresh)
    ]
    sizes = Sizes(entries=entries, engines=engines)
    has_failed = False
    for seed in chosen:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        outcome = asyncio.run(soak(seed, duration_s, folder, sizes))
        click.echo(json.dumps(attrs.asdict(outcome)))
        if outcome.violations:
            has_failed = True
            if keep:
                shutil.copytree(folder, Path(keep) / str(seed), dirs_exist_ok=True)
        shutil.rmtree(folder)
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    main()
