"""Gets the records of closed steps confirmed while the trainer works on a step."""

from __future__ import annotations

import logging
import threading
import time
from typing import Final, Protocol

from ..errors import Refusal
from ._checkpoint import ClosedStepCheckpoint

#: A logger of the standard library, since this module runs inside a training service,
#: which controls its own log output.
_log = logging.getLogger(__name__)

#: Timeout of one confirmation request, in seconds; an entry looks for the owner for
#: 10 s.
_ASK_TIMEOUT_S: Final = 15.0
#: Pause between two rounds, in seconds; owners write their records every 2 s.
_PAUSE_S: Final = 3.0
#: Maximum pause of the backoff while rounds are refused, in seconds.
_MAX_PAUSE_S: Final = 30.0
#: Pause between two rounds while a caller waits in :meth:`Recorder.settle`, in seconds.
_SETTLE_PAUSE_S: Final = 0.5


class ClosedStep(Protocol):
    """A complete step whose record is to be confirmed."""

    @property
    def step(self) -> int:
        """The number of the step."""

    def ask_recorded(self, timeout_s: float) -> bool | Refusal:
        """Send the receipts once; return whether the owner has written all."""

    def closed_checkpoint(self) -> ClosedStepCheckpoint:
        """Return the state that another client needs to have the step recorded."""


class Recorder:
    """Keeps closed steps until their owner confirms that the record is written.

    The recorder asks in its own thread: a refused or late record of a closed step must
    neither delay nor end the current step.
    """

    def __init__(self) -> None:
        self._steps: dict[int, ClosedStep] = {}
        self._lock = threading.Lock()
        self._round_lock = threading.Lock()
        self._thread: threading.Thread | None = None
        self._closed = threading.Event()

    def add(self, closed: ClosedStep) -> None:
        """Keep a closed step until its record is confirmed."""
        with self._lock:
            self._steps[closed.step] = closed

    def steps(self) -> tuple[ClosedStep, ...]:
        """Return the steps whose record is not confirmed, oldest first."""
        with self._lock:
            return tuple(self._steps[step] for step in sorted(self._steps))

    def ask(self, closed: ClosedStep, timeout_s: float = _ASK_TIMEOUT_S) -> bool:
        """Ask for one step once; return whether its owner answered.

        A failure is logged and affects only this step.
        """
        try:
            answer = closed.ask_recorded(timeout_s)
        except Exception:  # an unreadable answer must end no thread
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
        """Start the background rounds if a step is not confirmed."""
        with self._lock:
            if not self._steps or self._thread is not None or self._closed.is_set():
                return
            self._thread = threading.Thread(
                target=self._run, name="closed-steps", daemon=True
            )
            self._thread.start()

    def close(self) -> None:
        """Stop the background rounds; :meth:`steps` keeps the unconfirmed steps."""
        self._closed.set()

    def settle(self, bound_s: float) -> bool:
        """Ask at once and until ``bound_s`` has passed; return whether none is left.

        No round starts after ``bound_s``; the last round may end later.
        """
        deadline_s = time.monotonic() + bound_s
        while True:
            self._ask_all()
            if not self.steps() or time.monotonic() >= deadline_s:
                return not self.steps()
            time.sleep(_SETTLE_PAUSE_S)

    def _run(self) -> None:
        pause_s = _PAUSE_S
        while not self._closed.wait(pause_s):
            is_answered = self._ask_all()
            pause_s = _PAUSE_S if is_answered else min(_MAX_PAUSE_S, 2 * pause_s)
            if self._stop_if_empty():
                return

    def _stop_if_empty(self) -> bool:
        with self._lock:
            if self._steps:
                return False
            self._thread = None
            return True

    def _ask_all(self) -> bool:
        """Ask for each step once; return whether every owner answered."""
        with self._round_lock:
            answered = [self.ask(closed) for closed in self.steps()]
        return all(answered)
