"""The trainer's client: publishes versions, opens steps, takes samples."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Iterator, Sequence
from types import TracebackType
from typing import Final
from uuid import uuid4

import attrs

from ..errors import ErrorKind, Refusal
from ..messages import (
    Group,
    Receipt,
    Sample,
    SampleBatch,
    structure,
    unstructure,
)
from ._checkpoint import ClosedStepCheckpoint, StepCheckpoint, TrainerCheckpoint
from ._http import EntryClient
from ._receipts import StepReceipts, Verdict
from ._recorder import Recorder

_PATIENCE_S: Final = 120.0
_TIMEOUT_S: Final = 45.0
#: Time for which closing a step waits for the owner, in seconds. A healthy owner
#: answers within milliseconds; the trainer has its samples and must not wait for their
#: record.
_CLOSE_TIMEOUT_S: Final = 1.0


class ServiceError(Exception):
    """Raised for a final refusal, or when no entry answers for a long time."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.kind.value}: {refusal.reason}")
        self.refusal = refusal


@attrs.frozen
class TrainerSettings:
    """The settings of a trainer's client."""

    # Base URLs of the entries or of the balancer in front of them.
    urls: tuple[str, ...]
    # Bearer token of the trainer.
    token: str = attrs.field(repr=False)
    # Model whose weights the trainer publishes.
    model: str = ""
    # Maximum number of versions that a sample may be behind, as the operators declare
    # it.
    staleness_bound_versions: int = 1
    # Maximum number of samples in one answer.
    batch_samples: int = 64
    # Maximum wait of one request for the next sample, in seconds.
    wait_s: float = 5.0


class TrainerClient:
    """One trainer's client of the service; thread-safe."""

    def __init__(
        self, settings: TrainerSettings, checkpoint: TrainerCheckpoint | None = None
    ) -> None:
        saved = checkpoint or TrainerCheckpoint()
        self._settings = settings
        # Unique id, which distinguishes clients that start from the same checkpoint.
        self._id = uuid4().hex
        self._entries = EntryClient(settings.urls, settings.token)
        self._lock = threading.RLock()
        self._newest_version = saved.newest_version
        self._saved = {item.step: item for item in saved.steps}
        self._open: dict[int, OpenedStep] = {}
        self._recorder = Recorder()
        for item in saved.unrecorded:
            self._recorder.add(
                OpenedStep(
                    self, item.state.step, item.groups, item.max_tokens, item.state
                )
            )
        self.duplicates = 0
        self.too_stale = 0

    @property
    def newest_version(self) -> int:
        """The newest version that this trainer has published."""
        return self._newest_version

    def publish(self, version: int, digest: str, size_bytes: int) -> None:
        """Announce weights that are in the weight store.

        The staleness of samples taken from now on is measured against this version.
        """
        with self._lock:
            self._newest_version = max(self._newest_version, version)
        fields = {"version": version, "digest": digest, "size_bytes": size_bytes}
        path = f"/v1/models/{self._settings.model}/versions"
        result = self._entries.post(path, fields, _TIMEOUT_S, _PATIENCE_S)
        if isinstance(result, Refusal):
            raise ServiceError(result)

    def open_step(
        self, step: int, groups: Sequence[Group], max_tokens: int
    ) -> OpenedStep:
        """Open a step, or continue the step from the checkpoint."""
        saved = self._saved.pop(step, None)
        opened = OpenedStep(self, step, tuple(groups), max_tokens, saved)
        opened.reopen()
        with self._lock:
            self._open[step] = opened
        self._recorder.start()
        return opened

    def checkpoint(self) -> TrainerCheckpoint:
        """Return the state to save with the trainer's own state."""
        with self._lock:
            steps = tuple(item.checkpoint() for item in self._open.values())
            unrecorded = tuple(
                item.closed_checkpoint() for item in self._recorder.steps()
            )
            return TrainerCheckpoint(self._newest_version, steps, unrecorded)

    def confirm_records(self, bound_s: float = 0.0) -> bool:
        """Return whether the records of all closed steps are confirmed.

        A step's owner may fail between the last receipt and the write of its record,
        so the client keeps the receipts until the owner confirms the write. The client
        asks for confirmation in the background; this method asks at once and repeats
        until ``bound_s`` has passed.
        """
        return self._recorder.settle(bound_s)

    def close(self) -> None:
        """Stop asking for confirmations; :meth:`checkpoint` keeps unconfirmed steps."""
        self._recorder.close()


class OpenedStep:
    """The samples of one step, each exactly once and within the staleness bound."""

    def __init__(
        self,
        client: TrainerClient,
        step: int,
        groups: tuple[Group, ...],
        max_tokens: int,
        saved: StepCheckpoint | None,
    ) -> None:
        self._client = client
        self._step = step
        self._groups = groups
        self._max_tokens = max_tokens
        receipts: tuple[Receipt, ...] = saved.receipts if saved else ()
        self._opened_unix_s = saved.opened_unix_s if saved else time.time()
        count = sum(group.sample_count for group in groups)
        self._receipts = StepReceipts(count, receipts)
        self._arrived: deque[Sample] = deque()

    def __enter__(self) -> OpenedStep:
        """Return the step itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the step."""
        self.close()

    def close(self) -> None:
        """Send the last receipts to the owner and remove the step from the open steps.

        The client keeps a complete step until its record is confirmed.
        """
        client = self._client
        with client._lock:
            client._open.pop(self._step, None)
            if not self._receipts.is_complete:
                return
            client._recorder.add(self)
        client._recorder.ask(self, _CLOSE_TIMEOUT_S)
        client._recorder.start()

    @property
    def step(self) -> int:
        """The number of the step."""
        return self._step

    def ask_recorded(self, timeout_s: float) -> bool | Refusal:
        """Send the receipts in one try; return whether the owner has written all.

        If the owner doesn't know the step, the step is opened again with all receipts.
        """
        result = self._send_receipts(timeout_s, patience_s=0.0)
        if not isinstance(result, Refusal):
            return result.is_recorded
        if result.kind is not ErrorKind.UNKNOWN_STEP:
            return result
        refusal = self._try_reopen(timeout_s, patience_s=0.0)
        return False if refusal is None else refusal

    @property
    def is_complete(self) -> bool:
        """Whether every sample was taken."""
        return self._receipts.is_complete

    def _age_s(self) -> float:
        return max(0.0, time.time() - self._opened_unix_s)

    def checkpoint(self) -> StepCheckpoint:
        """Return the step's state, which covers only samples that were taken."""
        return StepCheckpoint(self._step, self._opened_unix_s, self._receipts.all())

    def closed_checkpoint(self) -> ClosedStepCheckpoint:
        """Return the state that another client needs to have a closed step recorded."""
        return ClosedStepCheckpoint(self.checkpoint(), self._groups, self._max_tokens)

    def reopen(self) -> None:
        """Open the step with all receipts at the node that owns the step now."""
        refusal = self._try_reopen(_TIMEOUT_S, _PATIENCE_S)
        if refusal is not None:
            raise ServiceError(refusal)

    def _try_reopen(self, timeout_s: float, patience_s: float) -> Refusal | None:
        receipts = self._receipts.all()
        fields = {
            "groups": unstructure(self._groups),
            "max_tokens": self._max_tokens,
            "newest_version": self._client.newest_version,
            "receipts": unstructure(receipts),
            "age_s": self._age_s(),
            "client_id": self._client._id,
        }
        path = f"/v1/steps/{self._step}"
        result = self._client._entries.post(path, fields, timeout_s, patience_s)
        if isinstance(result, Refusal):
            return result
        self._receipts.mark_acknowledged(receipts, ())
        return None

    def __iter__(self) -> Iterator[Sample]:
        """Yield every missing sample."""
        while (sample := self.take()) is not None:
            yield sample

    def take(self) -> Sample | None:
        """Return the next sample, or None when the step is complete.

        The staleness bound is checked here, under the lock that :meth:`publish` takes.
        """
        while True:
            while self._arrived:
                sample = self._arrived.popleft()
                if self._offer(sample) is Verdict.TAKEN:
                    return sample
            if self._receipts.is_complete:
                return None
            self._fetch()

    def _offer(self, sample: Sample) -> Verdict:
        client = self._client
        with client._lock:
            verdict = self._receipts.offer_sample(
                sample,
                client.newest_version,
                client._settings.staleness_bound_versions,
                self._age_s(),
            )
        client.duplicates += verdict is Verdict.DUPLICATE
        client.too_stale += verdict is Verdict.TOO_STALE
        return verdict

    def _fetch(self) -> None:
        """Request samples; open the step again if its owner has changed."""
        settings = self._client._settings
        result = self._send_receipts(
            settings.wait_s + _TIMEOUT_S,
            _PATIENCE_S,
            settings.batch_samples,
            settings.wait_s,
        )
        if isinstance(result, Refusal):
            if result.kind is not ErrorKind.UNKNOWN_STEP:
                raise ServiceError(result)
            self.reopen()
            return
        self._arrived.extend(result.samples)

    def _send_receipts(
        self,
        timeout_s: float,
        patience_s: float,
        max_samples: int = 0,
        wait_s: float = 0.0,
    ) -> SampleBatch | Refusal:
        receipts = self._receipts.unsent()
        rejected = self._receipts.rejected()
        fields = {
            "receipts": unstructure(receipts),
            "rejected": rejected,
            "newest_version": self._client.newest_version,
            "max_samples": max_samples,
            "wait_s": wait_s,
            "client_id": self._client._id,
        }
        path = f"/v1/steps/{self._step}/fetch"
        result = self._client._entries.post(path, fields, timeout_s, patience_s)
        if isinstance(result, Refusal):
            return result
        self._receipts.mark_acknowledged(receipts, rejected)
        return structure(result, SampleBatch)
