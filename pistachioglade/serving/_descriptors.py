"""The number of file descriptors that a process may have."""

from __future__ import annotations

import resource

from ..platform import ProcessSettings


def max_descriptors(settings: ProcessSettings) -> int | None:
    """Return the lower of the settings' limit and the kernel's; None without limit."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [
        limit
        for limit in (settings.max_descriptors, soft)
        if limit is not None and limit != resource.RLIM_INFINITY
    ]
    return min(limits, default=None)
