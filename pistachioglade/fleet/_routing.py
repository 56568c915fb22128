"""Which route and which upstream a request takes."""

from __future__ import annotations

from itertools import accumulate

from ..decisions import stable_hash
from ._types import Configuration, Route

#: Resolution with which a request's id is mapped to the weights of a split.
_HASH_SPAN = 1 << 64


def find_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route of the host with the longest prefix of the path."""
    name = host.partition(":")[0].lower()
    fitting = (
        route
        for route in configuration.routes
        if route.host.lower() == name and path.startswith(route.prefix)
    )
    return max(fitting, key=lambda route: len(route.prefix), default=None)


def choose_upstream(route: Route, request_id: str) -> str:
    """Return the upstream for a request; the same for each try with its id."""
    if len(route.shares) == 1:
        return route.shares[0].upstream
    bounds = list(accumulate(share.weight for share in route.shares))
    point = stable_hash(request_id) / _HASH_SPAN * bounds[-1]
    chosen = (
        share.upstream
        for share, bound in zip(route.shares, bounds, strict=True)
        if point < bound
    )
    return next(chosen, route.shares[-1].upstream)
