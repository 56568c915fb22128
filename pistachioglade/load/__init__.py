"""Demo, load and experiments."""

from ._cluster import Cluster, start_cluster
from ._deployment import CallerPlan, Deployment, TrainerPlan, UpstreamPlan
from ._program import main
from ._relays import Relays, free_address

__all__ = [
    "CallerPlan",
    "Cluster",
    "Deployment",
    "Relays",
    "TrainerPlan",
    "UpstreamPlan",
    "free_address",
    "main",
    "start_cluster",
]
