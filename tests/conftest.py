"""A small deployment for the scenarios and its configuration documents."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from pistachioglade.config import UpstreamKind, check_document
from pistachioglade.load import (
    Cluster,
    Deployment,
    SimulatedTrainer,
    TrainerPlan,
    UpstreamPlan,
    start_cluster,
    token_of,
)

DEPLOYMENT = Deployment(
    region="test",
    domains=("dom-a", "dom-b", "dom-c"),
    one_way_latency_ms=0.0,
    entries=2,
    upstreams=(
        UpstreamPlan("lm", UpstreamKind.ENGINE, 3, 4, ignore_fence_instances=1),
        UpstreamPlan("app", UpstreamKind.SERVICE, 2, 4),
    ),
    trainers=(
        TrainerPlan("alpha", 4, 4, 128, 0.0),
        TrainerPlan("beta", 4, 4, 128, 0.0),
    ),
    callers=(),
    weights_bytes=600_000,
)

_CONFIG = """
upstreams:
  - {{name: lm, kind: engine, reserved_slots: 1}}
  - name: app
    kind: service
    operations:
      - {{name: lookup, idempotent: true}}
      - {{name: billed, idempotent: false}}
trainers:
  - {{name: alpha, model: ma, upstreams: [lm], share_percent: 60,
     staleness_bound_versions: 1, token_sha256: {alpha}}}
  - {{name: beta, model: mb, upstreams: [lm], share_percent: 40,
     staleness_bound_versions: 1, token_sha256: {beta}}}
callers:
  - {{name: clerk, kind: lawyer, upstreams: [app, lm], token_sha256: {clerk}}}
policy: {{hedge_percent: {hedge}}}
"""


def _sha256(name: str) -> str:
    return hashlib.sha256(token_of(name).encode()).hexdigest()


def config_text(hedge: int = 5) -> str:
    """Return the configuration document of the small deployment."""
    hashes = {name: _sha256(name) for name in ("alpha", "beta", "clerk")}
    return _CONFIG.format(hedge=hedge, **hashes)


CONFIGS = {
    "base": config_text(),
    "second": config_text(11),
    "third": config_text(12),
    "fourth": config_text(13),
    "bad-shares": config_text(99).replace("share_percent: 60", "share_percent: 50"),
    "bad-field": config_text(99) + "surprise: 1\n",
}


@pytest.fixture
def make_trainers() -> Callable[[Cluster], dict[str, SimulatedTrainer]]:
    """Return a function that creates the deployment's trainers for a cluster."""

    def make(cluster: Cluster) -> dict[str, SimulatedTrainer]:
        config, faults = check_document(CONFIGS["base"])
        assert config is not None, faults
        return {
            plan.name: SimulatedTrainer(
                plan,
                next(item for item in config.trainers if item.name == plan.name),
                cluster.entry_urls(),
                cluster.urls["weight-store"],
                DEPLOYMENT.weights_bytes,
                seed=1,
            )
            for plan in DEPLOYMENT.trainers
        }

    return make


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    """Start the small deployment and stop it after the test."""
    with start_cluster(tmp_path, DEPLOYMENT) as running:
        yield running
