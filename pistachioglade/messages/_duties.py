"""Messages between entries about duties towards the platform."""

from __future__ import annotations

import attrs


@attrs.frozen
class UsageCounted:
    """Copy an entry's counters to another entry, in case the entry is lost."""

    # Run of the entry's process that counted: node name, number sign, boot nonce.
    run: str
    # Number of requests that instances began, by window and account.
    windows: dict[int, dict[str, int]]


@attrs.frozen
class FetchUsage:
    """Ask an entry for all counters of a window that it knows."""

    # Number of the window.
    window: int
    # Run of the entry's process whose clock is to be corrected; empty without one.
    run: str
    # By how much that clock is behind the majority's, in seconds.
    correction_s: float


@attrs.frozen
class UsageKnown:
    """The counters of a window that an entry knows, its own and copies of others'."""

    # Number of requests that instances began, by run and account.
    runs: dict[str, dict[str, int]]
    # Run of the entry's own process.
    run: str
    # Time of day at the entry, in seconds since the epoch.
    unix_s: float


@attrs.frozen
class UsageReported:
    """Announce that the platform has acknowledged the report of a window."""

    # Number of the window.
    window: int
    # Node that reported it.
    holder: str


@attrs.frozen
class AskDuty:
    """Ask an entry whether it performs a duty."""

    # Name of the duty.
    duty: str


@attrs.frozen
class DutyAnswer:
    """Whether an entry performs its duty."""

    # Whether the entry has not left the duty to others.
    is_active: bool
    # Seconds since its last call to the platform, if it leaves the duty to others.
    idle_s: float | None


@attrs.frozen
class FetchDemand:
    """Ask an entry for the slots that its requests take or wait for."""


@attrs.frozen
class DemandKnown:
    """The demand of one entry."""

    # Number of requests that run or wait, by upstream.
    upstreams: dict[str, int]
