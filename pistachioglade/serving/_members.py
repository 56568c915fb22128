"""Keeps this entry on the list of entries, and chooses the owners of new jobs."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any, Final

import attrs

from ..decisions import (
    FULL_POLICY,
    Mechanism,
    Policy,
    choose_job_owner,
    engines_preferred_by_others,
    fallback_entry_of,
    owner_candidates,
)
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import Instance
from ..forwarding import FleetView
from ..logs import logger
from ..platform import Entry, is_integer
from ..store import Mirror, StoreClient

#: Kind of the objects by which entries list themselves in the store.
ENTRY_KIND: Final = "pistachioglade-entries"
#: Delay between watches of the list of entries. A rolling restart changes the list
#: several times in a row, and probes detect a lost entry sooner than the watch.
_MEMBERS_GATHER_S: Final = 0.8
#: Pause before this entry's listing is checked or a failed write is retried.
_LISTING_PAUSE_S: Final = 0.5
#: Number of the set of messages that this build knows. An entry of an earlier build,
#: whose listing has a lower number or none, refuses and logs the messages that were
#: added since.
_KNOWN_MESSAGES: Final = 3
#: Numbers of the sets that added the messages about configurations and duties, and
#: those about the load of instances.
_DUTY_MESSAGES: Final = 2
_LOAD_MESSAGES: Final = 3
#: Time for which an entry that didn't answer gets no new jobs. By then three probes by
#: the ring neighbour have failed, and the neighbour has removed the listing.
_UNREACHABLE_COOLDOWN_S: Final = 3.0
#: Time for which an entry that is no longer listed may still serve callers. A neighbour
#: removes the listing of an entry that answers late, and that entry can't list itself
#: again while the store is down.
_MAY_SERVE_UNLISTED_S: Final = 60.0


@attrs.frozen
class Listing:
    """The stored description of an entry."""

    # Address at which the entry accepts links.
    address: str
    # Capacity for running samples, in processor cores.
    capacity: float
    # Failure domain; empty in the listings of builds that name none.
    domain: str = ""
    # Number of the set of messages that the entry knows.
    messages: int = 1


def decode_listing(value: Any) -> Listing | Refusal:
    """Return the listing in an object's value, or a refusal if it is unreadable."""
    fields = value if isinstance(value, Mapping) else {}
    address, capacity = fields.get("address"), fields.get("capacity")
    is_number = isinstance(capacity, int | float) and not isinstance(capacity, bool)
    if not isinstance(address, str) or not address or not is_number:
        return refuse(ErrorKind.UNREADABLE, "a listing without address or capacity")
    assert isinstance(capacity, int | float)
    domain, messages = fields.get("domain"), fields.get("messages")
    return Listing(
        address,
        float(capacity),
        domain if isinstance(domain, str) else "",
        messages if is_integer(messages) else 1,
    )


class Members:
    """Lists this entry, knows the other entries and chooses job owners among them."""

    def __init__(
        self,
        node: str,
        address: str,
        capacity: float,
        boot: str,
        store: StoreClient,
        view: FleetView,
        policy: Policy = FULL_POLICY,
        domain: str = "",
    ) -> None:
        self._uses_common_owner = policy.uses(Mechanism.ONE_HOME)
        # Node name of this entry.
        self.node = node
        # Name of this entry as an owner of jobs: node name and link address.
        self.own_name = f"{node}@{address}"
        self._own_value = {
            "address": address,
            "boot": boot,
            "capacity": capacity,
            "domain": domain,
            "messages": _KNOWN_MESSAGES,
        }
        self._store = store
        self._view = view
        self._log = logger(__name__)
        self._cooldown_until_s: dict[str, float] = {}
        # Readable listings of entries by node.
        self._listings: dict[str, Listing] = {}
        # Monotonic times at which listings were removed, in seconds, by owner name.
        self._removed_s: dict[str, float] = {}
        # Revisions of deleted listings by node; the mirror may still contain them.
        self._removed_revisions: dict[str, int] = {}
        # Copy of the store's list of entries, by node.
        self.mirror = Mirror(
            store,
            ENTRY_KIND,
            self._apply_change,
            batch_window_s=lambda: _MEMBERS_GATHER_S,
            may_be_stale=lambda: True,
        )
        # Whether the process is shutting down.
        self.is_leaving = False

    def set_capacity(self, capacity: float) -> None:
        """Change the capacity of this entry; the stored listing is updated later."""
        self._own_value = {**self._own_value, "capacity": capacity}

    def _apply_change(self, entry: Entry, is_removed: bool) -> None:
        decoded = None if is_removed else decode_listing(entry.value)
        if isinstance(decoded, Refusal):
            self._log.error("entry-refused", entry=entry.name, reason=decoded.reason)
            decoded = None
        known = self._listings.get(entry.name)
        if known is not None and (decoded is None or decoded.address != known.address):
            owner = f"{entry.name}@{known.address}"
            self._removed_s[owner] = asyncio.get_running_loop().time()
        if decoded is None:
            self._listings.pop(entry.name, None)
        else:
            self._listings[entry.name] = decoded
        self._log.info("entry-gone" if is_removed else "entry-listed", entry=entry.name)

    async def maintain_listing(self) -> None:
        """Keep this entry listed, also after another entry has removed its listing."""
        await self.mirror.is_synced.wait()
        while not self.is_leaving:
            own_value = self._own_value
            known = self.mirror.entries.get(self.node)
            if known is None:
                stored = await self._store.create(ENTRY_KIND, self.node, own_value, 2.0)
            elif known.value != own_value:
                stored = await self._store.replace(
                    ENTRY_KIND, self.node, own_value, known.revision
                )
            else:
                await asyncio.sleep(_LISTING_PAUSE_S)
                continue
            if isinstance(stored, Entry):
                self.mirror.apply_newer(stored)
            else:
                await asyncio.sleep(_LISTING_PAUSE_S)

    async def remove_entry(self, node: str) -> None:
        """Remove an entry from the list, unless the entry has listed itself anew."""
        known = self.mirror.entries.get(node)
        if known is None or self._removed_revisions.get(node) == known.revision:
            return
        refusal = await self._store.delete(ENTRY_KIND, node, known.revision)
        if refusal is None or refusal.kind in (ErrorKind.NOT_FOUND, ErrorKind.CONFLICT):
            self._removed_revisions[node] = known.revision
        else:
            self._log.info("entry-not-removed", entry=node, reason=refusal.reason)

    @property
    def names(self) -> tuple[str, ...]:
        """The node names of all listed entries."""
        return tuple(self._listings)

    @property
    def current(self) -> CurrentEntries:
        """The entries that know the messages about configurations and duties."""
        return CurrentEntries(self, _DUTY_MESSAGES)

    @property
    def load_peers(self) -> CurrentEntries:
        """The entries that know the messages about the load of instances."""
        return CurrentEntries(self, _LOAD_MESSAGES)

    def knows_messages(self, node: str, message_set: int) -> bool:
        """Whether an entry knows the messages of a set and of all earlier sets."""
        listing = self._listings.get(node)
        return listing is not None and listing.messages >= message_set

    @property
    def domains(self) -> dict[str, str]:
        """The failure domain of each listed entry, by node name."""
        return {name: listing.domain for name, listing in self._listings.items()}

    @property
    def owner_names(self) -> set[str]:
        """The listed entries' names as owners of jobs."""
        return {f"{name}@{self.address_of_node(name)}" for name in self.names}

    def names_that_may_serve(self) -> set[str]:
        """Return the names, as owners of jobs, of the other entries that may serve.

        These are the listed entries and those whose listings were removed lately.
        """
        since_s = asyncio.get_running_loop().time() - _MAY_SERVE_UNLISTED_S
        self._removed_s = {
            name: at_s for name, at_s in self._removed_s.items() if at_s > since_s
        }
        return (self.owner_names | self._removed_s.keys()) - {self.own_name}

    def address_of_node(self, node: str) -> str:
        """Return the address of an entry; empty if it isn't listed."""
        listing = self._listings.get(node)
        return "" if listing is None else listing.address

    def capacity_of_node(self, node: str) -> float:
        """Return the capacity of an entry in cores; 0 if it isn't listed."""
        listing = self._listings.get(node)
        return 0.0 if listing is None else listing.capacity

    def record_unreachable(self, node: str) -> None:
        """Exclude an entry that didn't answer from new jobs for a cooldown."""
        now_s = asyncio.get_running_loop().time()
        self._cooldown_until_s[node] = now_s + _UNREACHABLE_COOLDOWN_S

    def record_reachable(self, node: str) -> None:
        """End the cooldown of an entry, since the entry has answered."""
        self._cooldown_until_s.pop(node, None)

    def _is_reachable(self, node: str) -> bool:
        now_s = asyncio.get_running_loop().time()
        return now_s >= self._cooldown_until_s.get(node, now_s)

    def _owner_candidates(self, upstream: str) -> tuple[str, ...]:
        capacities = {
            name: listing.capacity
            for name, listing in self._listings.items()
            if self._is_reachable(name) and not (self.is_leaving and name == self.node)
        }
        slots = sum(item.slots for item in self._view.open_instances(upstream))
        return owner_candidates(upstream, slots, capacities)

    def choose_owner(self, upstream: str, model: str, step: int) -> str:
        """Return the owner's name for a new job; this entry if none can be chosen."""
        if not self._uses_common_owner:
            return self.own_name
        configuration = self._view.configuration
        known = configuration.upstreams.get(upstream) if configuration else None
        models = sorted(known.models) if known else []
        owner = choose_job_owner(self._owner_candidates(upstream), models, model, step)
        if owner is None:
            return self.own_name
        return f"{owner}@{self.address_of_node(owner)}"

    def engines_preferred_by_others(self, upstream: str) -> frozenset[str]:
        """Return the ids of engines that other owners of an upstream's jobs prefer."""
        engines = {
            f"{item.host}:{item.port}": item.id
            for item in self._view.open_instances(upstream)
        }
        others = engines_preferred_by_others(
            self.node, self._owner_candidates(upstream), engines
        )
        return frozenset(engines[address] for address in others)

    def choose_fallback_entry(self, instance: Instance) -> str:
        """Return the fallback entry of an engine.

        The fallback entry sends load orders to an engine whose own engine program can't
        be reached.
        """
        reachable = (
            name
            for name in self._listings
            if self._is_reachable(name) and not (self.is_leaving and name == self.node)
        )
        address = f"{instance.host}:{instance.port}"
        return fallback_entry_of(address, reachable) or self.node

    def is_announcer(self, upstream: str, model: str) -> bool:
        """Whether this entry announces a model's versions."""
        return self.choose_owner(upstream, model, 0) == self.own_name


class CurrentEntries:
    """The listed entries without those of earlier builds."""

    def __init__(self, members: Members, message_set: int) -> None:
        self._members = members
        # Number of the set of messages that the entries have to know.
        self._message_set = message_set
        # Node name of this entry.
        self.node = members.node

    @property
    def names(self) -> tuple[str, ...]:
        """The node names of the entries."""
        return tuple(
            name
            for name in self._members.names
            if self._members.knows_messages(name, self._message_set)
        )

    @property
    def domains(self) -> dict[str, str]:
        """The failure domain of each entry, by node name."""
        domains = self._members.domains
        return {name: domains[name] for name in self.names}

    def address_of_node(self, node: str) -> str:
        """Return the address of an entry; empty if it isn't listed."""
        return self._members.address_of_node(node)
