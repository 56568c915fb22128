"""The sentinel value that stands for a failed request."""

from __future__ import annotations

import attrs

from ._kinds import ANSWERS, ErrorKind, Execution


@attrs.frozen
class Refusal:
    """A request's failure, returned in place of its result."""

    # Error kind of the failure.
    kind: ErrorKind
    # Human-readable description of the failure.
    reason: str
    # Whether the request ran, which decides where it may be retried.
    execution: Execution
    # Time after which to retry, in seconds; None if a retry is of no use.
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status code of this refusal."""
        return ANSWERS[self.kind].status

    @property
    def did_not_run(self) -> bool:
        """Whether the request is known not to have run."""
        return self.execution is Execution.NOT_RUN

    def with_unknown_execution(self) -> Refusal:
        """Return this refusal with an unknown execution."""
        return attrs.evolve(self, execution=Execution.UNKNOWN)


def refuse(kind: ErrorKind, reason: str, retry_after_s: float | None = None) -> Refusal:
    """Return the refusal that :data:`ANSWERS` gives for ``kind``."""
    answer = ANSWERS[kind]
    wait_s = answer.retry_after_s if retry_after_s is None else retry_after_s
    return Refusal(kind, reason, answer.execution, wait_s)
