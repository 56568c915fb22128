"""Faults and their seeded schedule."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from functools import singledispatch
from typing import Any, Final

import attrs

from ..config import UpstreamKind
from ._cluster import Cluster
from ._relays import RelayState

_FREEZE_S: Final = (1.0, 11.0)
_OUTAGE_S: Final = (2.0, 10.0)
_DOWN_S: Final = (0.5, 4.0)


@attrs.frozen
class Kill:
    """End a process at once; start it again later."""

    # Process.
    name: str
    # Time until it is started again.
    for_s: float


@attrs.frozen
class Freeze:
    """Stop a process without its knowledge, then let it go on."""

    # Process.
    name: str
    # Time that it stands still.
    for_s: float


@attrs.frozen
class Cut:
    """Cut or stall the links to a node."""

    # Node.
    name: str
    # What its relay does.
    state: RelayState
    # For how long.
    for_s: float


@attrs.frozen
class PlannedStop:
    """Stop a node in order; start it again later."""

    # Node.
    name: str
    # Time until it is started again.
    for_s: float


@attrs.frozen
class Script:
    """Script faults at a stand-in."""

    # Stand-in.
    name: str
    # Fault fields to set.
    fields: dict[str, Any]
    # Fault fields that end it.
    undo: dict[str, Any]
    # For how long.
    for_s: float


@attrs.frozen
class Race:
    """Two operators apply different files at the same moment."""

    # Tells the two files apart from those of other races.
    number: int
    # A race is over at once.
    for_s: float = 0.0


@attrs.frozen
class KillTrainer:
    """End a trainer; it goes on from its checkpoint."""

    # Place of the trainer in the deployment.
    number: int
    # A kill is over at once.
    for_s: float = 0.0


Fault = Kill | Freeze | Cut | PlannedStop | Script | Race | KillTrainer


@attrs.frozen
class TimedFault:
    """A fault and its time."""

    # Time from the start of the run.
    at_s: float
    # The fault.
    fault: Fault


@singledispatch
def begin(fault: Any, cluster: Cluster) -> None:
    """Bring a fault about."""
    raise TypeError(f"no fault: {fault!r}")


@begin.register
def _(fault: Kill, cluster: Cluster) -> None:
    cluster.kill(fault.name)


@begin.register
def _(fault: Freeze, cluster: Cluster) -> None:
    cluster.freeze(fault.name)


@begin.register
def _(fault: Cut, cluster: Cluster) -> None:
    cluster.relays.set_state(fault.name, fault.state)


@begin.register
def _(fault: PlannedStop, cluster: Cluster) -> None:
    cluster.ask_to_stop(fault.name)


@begin.register
def _(fault: Script, cluster: Cluster) -> None:
    cluster.request(fault.name, "POST", "/control/faults", fault.fields)


@singledispatch
def end(fault: Any, cluster: Cluster) -> None:
    """Undo a fault."""
    raise TypeError(f"no fault: {fault!r}")


@end.register
def _(fault: Kill, cluster: Cluster) -> None:
    cluster.restart(fault.name)


@end.register
def _(fault: Freeze, cluster: Cluster) -> None:
    cluster.thaw(fault.name)


@end.register
def _(fault: Cut, cluster: Cluster) -> None:
    cluster.relays.set_state(fault.name, RelayState.OPEN)


@end.register
def _(fault: PlannedStop, cluster: Cluster) -> None:
    cluster.stop(fault.name)
    cluster.restart(fault.name)


@end.register
def _(fault: Script, cluster: Cluster) -> None:
    cluster.request(fault.name, "POST", "/control/faults", fault.undo)


class _Maker:
    """Draws faults for one cluster."""

    def __init__(self, cluster: Cluster, rng: random.Random) -> None:
        plans = cluster.deployment.upstreams
        self._rng = rng
        self._nodes = (*cluster.names("entry-"), *cluster.upstream_of)
        self._engines = self._instances(cluster, plans, UpstreamKind.ENGINE)
        self._services = self._instances(cluster, plans, UpstreamKind.SERVICE)
        self._trainers = len(cluster.deployment.trainers)
        self._races = 0

    @staticmethod
    def _instances(
        cluster: Cluster, plans: Sequence[Any], kind: UpstreamKind
    ) -> list[str]:
        return [
            name.removeprefix("agent-")
            for plan in plans
            if plan.kind is kind
            for name in cluster.agents_of(plan.name)
        ]

    def draw(self) -> Fault:
        makers: list[Callable[[], Fault]] = [
            self._kill,
            self._kill,
            self._freeze,
            self._freeze,
            self._cut,
            self._planned_stop,
            self._object_api,
            self._object_api,
            self._engine,
            self._service,
            self._race,
            self._kill_trainer,
        ]
        return self._rng.choice(makers)()

    def _choose(
        self, pairs: list[tuple[dict[str, Any], dict[str, Any]]]
    ) -> tuple[dict[str, Any], dict[str, Any]]:
        return self._rng.choice(pairs)

    def _down_s(self) -> float:
        return self._rng.uniform(*_DOWN_S)

    def _kill(self) -> Fault:
        names = [*self._nodes, *self._engines, *self._services]
        return Kill(self._rng.choice(names), self._down_s())

    def _freeze(self) -> Fault:
        names = [*self._nodes, *self._engines, *self._services]
        return Freeze(self._rng.choice(names), self._rng.uniform(*_FREEZE_S))

    def _cut(self) -> Fault:
        state = self._rng.choice([RelayState.CUT, RelayState.STALLED])
        name = self._rng.choice(self._nodes)
        return Cut(name, state, self._rng.uniform(*_OUTAGE_S))

    def _planned_stop(self) -> Fault:
        return PlannedStop(self._rng.choice(self._nodes), self._down_s())

    def _object_api(self) -> Fault:
        fields, undo = self._choose(
            [
                ({"down": True}, {"down": False}),
                ({"slow_s": 1.0}, {"slow_s": 0.0}),
                ({"lose_answers": 3}, {"lose_answers": 0}),
            ]
        )
        return Script("object-api", fields, undo, self._rng.uniform(*_OUTAGE_S))

    def _engine(self) -> Fault:
        fields, undo = self._choose(
            [
                ({"truncate": 3}, {"truncate": 0}),
                ({"slow_factor": 6.0}, {"slow_factor": 1.0}),
                ({"fail_swaps": 2}, {"fail_swaps": 0}),
                ({"ignore_swaps": 1}, {"ignore_swaps": 0}),
            ]
        )
        name = self._rng.choice(self._engines)
        return Script(name, fields, undo, self._rng.uniform(*_OUTAGE_S))

    def _service(self) -> Fault:
        fields, undo = self._choose(
            [
                ({"truncate": 5}, {"truncate": 0}),
                ({"shuffle": 5}, {"shuffle": 0}),
                ({"slow_s": 3.0}, {"slow_s": 0.0}),
                ({"fail": 5}, {"fail": 0}),
            ]
        )
        name = self._rng.choice(self._services)
        return Script(name, fields, undo, self._rng.uniform(*_OUTAGE_S))

    def _race(self) -> Fault:
        self._races += 1
        return Race(self._races)

    def _kill_trainer(self) -> Fault:
        return KillTrainer(self._rng.randrange(self._trainers))


def make_schedule(
    cluster: Cluster, seed: int, duration_s: float, gap_s: float
) -> tuple[TimedFault, ...]:
    """Return the faults of a seed, ``gap_s`` apart in the mean.

    The same seed gives the same faults.
    """
    rng = random.Random(seed)
    maker = _Maker(cluster, rng)
    schedule = []
    at_s = rng.expovariate(1 / gap_s)
    while at_s < duration_s:
        schedule.append(TimedFault(at_s, maker.draw()))
        at_s += rng.expovariate(1 / gap_s)
    return tuple(schedule)
