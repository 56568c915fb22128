"""Load tool: demo, policy comparison, experiments and fault runs."""

from . import _checks as checks
from ._checks import TrainerOutcome
from ._cluster import (
    OPERATOR_TOKEN,
    Cluster,
    ClusterError,
    start_cluster,
    token_of,
)
from ._deployment import CallerPlan, Deployment, TrainerPlan, UpstreamPlan
from ._fault_run import run_faults
from ._program import main
from ._relays import Relays, RelayState, free_address
from ._trainers import SimulatedTrainer

__all__ = [
    "OPERATOR_TOKEN",
    "CallerPlan",
    "Cluster",
    "ClusterError",
    "Deployment",
    "RelayState",
    "Relays",
    "SimulatedTrainer",
    "TrainerOutcome",
    "TrainerPlan",
    "UpstreamPlan",
    "checks",
    "free_address",
    "main",
    "run_faults",
    "start_cluster",
    "token_of",
]
