"""The upstreams whose engines can be ordered, with their engines by failure domain."""

from __future__ import annotations

from collections import Counter

import attrs

from ..decisions import EngineLimits
from ..forwarding import FleetView


@attrs.frozen
class ScaledUpstream:
    """An upstream whose engines can be ordered."""

    # Name of the upstream.
    name: str
    # Limits of the operator.
    limits: EngineLimits
    # Slots of one engine.
    slots: int
    # Number of listed engines by failure domain.
    engines: dict[str, int]


def scaled_upstreams(view: FleetView) -> tuple[ScaledUpstream, ...]:
    """Return the upstreams whose engines can be ordered now.

    An upstream without a listed engine is left out, since its domains are unknown.
    """
    configuration = view.configuration
    upstreams = configuration.upstreams.values() if configuration else ()
    found = (
        _scaled(view, item.name, item.scaling) for item in upstreams if item.scaling
    )
    return tuple(item for item in found if item.engines)


def _scaled(view: FleetView, name: str, limits: EngineLimits) -> ScaledUpstream:
    instances = list(view.open_instances(name))
    return ScaledUpstream(
        name,
        limits,
        min((item.slots for item in instances), default=1),
        dict(Counter(item.domain for item in instances)),
    )
