"""Jobs: how they live in the store, who runs them, and their results."""

from ._event_stream import EventDecoder, SampleEvent
from ._ledger import JobLedger, JobState
from ._owner import JobOwner
from ._records import (
    JOB_KIND,
    Batch,
    RecordKind,
    RecordName,
    Submission,
    encode_batch,
    encode_submission,
    parse_name,
)

__all__ = [
    "JOB_KIND",
    "Batch",
    "EventDecoder",
    "JobLedger",
    "JobOwner",
    "JobState",
    "RecordKind",
    "RecordName",
    "SampleEvent",
    "Submission",
    "encode_batch",
    "encode_submission",
    "parse_name",
]
