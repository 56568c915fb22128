"""What the load tool starts for a deployment, from its YAML file."""

from __future__ import annotations

from pathlib import Path

import attrs

from ..config import SettingsError, UpstreamKind, load_settings


@attrs.frozen
class UpstreamPlan:
    """Instances of one upstream, an agent beside each."""

    # Name of the upstream.
    name: str
    # What stands behind it.
    kind: UpstreamKind
    # How many instances.
    instances: int
    # Requests that each takes at once.
    slots: int
    # How many of the engines ignore fencing numbers.
    ignore_fence_instances: int = 0


@attrs.frozen
class TrainerPlan:
    """The steps that one trainer asks for."""

    # Name, as in the declarative file.
    name: str
    # Groups in a step.
    groups: int
    # Samples in a group.
    samples_per_group: int
    # Most tokens in a sample.
    max_tokens: int
    # Time that training on a step takes.
    train_s: float

    @property
    def step_samples(self) -> int:
        """How many samples a step has."""
        return self.groups * self.samples_per_group


@attrs.frozen
class CallerPlan:
    """The calls of one caller to one operation."""

    # Name, as in the declarative file.
    name: str
    # Upstream to call.
    upstream: str
    # Operation to call.
    operation: str
    # Whether each call carries a key of a ticket.
    keyed: bool
    # Calls a second.
    rate_per_s: float


@attrs.frozen
class Deployment:
    """One deployment of the brief."""

    # Region.
    region: str
    # Failure domains.
    domains: tuple[str, ...]
    # One way between failure domains; told, not emulated.
    one_way_latency_ms: float
    # How many entries.
    entries: int
    # The upstreams.
    upstreams: tuple[UpstreamPlan, ...]
    # The trainers.
    trainers: tuple[TrainerPlan, ...]
    # The callers.
    callers: tuple[CallerPlan, ...]
    # Size of each version's weights.
    weights_bytes: int = 2_000_000
    # Rate limit of the weight store.
    store_bytes_per_s: float = 8e6
    # Time of one tick of an engine.
    tick_s: float = 0.02
    # Time of one call of a plain service.
    service_work_s: float = 0.005
    # Time that an engine pauses for a swap.
    swap_s: float = 0.2


def deployment_folder(name: str) -> Path:
    """Return the folder of a deployment of this repository."""
    folder = Path(__file__).parents[2] / "deployments" / name
    if not folder.is_dir():
        raise SettingsError(f"no deployment {name!r}; there is no folder {folder.name}")
    return folder


def load_deployment(name: str) -> tuple[Deployment, str]:
    """Return a deployment and the text of its declarative file."""
    folder = deployment_folder(name)
    deployment = load_settings(str(folder / "deployment.yaml"), Deployment)
    return deployment, (folder / "config.yaml").read_text(encoding="utf-8")
