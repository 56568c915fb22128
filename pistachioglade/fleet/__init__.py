"""Types of a deployment: routes, upstreams, instances, jobs and results."""

from ._routing import choose_upstream, find_route
from ._types import (
    CallerLimits,
    Configuration,
    Instance,
    Item,
    Job,
    Result,
    RewardCall,
    Route,
    RouteKind,
    Share,
    Upstream,
)

__all__ = [
    "CallerLimits",
    "Configuration",
    "Instance",
    "Item",
    "Job",
    "Result",
    "RewardCall",
    "Route",
    "RouteKind",
    "Share",
    "Upstream",
    "choose_upstream",
    "find_route",
]
