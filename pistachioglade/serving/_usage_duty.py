"""Builds what an entry needs to count and report usage."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

from ..decisions import ReportTerms
from ..http1 import Pool
from ..leases import DUTY_LEASE_KIND, Duty, Entries, Lease, LeaseTerms, PlatformApi
from ..links import LinkPool
from ..messages import FetchUsage, UsageCounted, UsageReported
from ..metrics import Metrics
from ..platform import ProcessSettings
from ..store import StoreClient
from ..usage import (
    Clock,
    UsageCollector,
    UsageCopies,
    UsageCounters,
    UsageMeter,
    UsageReporter,
)
from ._entry_messages import EntryMessages

#: Name of the duty and of its lease.
DUTY_NAME: Final = "usage"


class UsageDuty:
    """The usage reports of one entry; only the meter if the platform wants none."""

    def __init__(
        self,
        settings: ProcessSettings,
        boot: str,
        entries: Entries,
        store: StoreClient,
        links: LinkPool,
        metrics: Metrics,
    ) -> None:
        clock = Clock()
        usage = settings.usage
        terms = _report_terms(settings)
        counters = UsageCounters(
            f"{settings.node}#{boot}", terms.kept_windows if terms else 0
        )
        # Counts the requests that instances begin.
        self.meter = UsageMeter(counters, clock, terms)
        self._copies = UsageCopies(entries, links, counters)
        self._reporter: UsageReporter | None = None
        # The duty; None if the platform wants no reports.
        self.duty: Duty | None = None
        if usage is None or terms is None:
            return
        self._collector = UsageCollector(entries, links, counters, clock, terms)
        lease = Lease(store, _lease_terms(settings), settings.node, boot)
        self.duty = Duty(DUTY_NAME, entries, links, lease)
        self._reporter = UsageReporter(
            entries,
            links,
            PlatformApi(Pool(usage.api.host, usage.api.port)),
            self.duty,
            terms,
            self._collector,
            counters,
            clock,
            metrics,
        )

    def register_messages(self, messages: EntryMessages) -> None:
        """Register the answers to the messages about usage."""
        if self._reporter is None:
            return
        messages.register(UsageCounted, self._copies.answer)
        messages.register(FetchUsage, self._collector.answer)
        messages.register(UsageReported, self._reporter.record_reported)

    def tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the background tasks by name."""
        if self._reporter is None:
            return {}
        return {"usage-copies": self._copies.run, "usage-reports": self._reporter.run}

    async def stop(self) -> None:
        """Leave the duty to another entry, before a planned stop."""
        if self._reporter is not None:
            await self._reporter.stop()


def _report_terms(settings: ProcessSettings) -> ReportTerms | None:
    usage = settings.usage
    return None if usage is None else ReportTerms(usage.window_s, usage.delay_s)


def _lease_terms(settings: ProcessSettings) -> LeaseTerms:
    return LeaseTerms(
        DUTY_LEASE_KIND,
        DUTY_NAME,
        settings.lease_s,
        settings.checks_fences,
        may_call_at_once=True,
    )
