"""Answers the other entries' messages and moves jobs between entries."""

from __future__ import annotations

import asyncio
from typing import Final

from ..decisions import (
    ENTRY_CALL_TIMEOUT_S,
    FULL_POLICY,
    Mechanism,
    Policy,
    is_store_fresh,
    successor_of,
)
from ..errors import ErrorKind, Refusal, refuse
from ..forwarding import FleetView
from ..jobs import (
    JOB_KIND,
    JobLedger,
    JobOwner,
    JobState,
    RecordKind,
    RecordName,
    RecordSource,
    address_of,
    node_of,
    parse_name,
)
from ..links import Link, LinkPool
from ..logs import logger
from ..messages import (
    Acknowledged,
    AskHome,
    FetchResults,
    FetchSampleCrashes,
    FetchTexts,
    HomeAnswer,
    InstancesCrashed,
    Probe,
    ProbeAnswer,
    ResultPage,
    SampleCrashes,
    SamplesRunning,
    SampleTexts,
    StoredRecord,
    SubmittedJob,
)
from ..platform import Entry
from ..quarantine import CrashLedger
from ..store import StoreClient
from ._entry_messages import EntryMessages
from ._members import ENTRY_KIND, Members

#: Time between two checks for jobs whose owner is not listed.
_ORPHAN_CHECK_S: Final = 0.5
#: Time for which a job's owner has to be missing from the list of entries before its
#: successor reassigns the job. A restarted entry lists itself within a second.
_ORPHAN_AFTER_S: Final = 1.5
#: Timeout for the write of a job's new owner. The write is retried through a store
#: outage of a few seconds, so that the job continues with the store's first answer.
_OWNER_WRITE_TIMEOUT_S: Final = 5.0
#: Timeout for the read that checks the store before a job is refused because the store
#: can't be reached. The entry that accepted the job waits ENTRY_CALL_TIMEOUT_S.
_STORE_CHECK_TIMEOUT_S: Final = 0.3
#: Time between two reports of running samples to the other owners.
_REPORT_SAMPLES_S: Final = 0.25
#: Number of candidates that are offered a job before the search for an owner ends. A
#: new job is then left to its owner's successor.
_OWNER_TRIES: Final = 3


class Peers:
    """Answers other entries, notifies job owners and reassigns jobs."""

    def __init__(
        self,
        members: Members,
        view: FleetView,
        boot: str,
        store: StoreClient,
        links: LinkPool,
        ledger: JobLedger,
        owner: JobOwner,
        crashes: CrashLedger,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._crashes = crashes
        # Entries that have missed their last report of crashes.
        self._uninformed: set[str] = set()
        self._policy = policy
        self._members = members
        self._view = view
        self._boot = boot
        self._store = store
        self._links = links
        self._ledger = ledger
        self._owner = owner
        self._log = logger(__name__)
        # When a job's owner was first found missing, by job id; monotonic, in seconds.
        self._orphaned_s: dict[str, float] = {}

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    # Messages of other entries.

    def register_messages(self, messages: EntryMessages) -> None:
        """Register the answers to the messages about probes, jobs and samples."""
        messages.register(Probe, self._answer_probe)
        messages.register(AskHome, self._answer_candidate_check)
        messages.register(FetchResults, self._answer_results)
        messages.register(StoredRecord, self._accept_record)
        messages.register(SamplesRunning, self._record_samples)
        messages.register(FetchTexts, self._answer_texts)
        messages.register(FetchSampleCrashes, self._answer_sample_crashes)
        messages.register(InstancesCrashed, self._record_crashes)

    async def _answer_probe(self, message: Probe) -> ProbeAnswer:
        return ProbeAnswer(
            self._boot, self._store.last_answer_age_s, self._store.is_directly_reachable
        )

    async def _answer_candidate_check(self, message: AskHome) -> HomeAnswer:
        return HomeAnswer(await self.can_take_job())

    async def _answer_results(self, message: FetchResults) -> ResultPage:
        state = self._ledger.find(message.job_id)
        if state is None:
            return ResultPage((), False)
        if message.job_id in self._owner.runs:
            await state.wait_for_more(message.after, message.wait_s)
        # Every result known here is in the store as well. Only the run of a job knows
        # that there are no further results yet.
        is_running = message.job_id in self._owner.runs
        is_last = len(state.results) == state.total
        return ResultPage(state.page(message.after), is_running or is_last)

    async def _accept_record(self, message: StoredRecord) -> Acknowledged | Refusal:
        name = parse_name(message.name)
        is_job = name is not None and name.kind is RecordKind.SUBMISSION
        is_own_job = is_job and message.value.get("owner") == self._owner.name
        if is_own_job and not await self.can_take_job():
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, "takes no jobs now")
        entry = Entry(message.name, message.revision, message.value, None)
        self._ledger.apply_entry(entry, False, RecordSource.MESSAGE)
        return Acknowledged()

    async def can_take_job(self) -> bool:
        """Whether a job may run here; reads the store if its last answer is old.

        An entry that is cut off from the store can start samples, but can't store their
        results. Its ring neighbour reassigns each of its jobs a second later, and the
        samples start from the beginning.
        """
        if self._members.is_leaving:
            return False
        if not self._policy.uses(Mechanism.READY_HOMES):
            return True
        if not is_store_fresh(self._store.last_answer_age_s):
            await self._store.probe(
                ENTRY_KIND, self._members.node, _STORE_CHECK_TIMEOUT_S
            )
        return is_store_fresh(self._store.last_answer_age_s)

    async def _record_samples(self, message: SamplesRunning) -> Acknowledged:
        self._view.record_samples(message.owner, message.by_engine)
        return Acknowledged()

    async def report_samples(self) -> None:
        """Report this entry's running samples to the other owners, forever."""
        while True:
            await asyncio.sleep(_REPORT_SAMPLES_S)
            co_owners = self._owner.other_owners() if self._owner.runs else set()
            if not co_owners:
                continue
            message = SamplesRunning(self._owner.name, self._owner.samples_by_engine())
            await asyncio.gather(
                *(
                    self._links.call(address_of(owner), message, _REPORT_SAMPLES_S)
                    for owner in co_owners
                )
            )

    async def _answer_texts(self, message: FetchTexts) -> SampleTexts:
        return self._owner.hand_over_texts(message.job_id)

    def _answer_sample_crashes(self, message: FetchSampleCrashes) -> SampleCrashes:
        run = self._owner.find_run(message.job_id)
        return SampleCrashes({} if run is None else run.crash_counts())

    async def _record_crashes(
        self, message: InstancesCrashed
    ) -> Acknowledged | InstancesCrashed:
        """Record reported crashes; answer with those that the sender doesn't know."""
        digest = message.request_digest
        self._crashes.record_reported(digest, message.instances)
        record = self._crashes.find(digest)
        known = frozenset() if record is None else record.instances
        unknown_to_sender = known - set(message.instances)
        if unknown_to_sender:
            return InstancesCrashed(digest, tuple(sorted(unknown_to_sender)))
        return Acknowledged()

    async def report_crashes(
        self, entry: str, request_digest: str, instances: frozenset[str]
    ) -> bool:
        """Report a request's crashes to an entry; return whether it confirmed them."""
        message = InstancesCrashed(request_digest, tuple(sorted(instances)))
        answer = await self._links.call(
            address_of(entry), message, ENTRY_CALL_TIMEOUT_S
        )
        if isinstance(answer, InstancesCrashed):
            self._crashes.record_reported(request_digest, answer.instances)
        is_known = isinstance(answer, Acknowledged | InstancesCrashed)
        if is_known:
            self._uninformed.discard(entry)
        elif entry not in self._uninformed:
            # Failed reports are repeated several times a second.
            self._uninformed.add(entry)
            self._log.info(
                "crashes-not-reported",
                entry=entry,
                request_digest=request_digest,
                reason=getattr(answer, "reason", ""),
            )
        return is_known

    def link_to(self, entry: str) -> Link | None:
        """Return the open link to an entry; None if there is none."""
        return self._links.open_link(address_of(entry))

    async def notify_owner(
        self, owner: str, entry: Entry, text: bytes | None = None
    ) -> bool:
        """Send a job's owner a record that its watch would return a little later.

        ``text`` is the submission of a new job, if it can be sent. Returns whether the
        owner acknowledged the record.
        """
        if owner == self._owner.name:
            return True
        record = (entry.name, entry.revision, entry.value)
        message = StoredRecord(*record) if text is None else SubmittedJob(*record, text)
        answer = await self._links.call(
            address_of(owner), message, ENTRY_CALL_TIMEOUT_S
        )
        if not isinstance(answer, Refusal):
            self._members.record_reachable(node_of(owner))
            return True
        if text is not None and answer.kind is ErrorKind.BAD_REQUEST:
            # The owner is of a build that reads the parts from the store.
            return await self.notify_owner(owner, entry)
        self._log.info(
            "owner-not-notified", owner=owner, record=entry.name, reason=answer.reason
        )
        if answer.kind is not ErrorKind.TOO_LARGE:
            self._members.record_unreachable(node_of(owner))
        return False

    async def deliver_job(
        self, state: JobState, entry: Entry, text: bytes | None
    ) -> None:
        """Notify the owner of a new job; choose another owner if that fails.

        Waiting until the list of entries shows that the owner is gone would make the
        job's step late.
        """
        owner = state.owner
        if await self.notify_owner(owner, entry, text) or state.owner != owner:
            return
        upstream = self._owner.upstream_of(state)
        if upstream is None or not state.is_open:
            return
        for _ in range(_OWNER_TRIES):
            candidate = self._members.choose_owner(upstream, state.model, state.step)
            if candidate == owner or state.owner != owner:
                return
            # The new owner needs the submission too: its watch may return the
            # submission a second late.
            if await self.notify_owner(candidate, entry, text):
                await self.change_owner(state, candidate, False)
                return

    # Jobs of other entries.

    async def reassign_jobs(self, node: str, is_alive: bool) -> None:
        """Reassign the jobs of an entry that is lost or can't reach the store.

        ``is_alive`` tells whether the entry still answers.
        """
        self._members.record_unreachable(node)
        await asyncio.gather(
            *(
                self.reassign_job(state, is_alive)
                for state in tuple(self._ledger.jobs.values())
                if state.is_open and node_of(state.owner) == node
            )
        )

    async def reassign_job(self, state: JobState, can_ask: bool) -> None:
        """Reassign a job to the entry that runs its model's other jobs by now.

        The entry that detects a loss may be a small one. Jobs that such an entry ran
        itself began 1 to 2 s later, and shared engines with another owner's jobs.

        ``can_ask`` tells whether the earlier owner lives and can hand over texts.
        """
        await self.change_owner(state, await self._choose_new_owner(state), can_ask)

    async def _choose_new_owner(self, state: JobState) -> str:
        """Return an owner that answers and reaches the store; else this entry."""
        upstream = self._owner.upstream_of(state)
        if upstream is None:
            return self._owner.name
        for _ in range(_OWNER_TRIES):
            candidate = self._members.choose_owner(upstream, state.model, state.step)
            if candidate == self._owner.name:
                break
            answer = await self._links.call(
                address_of(candidate), AskHome(), ENTRY_CALL_TIMEOUT_S
            )
            if isinstance(answer, HomeAnswer) and answer.takes_jobs:
                return candidate
            self._members.record_unreachable(node_of(candidate))
        return self._owner.name

    async def reassign_orphans(self) -> None:
        """Reassign jobs whose owner isn't listed, if this entry is its successor."""
        await self._members.mirror.is_synced.wait()
        while True:
            await asyncio.sleep(_ORPHAN_CHECK_S)
            listed = self._members.owner_names
            orphans = [
                state
                for state in tuple(self._ledger.jobs.values())
                if state.is_open and state.owner not in listed
            ]
            now_s = self._now_s()
            self._orphaned_s = {
                state.id: self._orphaned_s.get(state.id, now_s) for state in orphans
            }
            for state in orphans:
                is_overdue = now_s - self._orphaned_s[state.id] > _ORPHAN_AFTER_S
                successor = successor_of(node_of(state.owner), self._members.names)
                if is_overdue and successor == self._members.node:
                    await self.reassign_job(state, False)

    def is_responsible_for(self, state: JobState) -> bool:
        """Whether this entry owns a job, or succeeds an owner that isn't listed."""
        owner = node_of(state.owner)
        if owner in self._members.names:
            return owner == self._members.node
        return successor_of(owner, self._members.names) == self._members.node

    async def change_owner(self, state: JobState, owner: str, can_ask: bool) -> None:
        """Write a job's new owner; of two concurrent writes the store accepts one.

        ``can_ask`` tells whether the earlier owner lives and can hand over texts.
        """
        name = str(RecordName(state.id, RecordKind.OWNER))
        value = {"owner": owner, "earlier": state.owner, "is_alive": can_ask}
        revision = state.owner_revision
        if revision:
            stored = await self._store.replace(JOB_KIND, name, value, revision)
        else:
            stored = await self._store.create(
                JOB_KIND, name, value, _OWNER_WRITE_TIMEOUT_S
            )
        self._log.info(
            "job-owner-changed",
            job=state.id,
            owner=owner,
            earlier=state.owner,
            outcome=stored.reason if isinstance(stored, Refusal) else "written",
        )
        if isinstance(stored, Entry):
            owners = {owner, state.owner, *self._members.owner_names}
            self._ledger.apply_entry(stored, False, RecordSource.WRITE)
            # Every entry is notified: its readers ask the owner that it knows of, and
            # its watch may be late.
            await asyncio.gather(*(self.notify_owner(name, stored) for name in owners))

    async def hand_over_jobs(self) -> bool:
        """Hand over this entry's jobs before a planned stop; return whether all went.

        A job that no other entry accepts stays here and its samples keep running: no
        other entry could use its texts yet.
        """
        self._members.is_leaving = True
        runs = tuple(self._owner.runs.values())
        await asyncio.gather(*(self._hand_over_job(run.state) for run in runs))
        return not self._owner.runs

    async def _hand_over_job(self, state: JobState) -> None:
        candidate = await self._choose_new_owner(state)
        if candidate != self._owner.name:
            await self.change_owner(state, candidate, True)
