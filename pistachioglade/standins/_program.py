"""Command line of the stand-ins, with one subcommand for each kind."""

from __future__ import annotations

import click

from ._engine import EngineOptions, EngineStandin
from ._object_api import ObjectApiStandin
from ._service import ServiceStandin
from ._small import InstanceListStandin, ScorerStandin, WeightStoreStandin
from ._wsgi import serve

_address_option = click.option("--address", required=True, help="Host and port.")


@click.group()
def main() -> None:
    """Run a stand-in for the platform or an upstream, for tests and the demo."""


@main.command("object-api")
@_address_option
def _object_api(address: str) -> None:
    """Serve objects with versions, conditional updates and watches."""
    serve(address, ObjectApiStandin().handle)


@main.command("instance-list")
@_address_option
def _instance_list(address: str) -> None:
    """Serve a list of instances that readers see with a delay."""
    serve(address, InstanceListStandin().handle)


@main.command("weight-store")
@_address_option
@click.option("--bytes-per-s", default=8e6, help="Rate limit over all readers.")
def _weight_store(address: str, bytes_per_s: float) -> None:
    """Serve weights at a limited rate."""
    serve(address, WeightStoreStandin(bytes_per_s).handle)


@main.command("scorer")
@_address_option
def _scorer(address: str) -> None:
    """Serve scores of texts."""
    serve(address, ScorerStandin().handle)


@main.command("service")
@_address_option
@click.option("--name", required=True, help="Instance name.")
@click.option("--work-s", default=0.005, help="Time of one call.")
@click.option("--slots", default=8, help="Calls at once.")
@click.option("--record-file", default="", help="File for the record of runs.")
def _service(
    address: str, name: str, work_s: float, slots: int, record_file: str
) -> None:
    """Serve the operations of a plain service."""
    serve(address, ServiceStandin(name, work_s, slots, record_file).handle)


@main.command("engine")
@_address_option
@click.option("--name", required=True, help="Instance name.")
@click.option("--slots", default=8, help="Requests in one batch.")
@click.option("--tick-s", default=0.02, help="Time of one tick.")
@click.option("--swap-s", default=0.2, help="Pause of a swap.")
@click.option("--ignore-fence", is_flag=True, help="Take orders with old numbers.")
@click.option("--record-file", default="", help="File for the record of runs.")
def _engine(
    address: str,
    name: str,
    slots: int,
    tick_s: float,
    swap_s: float,
    ignore_fence: bool,
    record_file: str,
) -> None:
    """Serve a model engine."""
    options = EngineOptions(
        name=name,
        slots=slots,
        tick_s=tick_s,
        swap_s=swap_s,
        checks_fence=not ignore_fence,
        record_file=record_file,
    )
    serve(address, EngineStandin(options).handle)
