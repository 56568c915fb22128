"""Has the receipts of closed steps written to the record, beside the step in hand."""

from __future__ import annotations

import logging
import threading
import time
from typing import Final, Protocol

from ..errors import Refusal
from ._checkpoint import ClosedStepCheckpoint

#: The standard library's, as this runs inside a training service, whose output it is
#: not ours to write to.
_log = logging.getLogger(__name__)

#: Time that one step's owner is given to answer; an entry looks for the owner for 10 s.
_ASK_TIMEOUT_S: Final = 15.0
#: Pause between two rounds; owners write their records each 2 s.
_PAUSE_S: Final = 3.0
#: Longest pause, while each round meets a refusal.
_LONGEST_PAUSE_S: Final = 30.0
#: Pause between two rounds of a caller that waits for the record.
_SETTLE_PAUSE_S: Final = 0.5


class ClosedStep(Protocol):
    """A step that was taken whole."""

    @property
    def step(self) -> int:
        """Number of the step."""

    def ask_recorded(self, timeout_s: float) -> bool | Refusal:
        """Send the receipts once; return whether the owner has written all."""

    def closed_checkpoint(self) -> ClosedStepCheckpoint:
        """Return what it takes to have the step recorded by another client."""


class Recorder:
    """Keeps closed steps until their owner says that the record is written.

    It asks in a thread of its own: the record of a step that is over must neither hold
    up the step in hand nor end it, however long it is refused.
    """

    def __init__(self) -> None:
        self._steps: dict[int, ClosedStep] = {}
        self._lock = threading.Lock()
        self._round = threading.Lock()
        self._thread: threading.Thread | None = None
        self._closed = threading.Event()

    def add(self, closed: ClosedStep) -> None:
        """Keep a step."""
        with self._lock:
            self._steps[closed.step] = closed

    def steps(self) -> tuple[ClosedStep, ...]:
        """Return the steps whose record is not known to be written, oldest first."""
        with self._lock:
            return tuple(self._steps[step] for step in sorted(self._steps))

    def ask(self, closed: ClosedStep, timeout_s: float = _ASK_TIMEOUT_S) -> bool:
        """Ask for one step once; return whether its owner answered.

        A failure is logged and concerns this step alone.
        """
        try:
            answer = closed.ask_recorded(timeout_s)
        except Exception:  # an answer that can't be read must end nobody's work
            _log.exception("step.record_unreadable step=%d", closed.step)
            return False
        if isinstance(answer, Refusal):
            _log.warning(
                "step.not_recorded step=%d kind=%s reason=%s",
                closed.step,
                answer.kind.value,
                answer.reason,
            )
            return False
        if answer:
            with self._lock:
                self._steps.pop(closed.step, None)
        return True

    def start(self) -> None:
        """Ask now and then from here on, if there is something to ask for."""
        with self._lock:
            if not self._steps or self._thread is not None or self._closed.is_set():
                return
            self._thread = threading.Thread(
                target=self._run, name="closed-steps", daemon=True
            )
            self._thread.start()

    def close(self) -> None:
        """Ask no more; what is not written stays in :meth:`steps`."""
        self._closed.set()

    def settle(self, bound_s: float) -> bool:
        """Ask at once, and on until ``bound_s`` is over; return whether all is written.

        ``bound_s`` bounds the rounds that are begun; the last one may end later.
        """
        deadline_s = time.monotonic() + bound_s
        while True:
            self._ask_each()
            if not self.steps() or time.monotonic() >= deadline_s:
                return not self.steps()
            time.sleep(_SETTLE_PAUSE_S)

    def _run(self) -> None:
        pause_s = _PAUSE_S
        while not self._closed.wait(pause_s):
            is_answered = self._ask_each()
            pause_s = _PAUSE_S if is_answered else min(_LONGEST_PAUSE_S, 2 * pause_s)
            if self._is_over():
                return

    def _is_over(self) -> bool:
        with self._lock:
            if self._steps:
                return False
            self._thread = None
            return True

    def _ask_each(self) -> bool:
        """Ask for each step once; return whether none was refused."""
        with self._round:
            answered = [self.ask(closed) for closed in self.steps()]
        return all(answered)
