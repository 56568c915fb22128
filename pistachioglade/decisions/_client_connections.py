"""Decides how many connections of clients a process keeps.

Expected load: hundreds of clients that connect and send nothing, or a byte now and
then, at a process that needs descriptors for instances, the store and links, too.
"""

from __future__ import annotations

from typing import Final

import attrs

#: Descriptors that the platform reserves for files; sockets share the others.
_FILE_DESCRIPTORS: Final = 200
#: Least fraction of the descriptors for sockets, should there be few of them.
_LEAST_SOCKET_FRACTION: Final = 1 / 3
#: Fraction of the sockets, and a number more, that is neither for clients nor for their
#: requests: samples at engines, the store, links to other entries, listeners.
_OWN_FRACTION: Final = 1 / 8
_OWN_SOCKETS: Final = 16
#: Most connections of the probes of one address, and the fraction of the sockets.
_PROBES: Final = 64
_PROBE_FRACTION: Final = 1 / 8
#: Addresses for probes: readiness and metrics.
_PROBE_ADDRESSES: Final = 2
#: Fewest connections that are kept.
_LEAST_CONNECTIONS: Final = 8
#: Memory that a connection may take without a charge, in bytes: its objects, a usual
#: head, and bytes that haven't been parsed.
UNCHARGED_CONNECTION_BYTES: Final = 16 * 1024
#: Fraction of the memory beside the process's own size that this may come to.
_MEMORY_FRACTION: Final = 1 / 6


@attrs.frozen
class ConnectionBounds:
    """Numbers of clients' connections that a process keeps."""

    # Connections of callers; None for no bound.
    callers: int | None
    # Connections to each address for probes.
    probes: int


def connection_bounds(
    max_descriptors: int | None, free_bytes: int | None
) -> ConnectionBounds:
    """Return the bounds for a number of descriptors and a size of memory.

    ``free_bytes`` is the memory beside the process's own size; None for no limit.
    A caller's connection may need a second one, to an instance or to the store.
    """
    bounds = []
    probes = _PROBES
    if max_descriptors is not None:
        sockets = max(
            max_descriptors - _FILE_DESCRIPTORS,
            int(max_descriptors * _LEAST_SOCKET_FRACTION),
        )
        probes = max(_LEAST_CONNECTIONS, min(_PROBES, int(sockets * _PROBE_FRACTION)))
        own = int(sockets * _OWN_FRACTION) + _OWN_SOCKETS
        bounds.append((sockets - own - _PROBE_ADDRESSES * probes) // 2)
    if free_bytes is not None:
        memory_bytes = int(max(0, free_bytes) * _MEMORY_FRACTION)
        bounds.append(memory_bytes // UNCHARGED_CONNECTION_BYTES)
    callers = max(_LEAST_CONNECTIONS, min(bounds)) if bounds else None
    return ConnectionBounds(callers, probes)
