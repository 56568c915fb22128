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
#: Time that a step's end waits for its owner, which answers within milliseconds if it
#: is well; the trainer has its samples and must not stand still for their record.
_CLOSE_TIMEOUT_S: Final = 1.0


class ServiceError(Exception):
    """The service gave a final refusal, or none answered for long."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.kind.value}: {refusal.reason}")
        self.refusal = refusal


@attrs.frozen
class TrainerSettings:
    """What a client has to know."""

    # Base URLs of the entries or of the balancer in front of them.
    urls: tuple[str, ...]
    # Bearer token of the trainer.
    token: str = attrs.field(repr=False)
    # Model whose weights the trainer publishes.
    model: str = ""
    # Most versions that a sample may be behind, as the operators declared it.
    staleness_bound_versions: int = 1
    # Samples in one answer.
    batch_samples: int = 64
    # Longest wait for the next sample in one request.
    wait_s: float = 5.0


class TrainerClient:
    """One trainer's connection to the service; safe to use from threads."""

    def __init__(
        self, settings: TrainerSettings, checkpoint: TrainerCheckpoint | None = None
    ) -> None:
        saved = checkpoint or TrainerCheckpoint()
        self._settings = settings
        # Differs from that of a client before it that had the same checkpoint.
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

        Samples taken from here on are measured against this version.
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
        """Open a step, or go on with it where the checkpoint left off."""
        saved = self._saved.pop(step, None)
        opened = OpenedStep(self, step, tuple(groups), max_tokens, saved)
        opened.reopen()
        with self._lock:
            self._open[step] = opened
        self._recorder.start()
        return opened

    def checkpoint(self) -> TrainerCheckpoint:
        """Return what has to be saved with the trainer's own state."""
        with self._lock:
            steps = tuple(item.checkpoint() for item in self._open.values())
            unrecorded = tuple(
                item.closed_checkpoint() for item in self._recorder.steps()
            )
            return TrainerCheckpoint(self._newest_version, steps, unrecorded)

    def settle(self, bound_s: float = 0.0) -> bool:
        """Make sure that the receipts of closed steps are in the record.

        A step's owner may die between the last receipt and its record; so the
        receipts are kept here until the owner says that they are written. The client
        asks for that by itself; this asks at once, and on until ``bound_s`` is over.
        """
        return self._recorder.settle(bound_s)

    def close(self) -> None:
        """Ask for no more records; :meth:`checkpoint` still holds what is left."""
        self._recorder.close()


class OpenedStep:
    """The samples of one step, each exactly once, none beyond the bound."""

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
        """Tell the owner of the last receipts and forget the step.

        A whole step is kept with the client until its record is written.
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
        """Number of the step."""
        return self._step

    def ask_recorded(self, timeout_s: float) -> bool | Refusal:
        """Send the receipts in one try; return whether the owner has written all.

        An owner that doesn't know the step gets it opened again, with all receipts.
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
        """Return the step's state; samples not yet taken are not in it."""
        return StepCheckpoint(self._step, self._opened_unix_s, self._receipts.all())

    def closed_checkpoint(self) -> ClosedStepCheckpoint:
        """Return what it takes to have a closed step recorded."""
        return ClosedStepCheckpoint(self.checkpoint(), self._groups, self._max_tokens)

    def reopen(self) -> None:
        """Open the step at whichever node owns it now, with all receipts."""
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
        self._receipts.acknowledged(receipts, ())
        return None

    def __iter__(self) -> Iterator[Sample]:
        """Yield every sample that is still missing."""
        while (sample := self.take()) is not None:
            yield sample

    def take(self) -> Sample | None:
        """Return the next sample, or None when the step is whole.

        The bound is checked here, under the lock that :meth:`publish` takes.
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
            verdict = self._receipts.offer(
                sample,
                client.newest_version,
                client._settings.staleness_bound_versions,
                self._age_s(),
            )
        client.duplicates += verdict is Verdict.DUPLICATE
        client.too_stale += verdict is Verdict.TOO_STALE
        return verdict

    def _fetch(self) -> None:
        """Ask for samples; open the step again if its owner has changed."""
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
        self._receipts.acknowledged(receipts, rejected)
        return structure(result, SampleBatch)
