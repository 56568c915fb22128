"""The other entries: their list, what they ask, and what becomes of their jobs."""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import Any, Final

from ..decisions import (
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    NeighbourView,
    heir_of,
    home_key,
    home_of,
    is_lost,
    is_storeless,
    neighbour_of,
)
from ..errors import ErrorKind, Refusal, refuse
from ..forwarding import FleetView
from ..http1 import Response
from ..jobs import (
    JOB_KIND,
    JobLedger,
    JobOwner,
    JobState,
    RecordKind,
    RecordName,
    address_of,
)
from ..links import LinkPool, Peer
from ..logs import logger
from ..messages import (
    Acknowledged,
    FetchResults,
    FetchTexts,
    Probe,
    ProbeAnswer,
    RelayAnswer,
    RelayCall,
    ResultPage,
    SampleTexts,
    StoredRecord,
)
from ..platform import Entry, StoreCall
from ..store import Mirror, Relay, StoreClient

#: Kind under which entries list themselves.
ENTRY_KIND: Final = "pistachioglade-entries"
#: Time in which changes of the list of entries are gathered: several follow each other
#: when entries stop and start in turn, and probes see a death sooner.
_MEMBERS_GATHER_S: Final = 0.8
#: Age of a neighbour's word on the store up to which calls are sent by way of it.
_RELAY_FRESH_S: Final = 1.0
#: Pause between two looks at jobs whose owner is gone.
_SWEEP_S: Final = 0.5
#: Time for which a job's owner has to be missing from the list before its heir acts:
#: an entry that starts again lists itself within a second.
_ORPHAN_AFTER_S: Final = 1.5


def node_of(owner: str) -> str:
    """Return the node in an owner's name."""
    return owner.partition("@")[0]


class Peers:
    """Answers other entries and watches the one before this one."""

    def __init__(
        self,
        node: str,
        address: str,
        capacity: float,
        boot: str,
        store: StoreClient,
        links: LinkPool,
        ledger: JobLedger,
        owner: JobOwner,
        view: FleetView,
    ) -> None:
        self._view = view
        self._node = node
        self._mine = {"address": address, "boot": boot, "capacity": capacity}
        self._boot = boot
        self._store = store
        self._links = links
        self._ledger = ledger
        self._owner = owner
        self._log = logger(__name__)
        self._neighbour: str | None = None
        self._heard_s = 0.0
        self._answer: ProbeAnswer | None = None
        self._orphaned_s: dict[str, float] = {}
        # Entries by node, as the store lists them.
        self.members = Mirror(
            store,
            ENTRY_KIND,
            self._member_changed,
            gather_s=lambda: _MEMBERS_GATHER_S,
            may_be_late=True,
        )
        # Set once the process stops.
        self.is_leaving = False

    def set_capacity(self, capacity: float) -> None:
        """Tell what this entry can bear; its listing follows."""
        self._mine = {**self._mine, "capacity": capacity}

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    # The list of entries.

    async def enrol(self) -> None:
        """List this entry, again whenever another has struck it off."""
        await self.members.is_synced.wait()
        while not self.is_leaving:
            mine = self._mine
            known = self.members.entries.get(self._node)
            if known is None:
                stored = await self._store.create(ENTRY_KIND, self._node, mine, 2.0)
            elif known.value != mine:
                stored = await self._store.replace(
                    ENTRY_KIND, self._node, mine, known.revision
                )
            else:
                await asyncio.sleep(_SWEEP_S)
                continue
            if isinstance(stored, Entry):
                self.members.put(stored)
            else:
                await asyncio.sleep(_SWEEP_S)

    async def strike_off(self) -> None:
        """Take this entry off the list, as at a planned stop."""
        await self._store.delete(ENTRY_KIND, self._node)

    def _member_changed(self, entry: Entry, is_removed: bool) -> None:
        self._log.info("entry-gone" if is_removed else "entry-listed", entry=entry.name)

    def _address_of_member(self, node: str) -> str:
        entry = self.members.entries.get(node)
        return "" if entry is None else entry.value["address"]

    def home_for(self, upstream: str, model: str, engine_count: int) -> str:
        """Return the owner's name for new jobs of a model: this entry if in doubt."""
        capacities = {
            name: float(entry.value["capacity"])
            for name, entry in self.members.entries.items()
            if not (self.is_leaving and name == self._node)
        }
        home = home_of(home_key(upstream, model, engine_count), capacities)
        if home is None or (self._is_silent(home) and not self.is_leaving):
            return self._owner.name
        return f"{home}@{self._address_of_member(home)}"

    def is_home(self, upstream: str, model: str) -> bool:
        """Whether this entry runs new jobs of a model."""
        engines = sum(1 for _ in self._view.open_instances(upstream))
        return self.home_for(upstream, model, engines) == self._owner.name

    def _is_silent(self, name: str) -> bool:
        """Whether a neighbour has missed a probe."""
        is_old = self._now_s() - self._heard_s > 2 * PROBE_INTERVAL_S
        return name == self._neighbour and is_old

    # Questions of other entries.

    async def answer(self, message: Any, peer: Peer) -> Any:
        """Answer one message."""
        return await self._dispatch(message)

    @singledispatchmethod
    async def _dispatch(self, message: Any) -> Any:
        return refuse(ErrorKind.BAD_REQUEST, f"not for entries: {message!r:.80}")

    @_dispatch.register
    async def _probe(self, message: Probe) -> ProbeAnswer:
        return ProbeAnswer(self._boot, self._store.age_s, self.is_leaving)

    @_dispatch.register
    async def _results(self, message: FetchResults) -> ResultPage:
        state = self._ledger.find(message.job_id)
        if state is None or message.job_id not in self._owner.runs:
            return ResultPage((), False)
        await state.wait_for_more(message.after, message.wait_s)
        is_running = message.job_id in self._owner.runs
        is_whole = len(state.results) == state.total
        return ResultPage(state.page(message.after), is_running or is_whole)

    @_dispatch.register
    async def _stored(self, message: StoredRecord) -> Acknowledged:
        entry = Entry(message.name, message.revision, message.value, None)
        self._ledger.take(entry, False)
        return Acknowledged()

    @_dispatch.register
    async def _texts(self, message: FetchTexts) -> SampleTexts:
        return self._owner.texts(message.job_id)

    @_dispatch.register
    async def _relay(self, message: RelayCall) -> RelayAnswer | Refusal:
        call = StoreCall(message.method, message.target, message.body)
        answer = await self._store.direct(call, message.timeout_s)
        if isinstance(answer, Refusal):
            return answer
        return RelayAnswer(answer.status, answer.body)

    async def tell_owner(self, owner: str, entry: Entry) -> None:
        """Tell a job's owner at once what its watch would tell it a little later."""
        if owner == self._owner.name:
            return
        message = StoredRecord(entry.name, entry.revision, entry.value)
        answer = await self._links.call(address_of(owner), message, PROBE_TIMEOUT_S)
        if isinstance(answer, Refusal):
            self._log.info(
                "owner-not-told", owner=owner, record=entry.name, reason=answer.reason
            )

    # Ways around a store that this entry can't reach.

    def relays(self) -> tuple[Relay, ...]:
        """Return the neighbour as a way to the store while it reaches it."""
        age_s = self._answer.store_age_s if self._answer else None
        is_fresh = self._now_s() - self._heard_s < _RELAY_FRESH_S
        if self._neighbour is None or age_s is None or not is_fresh:
            return ()
        return (self._relay_call,) if age_s < _RELAY_FRESH_S else ()

    async def _relay_call(
        self, call: StoreCall, timeout_s: float
    ) -> Response | Refusal:
        address = self._address_of_member(self._neighbour or "")
        question = RelayCall(call.method, call.target, call.body, timeout_s)
        answer = await self._links.call(address, question, timeout_s)
        if isinstance(answer, RelayAnswer):
            return Response(answer.status, (), answer.body)
        assert isinstance(answer, Refusal)
        return answer

    # The neighbour.

    async def watch_neighbour(self) -> None:
        """Probe the entry before this one, and take its jobs over if it is lost."""
        await self.members.is_synced.wait()
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            name = neighbour_of(self._node, self.members.entries)
            if name != self._neighbour:
                self._neighbour, self._answer = name, None
                self._heard_s = self._now_s()
            if name is not None:
                await self._probe_neighbour(name)

    async def _probe_neighbour(self, name: str) -> None:
        address = self._address_of_member(name)
        answer = await self._links.call(address, Probe(), PROBE_TIMEOUT_S)
        if isinstance(answer, ProbeAnswer):
            self._answer = answer
            self._heard_s = self._now_s()
        elif isinstance(answer, Refusal) and not answer.did_not_run:
            # A link that has fallen silent is opened anew at the next probe.
            await self._links.forget(address)
        view = NeighbourView(
            self._heard_s,
            self._answer.store_age_s if self._answer else None,
            self._store.age_s or 0.0,
        )
        if is_lost(view, self._now_s()):
            self._log.warning(
                "entry-lost",
                entry=name,
                silent_s=round(self._now_s() - self._heard_s, 3),
            )
            await self._inherit(name, is_alive=False)
            known = self.members.entries.get(name)
            if known is not None:
                await self._store.delete(ENTRY_KIND, name, known.revision)
        elif is_storeless(view):
            await self._inherit(name, is_alive=True)

    async def _inherit(self, node: str, is_alive: bool) -> None:
        for state in tuple(self._ledger.jobs.values()):
            if state.is_open and node_of(state.owner) == node:
                await self.take_over(state, self._owner.name, is_alive)

    async def sweep(self) -> None:
        """Take over jobs whose owner isn't listed and whose heir is this entry."""
        await self.members.is_synced.wait()
        while True:
            await asyncio.sleep(_SWEEP_S)
            listed = {
                f"{name}@{entry.value['address']}"
                for name, entry in self.members.entries.items()
            }
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
                heir = heir_of(node_of(state.owner), self.members.entries)
                if is_old and heir == self._node:
                    await self.take_over(state, self._owner.name, False)

    def answers_for(self, state: JobState) -> bool:
        """Whether this entry owns a job, or is heir of an owner that is gone."""
        owner = node_of(state.owner)
        if owner in self.members.entries:
            return owner == self._node
        return heir_of(owner, self.members.entries) == self._node

    async def take_over(self, state: JobState, owner: str, can_ask: bool) -> None:
        """Write a job's new owner; of two that try, the store takes one.

        ``can_ask`` tells whether the earlier owner lives and can hand texts over.
        """
        name = str(RecordName(state.id, RecordKind.OWNER))
        value = {"owner": owner, "earlier": state.owner if can_ask else ""}
        revision = state.owner_revision
        if revision:
            stored = await self._store.replace(JOB_KIND, name, value, revision)
        else:
            stored = await self._store.create(JOB_KIND, name, value, 1.0)
        self._log.info(
            "job-owner-changed",
            job=state.id,
            owner=owner,
            earlier=state.owner,
            outcome=stored.reason if isinstance(stored, Refusal) else "written",
        )
        if isinstance(stored, Entry):
            earlier = state.owner
            self._ledger.take(stored, False)
            await asyncio.gather(
                *(self.tell_owner(name, stored) for name in (owner, earlier))
            )

    async def hand_over(self) -> None:
        """Give this entry's jobs to another one, as at a planned stop."""
        self.is_leaving = True
        moves = [
            self.take_over(
                run.state, self.home_for(run.upstream, run.job.model, 0), True
            )
            for run in tuple(self._owner.runs.values())
        ]
        await asyncio.gather(*moves)
