"""Synchronizes a node's crash records with the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Final

from ..decisions import UNCLAIMED_TRIAL_WAIT_S
from ..errors import ErrorKind, Refusal, refuse
from ..logs import logger
from ..platform import Entry
from ..store import FetchChangesFrom, Mirror, StoreClient
from ._ledger import MAX_INSTANCES, CrashLedger, CrashRecord, StoredCrashes

#: Kind of the records in the store. Each record is named by its request's digest.
CRASH_KIND: Final = "pistachioglade-crashes"
#: Timeout for creating a record, including retries after lost answers.
_CREATE_TIMEOUT_S: Final = 0.5
#: Timeout for claiming a trial run, during which the caller waits.
_CLAIM_TIMEOUT_S: Final = 0.3
#: Consecutive attempts to write one record when other entries write it too.
_WRITE_ATTEMPTS: Final = 4
#: Pause before failed writes are retried.
_RETRY_PAUSE_S: Final = 0.3
#: Longest additional wait for the store to recover; a successful call ends it.
_LONGEST_RETRY_WAIT_S: Final = 2.0
#: Hold time of a watch; long because changes are rare.
_WATCH_HOLD_S: Final = 25.0
#: Interval between checks for expired records.
_EXPIRY_INTERVAL_S: Final = 5.0


def encode_crashes(instances: frozenset[str], trials: int) -> dict[str, Any]:
    """Return the stored value of a record."""
    return {"instances": sorted(instances), "trials": trials}


def decode_crashes(entry: Entry) -> StoredCrashes | Refusal:
    """Return the record in a store entry, or a refusal if it is malformed."""
    fields = entry.value if isinstance(entry.value, Mapping) else {}
    instances, trials = fields.get("instances"), fields.get("trials")
    has_valid_instances = isinstance(instances, list) and all(
        isinstance(item, str) for item in instances
    )
    has_valid_trials = (
        isinstance(trials, int) and not isinstance(trials, bool) and trials >= 0
    )
    if not has_valid_instances or not has_valid_trials:
        return refuse(ErrorKind.UNREADABLE, f"crash record {entry.name:.80}")
    assert isinstance(instances, list) and isinstance(trials, int)
    return StoredCrashes(frozenset(instances[:MAX_INSTANCES]), trials, entry.revision)


class CrashRecordStore:
    """Keeps a ledger and the records in the store in sync."""

    def __init__(
        self,
        ledger: CrashLedger,
        store: StoreClient,
        follow: FetchChangesFrom,
        is_responsible: Callable[[str], bool],
    ) -> None:
        self._ledger = ledger
        self._store = store
        # Whether this node writes the reported crashes of a digest and deletes its
        # expired record.
        self._is_responsible = is_responsible
        self._log = logger(__name__)
        # Local copy of the records, by digest.
        self.mirror = Mirror(
            store, CRASH_KIND, self._apply_entry, _WATCH_HOLD_S, follow=follow
        )
        ledger.claim_trial = self.claim_trial

    def _apply_entry(self, entry: Entry, is_removed: bool) -> None:
        if is_removed:
            self._ledger.apply_stored(entry.name, None)
            return
        decoded = decode_crashes(entry)
        if isinstance(decoded, Refusal):
            self._log.error("crash-record-refused", reason=decoded.reason)
            # Treat a malformed record as empty so that it can be overwritten.
            decoded = StoredCrashes(frozenset(), 0, entry.revision)
        self._ledger.apply_stored(entry.name, decoded)

    async def run(self) -> None:
        """Write records when the ledger has unwritten ones; runs until cancelled."""
        if self._ledger.unwritten():
            # An error has ended an earlier run of this task before its writes.
            self._ledger.has_unwritten.set()
        while True:
            await self._ledger.has_unwritten.wait()
            self._ledger.has_unwritten.clear()
            self._ledger.adopt_reported(self._is_responsible)
            unwritten = self._ledger.unwritten()
            written = await asyncio.gather(*map(self._write, unwritten))
            if not all(written):
                self._ledger.has_unwritten.set()
                await asyncio.sleep(_RETRY_PAUSE_S)
                await self._store.wait_for_answer(_LONGEST_RETRY_WAIT_S)

    async def _write(self, digest: str) -> bool:
        """Bring the store's record up to date; return whether that succeeded."""
        for _ in range(_WRITE_ATTEMPTS):
            record = self._ledger.find(digest)
            if record is None or not record.is_unwritten:
                return True
            refusal = await self._write_once(digest, record)
            if refusal is not None:
                self._log.info(
                    "crash-record-unwritten",
                    request_digest=digest,
                    reason=refusal.reason,
                )
                break
        return False

    async def _write_once(self, digest: str, record: CrashRecord) -> Refusal | None:
        """Send one write and apply its result; return a refusal if it failed."""
        answer = await self._send_write(digest, record)
        if isinstance(answer, Refusal) and answer.kind is ErrorKind.CONFLICT:
            answer = await self._store.read(CRASH_KIND, digest)
        if isinstance(answer, Entry):
            self.mirror.apply_newer(answer)
            return None
        if answer is None or answer.kind is ErrorKind.NOT_FOUND:
            self._ledger.apply_stored(digest, None)
            return None
        return answer

    async def _send_write(
        self, digest: str, record: CrashRecord
    ) -> Entry | Refusal | None:
        store, stored = self._store, record.stored
        value = encode_crashes(record.instances_to_store, record.trials)
        if stored is None:
            return await store.create(CRASH_KIND, digest, value, _CREATE_TIMEOUT_S)
        if record.instances_to_store:
            return await store.replace(CRASH_KIND, digest, value, stored.revision)
        return await store.delete(CRASH_KIND, digest, stored.revision)

    async def claim_trial(self, digest: str) -> bool:
        """Claim the next trial run of a request; at most one node succeeds."""
        record = self._ledger.find(digest)
        now_s = asyncio.get_running_loop().time()
        if record is None or now_s < record.next_claim_s:
            return False
        record.next_claim_s = now_s + UNCLAIMED_TRIAL_WAIT_S
        try:
            async with asyncio.timeout(_CLAIM_TIMEOUT_S):
                stored = await self._write_claim(digest, record)
        except TimeoutError:
            # If the write succeeds later, the trial is used up without a run.
            return False
        is_claimed = isinstance(stored, Entry)
        if isinstance(stored, Entry):
            self.mirror.apply_newer(stored)
        self._log.info(
            "trial-claimed" if is_claimed else "trial-not-claimed",
            request_digest=digest,
            trial=record.trials,
        )
        return is_claimed

    async def _write_claim(
        self, digest: str, record: CrashRecord
    ) -> Entry | Refusal | None:
        """Write a record with one trial more; None if another node has claimed it."""
        trials = record.trials
        if record.stored is None:
            # The entry that reported the crashes can have ended before it stored them.
            # Without a record, the request would never run again.
            value = encode_crashes(record.instances, trials)
            created = await self._store.create(
                CRASH_KIND, digest, value, _CLAIM_TIMEOUT_S
            )
            if isinstance(created, Refusal):
                return created
            self.mirror.apply_newer(created)
        if record.stored is None or record.trials != trials:
            return None
        value = encode_crashes(record.instances_to_store, trials + 1)
        return await self._store.replace(
            CRASH_KIND, digest, value, record.stored.revision
        )

    async def expire(self) -> None:
        """Delete expired records periodically; runs until cancelled."""
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            # This node may have become responsible for further requests.
            self._ledger.has_unwritten.set()
            for digest in filter(self._is_responsible, self._ledger.drop_expired()):
                record = self._ledger.find(digest)
                if record is not None and record.stored is not None:
                    await self._store.delete(CRASH_KIND, digest, record.stored.revision)
