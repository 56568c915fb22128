"""Messages between entries: results, probes, texts on the move, relayed store calls."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class Probe:
    """Ask an entry whether it lives and works."""


@attrs.frozen
class ProbeAnswer:
    """An entry's word on itself."""

    # Nonce of the process.
    boot: str
    # Seconds since the store last answered it by any way; None if it never did.
    store_age_s: float | None
    # Whether the store answered its own last call, so that it can make others'.
    reaches_store: bool


@attrs.frozen
class AskHome:
    """Ask an entry whether it can run a job now."""


@attrs.frozen
class HomeAnswer:
    """Whether it can: it stays, and a moment ago it had a way to the store."""

    # Whether it takes the job.
    takes_jobs: bool


@attrs.frozen
class VersionNamed:
    """Tell the process beside an engine of a version that a trainer has named."""

    # Model.
    model: str
    # Version.
    version: int


@attrs.frozen
class InstancesCrashed:
    """Report a request's crashes to an entry directly, without the store."""

    # Digest of the request.
    request_digest: str
    # Instances that ended while running it.
    instances: tuple[str, ...]


@attrs.frozen
class EngineUnattended:
    """Tell an entry of a named version whose engine has no live process beside it."""

    # Id of the engine.
    instance_id: str
    # Model.
    model: str
    # Version.
    version: int


@attrs.frozen
class SamplesRunning:
    """Tell another owner of jobs how many samples each engine has from here."""

    # Name of the teller as an owner.
    owner: str
    # Samples by the id of their engine.
    by_engine: dict[str, int]


@attrs.frozen
class FetchChanges:
    """Ask an entry that watches a kind for what has changed behind a revision."""

    # Kind of objects.
    kind: str
    # Revision that the asker has.
    revision: int
    # Time for which the answer may be held until there is a change.
    hold_s: float


@attrs.frozen
class ChangeRecord:
    """A change of an object."""

    # Name of the object.
    name: str
    # Its revision.
    revision: int
    # Its value.
    value: Any
    # Its status.
    status: Any
    # Whether it was removed.
    is_removed: bool


@attrs.frozen
class ChangePage:
    """All changes behind a revision, in their order."""

    # The changes.
    changes: tuple[ChangeRecord, ...]
    # Revision of the store behind them.
    revision: int


@attrs.frozen
class StoredRecord:
    """Tell the node that runs a job of an object that the store has taken."""

    # Name of the object.
    name: str
    # Its revision.
    revision: int
    # Its value.
    value: Any


@attrs.frozen
class FetchResults:
    """Ask the node that runs a job for results."""

    # Job.
    job_id: str
    # Position of the first result that is wanted.
    after: int
    # Time for which the answer may be held until there is one.
    wait_s: float


@attrs.frozen
class ResultPage:
    """Results from the position that was asked for on."""

    # Results, each encoded as readers get it.
    results: tuple[str, ...]
    # Whether there are no others yet: the node runs the job, or has all of them.
    is_sure: bool


@attrs.frozen
class BatchRecord:
    """A batch of results as the store has it."""

    # Who wrote it.
    writer: str
    # Position of its first result.
    start: int
    # Results, each encoded as readers get it.
    results: tuple[str, ...]
    # Items that they belong to, in the same order.
    item_ids: tuple[str, ...]


@attrs.frozen
class FetchSent:
    """Ask the node that runs a job for what its trainer sent."""

    # Job.
    job_id: str


@attrs.frozen
class SentFields:
    """What a trainer sent."""

    # JSON text of it; empty if the node doesn't have it.
    text: str


@attrs.frozen
class FetchTexts:
    """Ask the node that ran a job for what it has made of its samples."""

    # Job.
    job_id: str


@attrs.frozen
class TextRecord:
    """What has been made of a sample."""

    # Item that it belongs to.
    item_id: str
    # Data of its events in order.
    parts: tuple[str, ...]
    # Number of the last event.
    last_event: int
    # Weight versions that made an event of it.
    versions: tuple[int, ...]
    # Failed answers that the item got.
    failures: int
    # Its score if the text is whole and only has to be listed; None if it isn't.
    score: str | None = None


@attrs.frozen
class SampleTexts:
    """Texts of a job's samples that have no result yet."""

    # Texts with one event at least.
    texts: tuple[TextRecord, ...]


@attrs.frozen
class RelayCall:
    """Ask an entry to make a call to the store for a node that can't reach it."""

    # HTTP method.
    method: str
    # Path and query.
    target: str
    # Body.
    body: bytes
    # Time that the call may take.
    timeout_s: float


@attrs.frozen
class RelayAnswer:
    """The store's answer to a relayed call."""

    # HTTP status code.
    status: int
    # Body.
    body: bytes
