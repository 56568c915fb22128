"""Simulated trainer, which opens the next step before it trains on the current one."""

from __future__ import annotations

import random
import threading
import time
from typing import Any

import attrs

from ..backing import HttpReply, HttpSession
from ..config import Trainer
from ..errors import Refusal
from ..messages import Group, Sample
from ..trainer import (
    OpenedStep,
    ServiceError,
    TrainerCheckpoint,
    TrainerClient,
    TrainerSettings,
)
from ._cluster import token_of
from ._deployment import TrainerPlan

_STORE_TIMEOUT_S = 30.0
#: Number of samples between two checkpoints.
_SAMPLES_PER_CHECKPOINT = 20
_SETTLE_BOUND_S = 30.0


@attrs.define
class TrainerLog:
    """Samples, times and failures that one trainer observed."""

    # Taken samples: step, sample, newest version at that time.
    taken: list[tuple[int, Sample, int]] = attrs.field(factory=list)
    # Time spent waiting for samples, in seconds.
    idle_s: float = 0.0
    # Duration of the complete run, in seconds.
    run_s: float = 0.0
    # Time from the opening to the last sample of each step, in seconds.
    step_s: list[float] = attrs.field(factory=list)
    # Time from the sample at 90% of each step to the last sample, in seconds.
    tail_s: list[float] = attrs.field(factory=list)
    # Staleness of each sample at receipt, in versions.
    staleness: list[int] = attrs.field(factory=list)
    # Number of discarded duplicates.
    duplicates: int = 0
    # Number of discarded samples over the staleness bound.
    too_stale: int = 0
    # Errors that ended the run.
    failures: list[str] = attrs.field(factory=list)


class SimulatedTrainer:
    """Runs steps against the service, with the next step open during training."""

    def __init__(
        self,
        plan: TrainerPlan,
        declared: Trainer,
        urls: tuple[str, ...],
        store_url: str,
        weights_bytes: int,
        seed: int,
    ) -> None:
        self._plan = plan
        self._model = declared.model
        self._store = HttpSession(store_url)
        self._weights_bytes = weights_bytes
        self._rng = random.Random(f"{plan.name}/{seed}")
        self._settings = TrainerSettings(
            urls=urls,
            token=token_of(plan.name),
            model=declared.model,
            staleness_bound_versions=declared.staleness_bound_versions,
            wait_s=2.0,
        )
        self.client = TrainerClient(self._settings)
        self._checkpoint: tuple[str, TrainerLog] = ("", TrainerLog())
        self.killed = threading.Event()
        self.log = TrainerLog()
        self.digests: dict[int, str] = {}
        self.stopped = threading.Event()

    @property
    def name(self) -> str:
        """Name of the trainer."""
        return self._plan.name

    def groups(self, step: int) -> tuple[Group, ...]:
        """Return the prompts of a step."""
        return tuple(
            Group(f"{self._plan.name} {step} {number}", self._plan.samples_per_group)
            for number in range(self._plan.groups)
        )

    def publish(self, version: int) -> None:
        """Store random weights and publish their version."""
        weights = self._rng.randbytes(self._weights_bytes)
        path = f"/weights/{self._model}/{version}"
        reply = self._store.request("PUT", path, _STORE_TIMEOUT_S, weights)
        if isinstance(reply, Refusal):
            raise ServiceError(reply)
        assert isinstance(reply, HttpReply)
        digest = reply.json()["digest"]
        self.digests[version] = digest
        self.client.publish(version, digest, len(weights))

    def run(self, steps: int) -> None:
        """Run steps to completion; record failures in the log."""
        try:
            self._run(steps)
        except ServiceError as error:
            self.log.failures.append(str(error))
        self.log.duplicates = self.client.duplicates
        self.log.too_stale = self.client.too_stale

    def _save(self) -> None:
        """Save the client's checkpoint together with the trainer's own state."""
        saved_log = attrs.evolve(
            self.log, taken=list(self.log.taken), staleness=list(self.log.staleness)
        )
        self._checkpoint = (self.client.checkpoint().to_json(), saved_log)

    def _restore(self) -> None:
        """Restore the saved state, as after a kill of the trainer."""
        text, saved_log = self._checkpoint
        self.log = attrs.evolve(
            saved_log, taken=list(saved_log.taken), staleness=list(saved_log.staleness)
        )
        self.restore_client(TrainerCheckpoint.from_json(text))
        self.killed.clear()

    def restore_client(self, checkpoint: TrainerCheckpoint) -> None:
        """Replace the client by a client that resumes from a checkpoint."""
        self.client.close()
        self.client = TrainerClient(self._settings, checkpoint)

    def _open_step(self, step: int) -> OpenedStep:
        return self.client.open_step(step, self.groups(step), self._plan.max_tokens)

    def _run(self, steps: int) -> None:
        started_s = time.monotonic()
        self.publish(1)
        next_step = self._open_step(1)
        opened_s = time.monotonic()
        for step in range(1, steps + 1):
            current, current_opened_s = next_step, opened_s
            current = self._take_samples(step, current, current_opened_s)
            if step < steps:
                next_step = self._open_step(step + 1)
                opened_s = time.monotonic()
            current.close()
            if self.stopped.wait(self._plan.train_s):
                break
            self.publish(step + 1)
        self.client.confirm_records(_SETTLE_BOUND_S)
        self.log.run_s = time.monotonic() - started_s

    def _take_samples(
        self, step: int, opened: OpenedStep, opened_s: float
    ) -> OpenedStep:
        """Take all samples of a step; return the step, reopened after a restore."""
        self._save()
        waited_from_s = time.monotonic()
        arrivals: list[float] = []
        while (sample := opened.take()) is not None:
            if self.killed.is_set():
                self._restore()
                opened = self._open_step(step)
                continue
            newest = self.client.newest_version
            arrivals.append(time.monotonic())
            self.log.taken.append((step, sample, newest))
            self.log.staleness.append(newest - sample.oldest_version)
            if len(arrivals) % _SAMPLES_PER_CHECKPOINT == 0:
                self._save()
        self.log.idle_s += time.monotonic() - waited_from_s
        self.log.step_s.append(arrivals[-1] - opened_s)
        self.log.tail_s.append(arrivals[-1] - arrivals[int(len(arrivals) * 0.9)])
        return opened

    def summary(self) -> dict[str, Any]:
        """Return the figures of the run."""
        log = self.log
        return {
            "trainer": self._plan.name,
            "samples": len(log.taken),
            "tokens": sum(sample.token_count for _step, sample, _newest in log.taken),
            "idle_s": log.idle_s,
            "run_s": log.run_s,
            "step_s": log.step_s,
            "tail_s": log.tail_s,
            "staleness": log.staleness,
            "duplicates": log.duplicates,
            "too_stale": log.too_stale,
            "failures": log.failures,
        }
