"""A simulated trainer: publishes, opens the next step, trains on this one."""

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
#: Samples between two checkpoints.
_SAVE_EVERY = 20
_SETTLE_BOUND_S = 30.0


@attrs.define
class TrainerLog:
    """What one trainer saw."""

    # Copies that were taken: step, index, copy id, versions.
    taken: list[tuple[int, Sample, int]] = attrs.field(factory=list)
    # Time that the trainer waited for samples.
    idle_s: float = 0.0
    # Time from the first step to the last.
    run_s: float = 0.0
    # Time from opening to the last sample, by step.
    step_s: list[float] = attrs.field(factory=list)
    # Time from nine tenths of a step's samples to the last, by step.
    tail_s: list[float] = attrs.field(factory=list)
    # Staleness at receipt, in versions.
    staleness: list[int] = attrs.field(factory=list)
    # Samples that came twice and were thrown away.
    duplicates: int = 0
    # Samples that came too old and were thrown away.
    too_stale: int = 0
    # What went wrong.
    failures: list[str] = attrs.field(factory=list)


class SimulatedTrainer:
    """Runs a number of steps, with the next one open while it trains."""

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
        self._saved: tuple[str, TrainerLog] = ("", TrainerLog())
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
        """Put made-up weights into the store and announce them."""
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
        """Run whole steps; failures go into the log."""
        try:
            self._run(steps)
        except ServiceError as error:
            self.log.failures.append(str(error))
        self.log.duplicates = self.client.duplicates
        self.log.too_stale = self.client.too_stale

    def _save(self) -> None:
        """Save the client's checkpoint together with the trainer's own state."""
        own = attrs.evolve(
            self.log, taken=list(self.log.taken), staleness=list(self.log.staleness)
        )
        self._saved = (self.client.checkpoint().to_json(), own)

    def _restore(self) -> None:
        """Go back to what was saved, as after a kill of the trainer."""
        text, own = self._saved
        self.log = attrs.evolve(
            own, taken=list(own.taken), staleness=list(own.staleness)
        )
        self.restore_client(TrainerCheckpoint.from_json(text))
        self.killed.clear()

    def restore_client(self, checkpoint: TrainerCheckpoint) -> None:
        """Replace the client by one that goes on from a checkpoint."""
        self.client.close()
        self.client = TrainerClient(self._settings, checkpoint)

    def _open(self, step: int) -> OpenedStep:
        return self.client.open_step(step, self.groups(step), self._plan.max_tokens)

    def _run(self, steps: int) -> None:
        started_s = time.monotonic()
        self.publish(1)
        following = self._open(1)
        opened_s = time.monotonic()
        for step in range(1, steps + 1):
            current, current_opened_s = following, opened_s
            current = self._collect(step, current, current_opened_s)
            if step < steps:
                following = self._open(step + 1)
                opened_s = time.monotonic()
            current.close()
            if self.stopped.wait(self._plan.train_s):
                break
            self.publish(step + 1)
        self.client.settle(_SETTLE_BOUND_S)
        self.log.run_s = time.monotonic() - started_s

    def _collect(self, step: int, opened: OpenedStep, opened_s: float) -> OpenedStep:
        """Take a whole step; return it as it is open at the end."""
        self._save()
        waited_from_s = time.monotonic()
        arrivals: list[float] = []
        while (sample := opened.take()) is not None:
            if self.killed.is_set():
                self._restore()
                opened = self._open(step)
                continue
            newest = self.client.newest_version
            arrivals.append(time.monotonic())
            self.log.taken.append((step, sample, newest))
            self.log.staleness.append(newest - sample.oldest_version)
            if len(arrivals) % _SAVE_EVERY == 0:
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
