"""Demo, load and experiments."""

from ._cluster import Cluster, free_address, start_cluster
from ._deployment import CallerPlan, Deployment, TrainerPlan, UpstreamPlan
from ._program import main

__all__ = [
    "CallerPlan",
    "Cluster",
    "Deployment",
    "TrainerPlan",
    "UpstreamPlan",
    "free_address",
    "main",
    "start_cluster",
]
