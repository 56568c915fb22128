"""Plan of the processes and the workload of a deployment, from a YAML file."""

from __future__ import annotations

from pathlib import Path

import attrs

from ..config import SettingsError, UpstreamKind, load_settings


@attrs.frozen
class UpstreamPlan:
    """Instances of one upstream, each with its own agent."""

    # Name of the upstream.
    name: str
    # Kind of the upstream.
    kind: UpstreamKind
    # Number of instances.
    instances: int
    # Number of concurrent requests of each instance.
    slots: int
    # Number of engines that ignore fencing tokens.
    ignore_fence_instances: int = 0


@attrs.frozen
class TrainerPlan:
    """Size of one trainer's steps, and its training time."""

    # Name, as in the declarative file.
    name: str
    # Number of groups in a step.
    groups: int
    # Number of samples in a group.
    samples_per_group: int
    # Maximum number of tokens in a sample.
    max_tokens: int
    # Duration of training on one step, in seconds.
    train_s: float

    @property
    def step_samples(self) -> int:
        """Number of samples in a step."""
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
    # Whether each call carries an idempotency key from a ticket.
    keyed: bool
    # Mean rate of calls, per second.
    rate_per_s: float


@attrs.frozen
class Deployment:
    """One deployment: its processes, workload and timing."""

    # Region.
    region: str
    # Failure domains.
    domains: tuple[str, ...]
    # One-way latency between failure domains in milliseconds; not emulated.
    one_way_latency_ms: float
    # Number of entries.
    entries: int
    # The upstreams.
    upstreams: tuple[UpstreamPlan, ...]
    # The trainers.
    trainers: tuple[TrainerPlan, ...]
    # The callers.
    callers: tuple[CallerPlan, ...]
    # Size of the weights of each version.
    weights_bytes: int = 2_000_000
    # Rate limit of the weight store, in bytes per second.
    store_bytes_per_s: float = 8e6
    # Duration of one tick of an engine, in seconds.
    tick_s: float = 0.02
    # Duration of one call of a plain service, in seconds.
    service_work_s: float = 0.005
    # Pause of an engine for a swap of weights, in seconds.
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
