"""The list of entries: this one on it, the others, and which runs new jobs."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any, Final

import attrs

from ..decisions import (
    FULL_POLICY,
    Mechanism,
    Policy,
    attendant_of,
    engines_of_others,
    home_of,
    homes_of,
)
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Instance
from ..forwarding import FleetView
from ..logs import logger
from ..platform import Entry
from ..store import Mirror, StoreClient

#: Kind under which entries list themselves.
ENTRY_KIND: Final = "pistachioglade-entries"
#: Time in which changes of the list of entries are gathered: several follow each other
#: when entries stop and start in turn, and probes see a death sooner.
_MEMBERS_GATHER_S: Final = 0.8
#: Pause before a listing that failed is tried again.
_ENROL_PAUSE_S: Final = 0.5
#: Time for which an entry that didn't answer gets no new jobs: until its neighbour has
#: missed three probes of it and has struck it off the list.
_UNREACHED_S: Final = 3.0


@attrs.frozen
class Listing:
    """What an entry lists of itself."""

    # Address of its links.
    address: str
    # What it can bear, against other entries.
    capacity: float


def decode_listing(value: Any) -> Listing | Refusal:
    """Return the listing in an object's value, or why there is none."""
    fields = value if isinstance(value, Mapping) else {}
    address, capacity = fields.get("address"), fields.get("capacity")
    is_number = isinstance(capacity, int | float) and not isinstance(capacity, bool)
    if not isinstance(address, str) or not address or not is_number:
        return refuse(ErrorKind.UNREADABLE, "a listing without address or capacity")
    assert isinstance(capacity, int | float)
    return Listing(address, float(capacity))


class Members:
    """Lists this entry, knows the others and chooses homes among them."""

    def __init__(
        self,
        node: str,
        address: str,
        capacity: float,
        boot: str,
        store: StoreClient,
        view: FleetView,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._has_homes = policy.uses(Mechanism.ONE_HOME)
        # Name of this entry.
        self.node = node
        # Name of this entry as an owner of jobs, with its address.
        self.own_name = f"{node}@{address}"
        self._mine = {"address": address, "boot": boot, "capacity": capacity}
        self._store = store
        self._view = view
        self._log = logger(__name__)
        self._unreached_until_s: dict[str, float] = {}
        # Entries by node, as far as their listings can be read.
        self._listings: dict[str, Listing] = {}
        # Revisions of listings that are gone, though the list here may still show them.
        self._struck: dict[str, int] = {}
        # Entries by node, as the store lists them.
        self.mirror = Mirror(
            store,
            ENTRY_KIND,
            self._changed,
            gather_s=lambda: _MEMBERS_GATHER_S,
            may_be_late=lambda: True,
        )
        # Set once the process stops.
        self.is_leaving = False

    def set_capacity(self, capacity: float) -> None:
        """Tell what this entry can bear; its listing follows."""
        self._mine = {**self._mine, "capacity": capacity}

    def _changed(self, entry: Entry, is_removed: bool) -> None:
        read = None if is_removed else decode_listing(entry.value)
        if isinstance(read, Refusal):
            self._log.error("entry-refused", entry=entry.name, reason=read.reason)
            read = None
        if read is None:
            self._listings.pop(entry.name, None)
        else:
            self._listings[entry.name] = read
        self._log.info("entry-gone" if is_removed else "entry-listed", entry=entry.name)

    async def enrol(self) -> None:
        """List this entry, again whenever another has struck it off."""
        await self.mirror.is_synced.wait()
        while not self.is_leaving:
            mine = self._mine
            known = self.mirror.entries.get(self.node)
            if known is None:
                stored = await self._store.create(ENTRY_KIND, self.node, mine, 2.0)
            elif known.value != mine:
                stored = await self._store.replace(
                    ENTRY_KIND, self.node, mine, known.revision
                )
            else:
                await asyncio.sleep(_ENROL_PAUSE_S)
                continue
            if isinstance(stored, Entry):
                self.mirror.put(stored)
            else:
                await asyncio.sleep(_ENROL_PAUSE_S)

    async def strike_off(self, node: str) -> None:
        """Take an entry off the list, if it hasn't listed itself anew meanwhile."""
        known = self.mirror.entries.get(node)
        if known is None or self._struck.get(node) == known.revision:
            return
        refusal = await self._store.delete(ENTRY_KIND, node, known.revision)
        if refusal is None or refusal.kind in (ErrorKind.NOT_FOUND, ErrorKind.CONFLICT):
            self._struck[node] = known.revision
        else:
            self._log.info("entry-not-struck-off", entry=node, reason=refusal.reason)

    @property
    def names(self) -> tuple[str, ...]:
        """The nodes on the list."""
        return tuple(self._listings)

    @property
    def owner_names(self) -> set[str]:
        """The listed entries' names as owners of jobs."""
        return {f"{name}@{self.address_of_node(name)}" for name in self.names}

    def address_of_node(self, node: str) -> str:
        """Return the address of an entry; empty if it isn't listed."""
        listing = self._listings.get(node)
        return "" if listing is None else listing.address

    def capacity_of_node(self, node: str) -> float:
        """Return what an entry can bear, in cores; 0 if it isn't listed."""
        listing = self._listings.get(node)
        return 0.0 if listing is None else listing.capacity

    def note_unreached(self, node: str) -> None:
        """Give an entry that didn't answer no new jobs for a while."""
        now_s = asyncio.get_running_loop().time()
        self._unreached_until_s[node] = now_s + _UNREACHED_S

    def note_reached(self, node: str) -> None:
        """Forget that an entry didn't answer."""
        self._unreached_until_s.pop(node, None)

    def _is_reached(self, node: str) -> bool:
        now_s = asyncio.get_running_loop().time()
        return now_s >= self._unreached_until_s.get(node, now_s)

    def _homes(self, upstream: str) -> tuple[str, ...]:
        capacities = {
            name: listing.capacity
            for name, listing in self._listings.items()
            if self._is_reached(name) and not (self.is_leaving and name == self.node)
        }
        slots = sum(item.slots for item in self._view.open_instances(upstream))
        return homes_of(upstream, slots, capacities)

    def home_for(self, upstream: str, model: str, step: int) -> str:
        """Return the owner's name for a new job: this entry if in doubt."""
        if not self._has_homes:
            return self.own_name
        configuration = self._view.configuration
        known = configuration.upstreams.get(upstream) if configuration else None
        models = sorted(known.models) if known else []
        home = home_of(self._homes(upstream), models, model, step)
        if home is None:
            return self.own_name
        return f"{home}@{self.address_of_node(home)}"

    def engines_of_others(self, upstream: str) -> frozenset[str]:
        """Return the ids of the engines that other homes of an upstream prefer."""
        engines = {
            f"{item.host}:{item.port}": item.id
            for item in self._view.open_instances(upstream)
        }
        others = engines_of_others(self.node, self._homes(upstream), engines)
        return frozenset(engines[address] for address in others)

    def attendant_of(self, instance: Instance) -> str:
        """Return the entry that orders an engine which no process beside it orders."""
        reached = (
            name
            for name in self._listings
            if self._is_reached(name) and not (self.is_leaving and name == self.node)
        )
        address = f"{instance.host}:{instance.port}"
        return attendant_of(address, reached) or self.node

    def is_home(self, upstream: str, model: str) -> bool:
        """Whether this entry announces a model's versions."""
        return self.home_for(upstream, model, 0) == self.own_name
