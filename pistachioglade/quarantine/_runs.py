"""Runs in progress at one node, found by their requests."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ._digest import RequestOutline


class RunningRequests:
    """Registers every run, also of requests that have no crash record yet.

    Digests are computed only to compare requests with the same outline, since hashing
    the body of each request costs too much.
    """

    def __init__(self) -> None:
        # Functions that return the digests of running requests, by outline.
        self._digests: defaultdict[RequestOutline, list[Callable[[], str]]]
        self._digests = defaultdict(list)

    @contextmanager
    def register(
        self, outline: RequestOutline, digest: Callable[[], str]
    ) -> Iterator[None]:
        """Register a run of a request while the context is active."""
        runs = self._digests[outline]
        runs.append(digest)
        try:
            yield
        finally:
            runs.remove(digest)
            if not runs:
                self._digests.pop(outline, None)

    def is_running(self, outline: RequestOutline, digest: str) -> bool:
        """Return whether a run of a request is in progress."""
        return any(other() == digest for other in self._digests.get(outline, ()))
