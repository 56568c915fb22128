"""Messages between entries: probes, results, sample texts, relayed store calls."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class Probe:
    """Ask an entry whether its process is alive."""


@attrs.frozen
class ProbeAnswer:
    """The state that an entry reports."""

    # Boot nonce of the process.
    boot: str
    # Seconds since the store last answered the entry by any route; None if never.
    store_age_s: float | None
    # Whether the entry reaches the store directly and so can relay calls.
    reaches_store: bool


@attrs.frozen
class AskHome:
    """Ask an entry whether it can become the owner of a job now."""


@attrs.frozen
class HomeAnswer:
    """Whether an entry stays and recently had a route to the store."""

    # Whether the entry accepts jobs.
    takes_jobs: bool


@attrs.frozen
class VersionNamed:
    """Announce a version that a trainer has named to the process at an engine."""

    # Name of the model.
    model: str
    # Weight version.
    version: int


@attrs.frozen
class InstancesCrashed:
    """Report a request's crashes to an entry directly, without the store."""

    # Digest of the request.
    request_digest: str
    # Ids of the instances that ended while they ran the request.
    instances: tuple[str, ...]


@attrs.frozen
class EngineUnattended:
    """Announce a named version to an entry, for an engine without a live process.

    The entry then orders the version in place of the process at the engine.
    """

    # Id of the engine.
    instance_id: str
    # Name of the model.
    model: str
    # Weight version.
    version: int


@attrs.frozen
class SamplesRunning:
    """Report the sender's running samples per engine to another owner of jobs."""

    # Name of the sender as an owner of jobs.
    owner: str
    # Engine id to number of samples.
    by_engine: dict[str, int]


@attrs.frozen
class FetchChanges:
    """Ask an entry that watches a kind for the changes after a revision."""

    # Kind of objects.
    kind: str
    # Revision that the sender has.
    revision: int
    # Time for which the answer may be held until there is a change, in seconds.
    hold_s: float


@attrs.frozen
class ChangeRecord:
    """A change of an object."""

    # Name of the object.
    name: str
    # Revision of the object.
    revision: int
    # Value of the object.
    value: Any
    # Status of the object; None if it has none.
    status: Any
    # Whether the object was removed.
    is_removed: bool


@attrs.frozen
class ChangePage:
    """All changes after a revision, in order."""

    # The changes.
    changes: tuple[ChangeRecord, ...]
    # Revision of the store after these changes.
    revision: int


@attrs.frozen
class FetchNewer:
    """Ask an entry for an object if its copy is newer than the sender's.

    The answer is a :class:`StoredRecord`, or an acknowledgement if it isn't newer.
    """

    # Kind of the object.
    kind: str
    # Name of the object.
    name: str
    # Revision that the sender has; 0 if it has none.
    revision: int


@attrs.frozen
class StoredRecord:
    """A stored object, as a call or as the answer to :class:`FetchNewer`."""

    # Name of the object.
    name: str
    # Revision of the object.
    revision: int
    # Value of the object.
    value: Any


@attrs.frozen
class SubmittedJob:
    """Pass a job on to its owner, with the submission that only the parts hold."""

    # Id of the job.
    job_id: str
    # Revision of the job's object.
    revision: int
    # Value of the job's object.
    value: Any
    # JSON text of the submission.
    text: bytes


@attrs.frozen
class FetchResults:
    """Ask the node that runs a job for results."""

    # Id of the job.
    job_id: str
    # Position of the first requested result.
    after: int
    # Time for which the answer may be held until there is a result, in seconds.
    wait_s: float


@attrs.frozen
class ResultPage:
    """Results from the requested position on."""

    # Results, each in the encoding that readers get.
    results: tuple[str, ...]
    # Whether no other results exist yet: the node runs the job or has all results.
    is_sure: bool


@attrs.frozen
class BatchRecord:
    """A batch of results in the form that the store holds."""

    # Writer of the batch.
    writer: str
    # Position of the first result.
    start: int
    # Results, each in the encoding that readers get.
    results: tuple[str, ...]
    # Ids of the items of these results, in the same order.
    item_ids: tuple[str, ...]


@attrs.frozen
class FetchSent:
    """Ask the node that runs a job for the trainer's submission."""

    # Id of the job.
    job_id: str


@attrs.frozen
class SentFields:
    """The submission of a trainer."""

    # JSON text; empty if the node doesn't have the submission.
    text: str


@attrs.frozen
class FetchTexts:
    """Ask the node that ran a job for the generated texts of its samples."""

    # Id of the job.
    job_id: str


@attrs.frozen
class TextRecord:
    """The text of a sample, generated so far."""

    # Id of the sample's item.
    item_id: str
    # Data of the stream's events, in order.
    parts: tuple[str, ...]
    # Id of the last event.
    last_event: int
    # Weight versions that generated at least one of the events.
    versions: tuple[int, ...]
    # Number of failed attempts at the item.
    failures: int
    # Score if the text is complete and only has to be listed; None otherwise.
    score: str | None = None


@attrs.frozen
class SampleTexts:
    """Texts of those samples of a job that have no result yet."""

    # Texts with at least one event.
    texts: tuple[TextRecord, ...]


@attrs.frozen
class FetchSampleCrashes:
    """Ask the node that ran a job for the crashes of its samples."""

    # Id of the job.
    job_id: str


@attrs.frozen
class SampleCrashes:
    """Consecutive crashes of those samples of a job that have no result yet."""

    # Item id to number of crashes; only samples that have crashed engines.
    by_item: dict[str, int]


@attrs.frozen
class RelayCall:
    """Ask an entry to relay a call to the store, which the sender can't reach."""

    # HTTP method.
    method: str
    # Path and query.
    target: str
    # Body.
    body: bytes
    # Timeout of the call, in seconds.
    timeout_s: float


@attrs.frozen
class RelayAnswer:
    """The store's answer to a relayed call."""

    # HTTP status code.
    status: int
    # Body.
    body: bytes
