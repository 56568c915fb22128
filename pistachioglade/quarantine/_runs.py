"""Runs in progress at one node, found by their requests."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count

import attrs

from ..decisions import counted_run_s
from ._digest import RequestOutline


@attrs.frozen
class _Run:
    """A run of a request."""

    # Returns the request's digest.
    digest: Callable[[], str]
    # Monotonic time until which the run counts, in seconds.
    counts_until_s: float


class RunningRequests:
    """Registers every run, also of requests that have no crash record yet.

    Digests are computed only to compare requests with the same outline, since hashing
    the body of each request costs too much.
    """

    def __init__(self) -> None:
        self._numbers = count()
        # Runs by outline and number.
        self._runs: defaultdict[RequestOutline, dict[int, _Run]] = defaultdict(dict)

    @contextmanager
    def register(
        self, outline: RequestOutline, digest: Callable[[], str], has_record: bool
    ) -> Iterator[None]:
        """Register a run of a request while the context is active.

        ``has_record`` tells whether the request has a crash record.
        """
        now_s = asyncio.get_running_loop().time()
        run = _Run(digest, now_s + counted_run_s(has_record))
        number = next(self._numbers)
        runs = self._runs[outline]
        runs[number] = run
        try:
            yield
        finally:
            del runs[number]
            if not runs:
                self._runs.pop(outline, None)

    def is_running(self, outline: RequestOutline, digest: str) -> bool:
        """Return whether a run of a request is in progress and counts."""
        now_s = asyncio.get_running_loop().time()
        return any(
            now_s < run.counts_until_s and run.digest() == digest
            for run in self._runs.get(outline, {}).values()
        )
