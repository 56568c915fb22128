"""Admission check and crash accounting for the tries of one request."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager
from functools import cached_property

from ..decisions import (
    MAX_SHARE_WAIT_S,
    UNCLAIMED_TRIAL_WAIT_S,
    Admission,
    AdmissionDecision,
)
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Instance
from ..http1 import Request
from ._digest import request_digest, request_outline
from ._ledger import CrashLedger


class RequestGuard:
    """Admits the tries of one request and records their results."""

    def __init__(
        self,
        ledger: CrashLedger,
        request: Request,
        request_id: str,
        account: str = "",
        is_owed: bool = False,
    ) -> None:
        # Whether the request belongs to an item of a job.
        self._is_owed = is_owed
        self._account = account
        self._ledger = ledger
        self._request = request
        self._outline = request_outline(request)
        self._request_id = request_id
        # Whether an instance has ended during a try.
        self._has_crashed = False
        # Whether the next try is a trial run.
        self._is_trial = False

    @cached_property
    def digest(self) -> str:
        """The request's digest, computed on first use."""
        return request_digest(self._request, self._account)

    async def admit(self, healthy: Callable[[], Iterable[Instance]]) -> Refusal | None:
        """Return a refusal if the request may not be sent now; None if it may.

        ``healthy`` returns the instances of the request's upstream that get new
        requests and aren't in a cooldown.
        """
        if not self._ledger.count:
            return None
        names = frozenset(map(_incarnation, healthy()))
        if not self._is_owed and self._ledger.take_unused_trial(self.digest):
            self._is_trial = True
            return None
        verdict = self._decide(names)
        match verdict.admission:
            case Admission.SEND:
                return None
            case Admission.TRIAL:
                if await self._ledger.claim_trial(self.digest):
                    self._is_trial = True
                    return None
                verdict = self._decide(names)
        return _refusal(verdict)

    def _decide(self, open_instances: frozenset[str]) -> AdmissionDecision:
        # Requests without crashes run at any time, so their runs needn't be compared.
        is_running = self._has_record() and self._ledger.runs.is_running(
            self._outline, self.digest
        )
        return self._ledger.decide_admission(
            self.digest, open_instances, is_running, self._is_owed
        )

    def _has_record(self) -> bool:
        # No digest is computed while no request has a record.
        return self._ledger.count > 0 and self._ledger.find(self.digest) is not None

    def running(self) -> AbstractContextManager[None]:
        """Count a run of the request while the context is active."""
        return self._ledger.runs.register(
            self._outline, self._get_digest, self._has_record()
        )

    def _get_digest(self) -> str:
        return self.digest

    def record_result(self, instance: Instance, refusal: Refusal | None) -> None:
        """Record the result of a try; ``refusal`` is None if the instance answered."""
        if self._is_trial and refusal is not None and refusal.did_not_run:
            self._ledger.return_trial(self.digest)
        self._is_trial = False
        if refusal is None:
            if self._ledger.count:
                self._ledger.record_answer(self.digest)
        elif refusal.kind is ErrorKind.CONNECTION_LOST:
            name = _incarnation(instance)
            self._ledger.record_crash(self.digest, name, self._request_id)
            self._has_crashed = True

    async def wait_until_shared(self, remaining_s: float) -> None:
        """Wait until other entries can know of the instances that ended during tries.

        A caller that retries its request elsewhere as soon as it is answered would end
        further instances. ``remaining_s`` is the time until the request's deadline.
        """
        # A caller that gets no answer by its deadline retries as well.
        timeout_s = min(remaining_s / 2, MAX_SHARE_WAIT_S)
        if self._has_crashed and timeout_s > 0.0:
            await self._ledger.wait_until_shared(self.digest, timeout_s)


def _incarnation(instance: Instance) -> str:
    """Return a name that differs when an instance restarts under the same id."""
    return f"{instance.id}@{instance.born_ms}"


def _refusal(verdict: AdmissionDecision) -> Refusal:
    if verdict.admission is Admission.TRIAL:
        reason = "a trial run of this request can't be claimed now"
        return refuse(ErrorKind.QUARANTINED, reason, UNCLAIMED_TRIAL_WAIT_S)
    return refuse(ErrorKind.QUARANTINED, verdict.reason, verdict.wait_s)
