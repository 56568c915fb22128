"""Faults of a cluster and their seeded schedule."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from functools import singledispatch
from typing import Any, Final

import attrs

from ..config import UpstreamKind
from ._cluster import Cluster
from ._relays import RelayState

_FREEZE_RANGE_S: Final = (1.0, 11.0)
_OUTAGE_RANGE_S: Final = (2.0, 10.0)
_DOWN_RANGE_S: Final = (0.5, 4.0)


@attrs.frozen
class Kill:
    """Kill a process; restart the process later."""

    # Name of the process.
    name: str
    # Time until the restart, in seconds.
    for_s: float


@attrs.frozen
class Freeze:
    """Suspend a process and resume it later."""

    # Name of the process.
    name: str
    # Duration of the suspension, in seconds.
    for_s: float


@attrs.frozen
class Cut:
    """Cut or stall the links to a node."""

    # Name of the node.
    name: str
    # State of the node's relay.
    state: RelayState
    # Duration, in seconds.
    for_s: float


@attrs.frozen
class PlannedStop:
    """Shut a node down gracefully; restart the node later."""

    # Name of the node.
    name: str
    # Time until the restart, in seconds.
    for_s: float


@attrs.frozen
class Script:
    """Set scripted faults at a stand-in."""

    # Name of the stand-in.
    name: str
    # Fault fields to set.
    fields: dict[str, Any]
    # Fault fields to set at the end.
    undo: dict[str, Any]
    # Duration, in seconds.
    for_s: float


@attrs.frozen
class Race:
    """Two operators apply different files at the same time."""

    # Serial number, which makes the files differ from the files of other races.
    number: int
    # Duration in seconds; a race has none.
    for_s: float = 0.0


@attrs.frozen
class KillTrainer:
    """Kill a trainer, which resumes from its checkpoint."""

    # Index of the trainer in the deployment.
    number: int
    # Duration in seconds; a kill of a trainer has none.
    for_s: float = 0.0


Fault = Kill | Freeze | Cut | PlannedStop | Script | Race | KillTrainer


@attrs.frozen
class TimedFault:
    """A fault and its start time."""

    # Time from the start of the run, in seconds.
    at_s: float
    # Fault to begin.
    fault: Fault


@singledispatch
def begin(fault: Any, cluster: Cluster) -> None:
    """Begin a fault."""
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
    """End a fault."""
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


class _FaultGenerator:
    """Draws random faults for one cluster."""

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

    def _choose_fields(
        self, pairs: list[tuple[dict[str, Any], dict[str, Any]]]
    ) -> tuple[dict[str, Any], dict[str, Any]]:
        return self._rng.choice(pairs)

    def _draw_down_s(self) -> float:
        return self._rng.uniform(*_DOWN_RANGE_S)

    def _kill(self) -> Fault:
        names = [*self._nodes, *self._engines, *self._services]
        return Kill(self._rng.choice(names), self._draw_down_s())

    def _freeze(self) -> Fault:
        names = [*self._nodes, *self._engines, *self._services]
        return Freeze(self._rng.choice(names), self._rng.uniform(*_FREEZE_RANGE_S))

    def _cut(self) -> Fault:
        state = self._rng.choice([RelayState.CUT, RelayState.STALLED])
        name = self._rng.choice(self._nodes)
        return Cut(name, state, self._rng.uniform(*_OUTAGE_RANGE_S))

    def _planned_stop(self) -> Fault:
        return PlannedStop(self._rng.choice(self._nodes), self._draw_down_s())

    def _object_api(self) -> Fault:
        fields, undo = self._choose_fields(
            [
                ({"down": True}, {"down": False}),
                ({"slow_s": 1.0}, {"slow_s": 0.0}),
                ({"lose_answers": 3}, {"lose_answers": 0}),
            ]
        )
        return Script("object-api", fields, undo, self._rng.uniform(*_OUTAGE_RANGE_S))

    def _engine(self) -> Fault:
        fields, undo = self._choose_fields(
            [
                ({"truncate": 3}, {"truncate": 0}),
                ({"slow_factor": 6.0}, {"slow_factor": 1.0}),
                ({"fail_swaps": 2}, {"fail_swaps": 0}),
                ({"ignore_swaps": 1}, {"ignore_swaps": 0}),
            ]
        )
        name = self._rng.choice(self._engines)
        return Script(name, fields, undo, self._rng.uniform(*_OUTAGE_RANGE_S))

    def _service(self) -> Fault:
        fields, undo = self._choose_fields(
            [
                ({"truncate": 5}, {"truncate": 0}),
                ({"shuffle": 5}, {"shuffle": 0}),
                ({"slow_s": 3.0}, {"slow_s": 0.0}),
                ({"fail": 5}, {"fail": 0}),
            ]
        )
        name = self._rng.choice(self._services)
        return Script(name, fields, undo, self._rng.uniform(*_OUTAGE_RANGE_S))

    def _race(self) -> Fault:
        self._races += 1
        return Race(self._races)

    def _kill_trainer(self) -> Fault:
        return KillTrainer(self._rng.randrange(self._trainers))


def make_schedule(
    cluster: Cluster, seed: int, duration_s: float, gap_s: float
) -> tuple[TimedFault, ...]:
    """Return the faults of a seed, with a mean gap of ``gap_s`` seconds.

    The same seed gives the same faults.
    """
    rng = random.Random(seed)
    generator = _FaultGenerator(cluster, rng)
    schedule = []
    at_s = rng.expovariate(1 / gap_s)
    while at_s < duration_s:
        schedule.append(TimedFault(at_s, generator.draw()))
        at_s += rng.expovariate(1 / gap_s)
    return tuple(schedule)
