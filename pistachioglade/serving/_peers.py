"""The other entries: their list, what they ask, and what becomes of their jobs."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod
from typing import Any, Final

from ..decisions import (
    FULL_POLICY,
    PROBE_TIMEOUT_S,
    Mechanism,
    Policy,
    heir_of,
    is_store_fresh,
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
    address_of,
    node_of,
    parse_name,
    sent_text,
)
from ..links import LinkPool, Peer
from ..logs import logger
from ..messages import (
    Acknowledged,
    AskHome,
    ChangePage,
    EngineUnattended,
    FetchChanges,
    FetchResults,
    FetchSent,
    FetchTexts,
    HomeAnswer,
    InstancesCrashed,
    Probe,
    ProbeAnswer,
    RelayAnswer,
    RelayCall,
    ResultPage,
    SamplesRunning,
    SampleTexts,
    SentFields,
    StoredRecord,
)
from ..platform import Entry
from ..quarantine import CrashLedger
from ..store import StoreClient
from ._members import ENTRY_KIND, Members
from ._store_ways import StoreWays

#: Pause between two looks at jobs whose owner is gone.
_SWEEP_S: Final = 0.5
#: Time for which a job's owner has to be missing from the list before its heir acts:
#: an entry that starts again lists itself within a second.
_ORPHAN_AFTER_S: Final = 1.5
#: Time within which a takeover is written: through an outage of the store of some
#: seconds, so that the job goes on with the store's first answer.
_TAKE_OVER_WITHIN_S: Final = 5.0
#: Time for a look at the store before a job is refused for want of it; the accepting
#: entry waits PROBE_TIMEOUT_S for the answer.
_LOOK_S: Final = 0.3
#: Time between two reports of running samples to other owners.
_TELL_SAMPLES_S: Final = 0.25
#: Homes that a new job is offered to before it is left to its owner's heir.
_PLACE_TRIES: Final = 3


class Peers:
    """Answers other entries, and passes jobs on."""

    def __init__(
        self,
        members: Members,
        view: FleetView,
        boot: str,
        store: StoreClient,
        links: LinkPool,
        ledger: JobLedger,
        owner: JobOwner,
        ways: StoreWays,
        attend: Callable[[EngineUnattended], Acknowledged | Refusal],
        changes: Callable[[FetchChanges], Awaitable[ChangePage | Refusal]],
        crashes: CrashLedger,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._crashes = crashes
        self._policy = policy
        self._ways = ways
        # Takes on an engine that no process beside it orders.
        self._attend = attend
        # Answers entries that follow this one's copies.
        self._changes = changes
        self._members = members
        self._view = view
        self._boot = boot
        self._store = store
        self._links = links
        self._ledger = ledger
        self._owner = owner
        self._log = logger(__name__)
        self._orphaned_s: dict[str, float] = {}

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    # Questions of other entries.

    async def answer(self, message: Any, peer: Peer) -> Any:
        """Answer one message."""
        return await self._dispatch(message)

    @singledispatchmethod
    async def _dispatch(self, message: Any) -> Any:
        return refuse(ErrorKind.BAD_REQUEST, f"not for entries: {message!r:.80}")

    @_dispatch.register
    async def _probe(self, message: Probe) -> ProbeAnswer:
        return ProbeAnswer(self._boot, self._store.age_s, self._store.is_reached)

    @_dispatch.register
    async def _ask_home(self, message: AskHome) -> HomeAnswer:
        return HomeAnswer(await self._can_take_job())

    @_dispatch.register
    async def _results(self, message: FetchResults) -> ResultPage:
        state = self._ledger.find(message.job_id)
        if state is None:
            return ResultPage((), False)
        if message.job_id in self._owner.runs:
            await state.wait_for_more(message.after, message.wait_s)
        # What is known here stands in the store; only a run knows that there's no more.
        is_running = message.job_id in self._owner.runs
        is_last = len(state.results) == state.total
        return ResultPage(state.page(message.after), is_running or is_last)

    @_dispatch.register
    async def _sent(self, message: FetchSent) -> SentFields:
        state = self._ledger.find(message.job_id)
        if state is None or state.submission is None or not state.is_whole:
            return SentFields("")
        return SentFields(sent_text(state.submission))

    @_dispatch.register
    async def _stored(self, message: StoredRecord) -> Acknowledged | Refusal:
        name = parse_name(message.name)
        is_job = name is not None and name.kind is RecordKind.SUBMISSION
        is_for_here = is_job and message.value.get("owner") == self._owner.name
        if is_for_here and not await self._can_take_job():
            return refuse(ErrorKind.PLATFORM_UNAVAILABLE, "takes no jobs now")
        entry = Entry(message.name, message.revision, message.value, None)
        self._ledger.take(entry, False)
        return Acknowledged()

    async def _can_take_job(self) -> bool:
        """Whether a job may run here, by a look at the store if none is fresh.

        An entry that is cut off from the store can start samples and list none: its
        neighbour takes each job from it a second later, and its samples start anew.
        """
        if self._members.is_leaving:
            return False
        if not self._policy.uses(Mechanism.READY_HOMES):
            return True
        if not is_store_fresh(self._store.age_s):
            await self._store.look(ENTRY_KIND, self._members.node, _LOOK_S)
        return is_store_fresh(self._store.age_s)

    @_dispatch.register
    async def _samples(self, message: SamplesRunning) -> Acknowledged:
        self._view.note_samples(message.owner, message.by_engine)
        return Acknowledged()

    async def tell_samples(self) -> None:
        """Tell other owners of the samples that run from here, for good."""
        while True:
            await asyncio.sleep(_TELL_SAMPLES_S)
            fellows = self._owner.fellow_owners() if self._owner.runs else set()
            if not fellows:
                continue
            message = SamplesRunning(self._owner.name, self._owner.samples_by_engine())
            await asyncio.gather(
                *(
                    self._links.call(address_of(owner), message, _TELL_SAMPLES_S)
                    for owner in fellows
                )
            )

    @_dispatch.register
    async def _texts(self, message: FetchTexts) -> SampleTexts:
        return self._owner.texts(message.job_id)

    @_dispatch.register
    async def _engine(self, message: EngineUnattended) -> Acknowledged | Refusal:
        return self._attend(message)

    @_dispatch.register
    async def _crashed(self, message: InstancesCrashed) -> Acknowledged:
        self._crashes.note_reported(message.request_digest, message.instances)
        return Acknowledged()

    async def broadcast_crashes(
        self, request_digest: str, instances: frozenset[str]
    ) -> None:
        """Report a request's crashes to all other entries."""
        message = InstancesCrashed(request_digest, tuple(sorted(instances)))
        others = self._members.owner_names - {self._owner.name}
        await asyncio.gather(
            *(
                self._links.call(address_of(name), message, PROBE_TIMEOUT_S)
                for name in others
            )
        )

    @_dispatch.register
    async def _follower(self, message: FetchChanges) -> ChangePage | Refusal:
        return await self._changes(message)

    @_dispatch.register
    async def _relay(self, message: RelayCall) -> RelayAnswer | Refusal:
        return await self._ways.answer(message)

    async def tell_owner(self, owner: str, entry: Entry) -> bool:
        """Tell a job's owner at once what its watch would tell it a little later.

        Returns whether it heard.
        """
        if owner == self._owner.name:
            return True
        message = StoredRecord(entry.name, entry.revision, entry.value)
        answer = await self._links.call(address_of(owner), message, PROBE_TIMEOUT_S)
        if not isinstance(answer, Refusal):
            self._members.note_reached(node_of(owner))
            return True
        self._log.info(
            "owner-not-told", owner=owner, record=entry.name, reason=answer.reason
        )
        if answer.kind is not ErrorKind.TOO_LARGE:
            self._members.note_unreached(node_of(owner))
        return False

    async def place(self, state: JobState, entry: Entry) -> None:
        """Tell the owner of a new job of it; one that can't be told loses the job.

        A step that waits for the list of entries to show a death is late by then.
        """
        owner = state.owner
        if await self.tell_owner(owner, entry) or state.owner != owner:
            return
        upstream = self._owner.upstream_of(state)
        if upstream is None or not state.is_open:
            return
        for _ in range(_PLACE_TRIES):
            home = self._members.home_for(upstream, state.model, state.step)
            if home == owner or state.owner != owner:
                return
            # The new home needs the submission too; its watch may be a second late.
            if await self.tell_owner(home, entry):
                await self.take_over(state, home, False)
                return

    # Jobs of others.

    async def inherit(self, node: str, is_alive: bool) -> None:
        """Pass on the jobs of an entry that is lost, or lives without the store."""
        self._members.note_unreached(node)
        await asyncio.gather(
            *(
                self.pass_on(state, is_alive)
                for state in tuple(self._ledger.jobs.values())
                if state.is_open and node_of(state.owner) == node
            )
        )

    async def pass_on(self, state: JobState, can_ask: bool) -> None:
        """Give a job to the home that runs its model's other jobs by now.

        The entry that notices a loss may be one of the small ones: jobs that it ran
        itself began 1 to 2 s later, and beside another home's on the same engines.
        """
        await self.take_over(state, await self._new_home(state), can_ask)

    async def _new_home(self, state: JobState) -> str:
        """Return a home that answers and reaches the store; this entry without one."""
        upstream = self._owner.upstream_of(state)
        if upstream is None:
            return self._owner.name
        for _ in range(_PLACE_TRIES):
            home = self._members.home_for(upstream, state.model, state.step)
            if home == self._owner.name:
                break
            answer = await self._links.call(
                address_of(home), AskHome(), PROBE_TIMEOUT_S
            )
            if isinstance(answer, HomeAnswer) and answer.takes_jobs:
                return home
            self._members.note_unreached(node_of(home))
        return self._owner.name

    async def sweep(self) -> None:
        """Take over jobs whose owner isn't listed and whose heir is this entry."""
        await self._members.mirror.is_synced.wait()
        while True:
            await asyncio.sleep(_SWEEP_S)
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
                is_old = now_s - self._orphaned_s[state.id] > _ORPHAN_AFTER_S
                heir = heir_of(node_of(state.owner), self._members.names)
                if is_old and heir == self._members.node:
                    await self.pass_on(state, False)

    def answers_for(self, state: JobState) -> bool:
        """Whether this entry owns a job, or is heir of an owner that is gone."""
        owner = node_of(state.owner)
        if owner in self._members.names:
            return owner == self._members.node
        return heir_of(owner, self._members.names) == self._members.node

    async def take_over(self, state: JobState, owner: str, can_ask: bool) -> None:
        """Write a job's new owner; of two that try, the store takes one.

        ``can_ask`` tells whether the earlier owner lives and can hand texts over.
        """
        name = str(RecordName(state.id, RecordKind.OWNER))
        value = {"owner": owner, "earlier": state.owner, "is_alive": can_ask}
        revision = state.owner_revision
        if revision:
            stored = await self._store.replace(JOB_KIND, name, value, revision)
        else:
            stored = await self._store.create(
                JOB_KIND, name, value, _TAKE_OVER_WITHIN_S
            )
        self._log.info(
            "job-owner-changed",
            job=state.id,
            owner=owner,
            earlier=state.owner,
            outcome=stored.reason if isinstance(stored, Refusal) else "written",
        )
        if isinstance(stored, Entry):
            told = {owner, state.owner, *self._members.owner_names}
            self._ledger.take(stored, False)
            # All entries: their readers ask the owner, and their watches are late.
            await asyncio.gather(*(self.tell_owner(name, stored) for name in told))

    async def hand_over(self) -> bool:
        """Give this entry's jobs to others, as at a planned stop; return whether all.

        One that no other entry takes stays here, where its samples run on: its texts
        would be of no use to anybody yet.
        """
        self._members.is_leaving = True
        runs = tuple(self._owner.runs.values())
        await asyncio.gather(*(self._hand_over(run.state) for run in runs))
        return not self._owner.runs

    async def _hand_over(self, state: JobState) -> None:
        home = await self._new_home(state)
        if home != self._owner.name:
            await self.take_over(state, home, True)
