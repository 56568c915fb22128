"""Choice of the route and the upstream of a request."""

from __future__ import annotations

from itertools import accumulate

from ..decisions import stable_hash
from ._types import Configuration, Route

#: Number of hash values of a request's id, which are mapped to the shares' weights.
_HASH_SPAN = 1 << 64


def find_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route of the host whose prefix is the longest match for the path."""
    name = host.partition(":")[0].lower()
    matching = (
        route
        for route in configuration.routes
        if route.host.lower() == name and path.startswith(route.prefix)
    )
    return max(matching, key=lambda route: len(route.prefix), default=None)


def choose_upstream(route: Route, request_id: str) -> str:
    """Return the upstream for a request; attempts with the same id get the same one."""
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
