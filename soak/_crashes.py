"""Soak caller whose requests crash the instances that run them."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from itertools import count
from typing import Final

import attrs

from pistachioglade.http1 import Pool, Response
from pistachioglade.platform import names
from pistachioglade.standins._fleet_instance import FleetInstance
from tests.serving import HOST, LOOKUP

from ._crash_bounds import (
    GRACE_S,
    MAX_LATE_ATTEMPTS,
    QUARANTINE_CRASHES,
    CrashRun,
    Interruption,
    OutageJudge,
)
from ._world import KEY, World

#: Time for which a request is repeated, in seconds; must exceed the grace period.
_REPEAT_S: Final = 8.0
#: Range of the pause between two attempts of a request, in seconds.
_ATTEMPT_PAUSE_S: Final = (0.05, 0.4)
#: Range of the pause before the first attempt of a request, in seconds.
_REQUEST_PAUSE_S: Final = (0.5, 2.0)
#: Time for which the caller waits for an answer, in seconds.
_CALL_TIMEOUT_S: Final = 2.0


@attrs.frozen
class Attempt:
    """One client attempt of a request."""

    # Attempt id, unique in the run.
    id: str
    # Path, unique to the request.
    path: str
    # Name of the entry that the attempt was sent to.
    entry: str
    # Send time, in seconds of the monotonic clock.
    sent_s: float


class CrashingCaller:
    """Repeats requests that crash instances, each under new ids at random entries."""

    def __init__(self, world: World, seed: int) -> None:
        self._world = world
        self._random = random.Random(f"crashes-{seed}")
        self._attempts: list[Attempt] = []
        # Time until which the current request is repeated, in seconds.
        self._until_s = 0.0

    async def run(self) -> None:
        """Send requests until cancelled."""
        for number in count(1):
            await asyncio.sleep(self._random.uniform(*_REQUEST_PAUSE_S))
            path = f"{LOOKUP}crash-{number}"
            self._world.crash_paths.add(path)
            self._until_s = asyncio.get_running_loop().time() + _REPEAT_S
            while asyncio.get_running_loop().time() < self._until_s:
                await self._call(path)
                await asyncio.sleep(self._random.uniform(*_ATTEMPT_PAUSE_S))

    def start_next_request(self) -> None:
        """End the current request; the next one follows after the usual pause.

        Before an outage of the store, ``check_late_attempts`` loses no attempt by this:
        the outage and the grace period after it outlast the time for which a request is
        repeated.
        """
        self._until_s = 0.0

    async def _call(self, path: str) -> None:
        world = self._world
        program = world.entries[self._random.choice(list(world.entries))]
        now_s = asyncio.get_running_loop().time()
        request_id = f"crash-{len(self._attempts)}"
        process = program.process
        self._attempts.append(Attempt(request_id, path, process.name, now_s))
        sent = (
            ("Host", HOST),
            (names.ATTEMPT_ID, request_id),
            (names.KEY, KEY),
            (names.DEADLINE_MS, str(int(_CALL_TIMEOUT_S * 1000))),
        )
        pool = Pool("127.0.0.1", process.port)
        try:
            answer = await pool.request("POST", path, sent, b"crash", _CALL_TIMEOUT_S)
        except TimeoutError:
            return
        finally:
            pool.close()
        if isinstance(answer, Response):
            world.counts[f"crash {answer.status}"] += 1
            if answer.status == 200:
                world.record_violation(
                    f"{path} {request_id}: answered, but every instance crashes on it"
                )

    def check_late_attempts(self) -> None:
        """Check that few attempts of each request ran after its third crash."""
        crash_times_s: dict[str, list[float]] = defaultdict(list)
        for instance, at_s in self._world.crashes:
            crash_times_s[self._crashed_by(instance).path].append(at_s)
        for path, times_s in crash_times_s.items():
            if len(times_s) >= QUARANTINE_CRASHES:
                self._check_request(
                    path, sorted(times_s)[QUARANTINE_CRASHES - 1] + GRACE_S
                )

    def _crashed_by(self, instance: FleetInstance) -> Attempt:
        """Return the attempt that crashed an instance: the first that it began."""
        begun_s = instance.begun_s
        ran = (attempt for attempt in self._attempts if attempt.id in begun_s)
        return min(ran, key=lambda attempt: begun_s[attempt.id])

    def _check_request(self, path: str, grace_end_s: float) -> None:
        late = [
            attempt
            for attempt in self._attempts
            if attempt.path == path and self._counts_as_late(attempt, grace_end_s)
        ]
        if len(late) > MAX_LATE_ATTEMPTS:
            self._world.record_violation(
                f"{path}: {len(late)} attempts ran after {grace_end_s:.2f} s: {late}"
            )

    def _counts_as_late(self, attempt: Attempt, grace_end_s: float) -> bool:
        """Whether an attempt ran after the grace period via an undisturbed entry."""
        begun_s = (
            instance.begun_s.get(attempt.id, 0.0)
            for instance in self._world.fleet.instances
        )
        return max(begun_s) > grace_end_s and self._world.is_undisturbed(
            attempt.entry, attempt.sent_s, GRACE_S
        )

    def check_outages(self) -> None:
        """Check that entries share crashes while only the store is away."""
        for path in sorted(self._world.crash_paths):
            judge = self._judge(path)
            if judge is None:
                continue
            self._count_judged(path, judge)
            found = ", ".join(judge.find_violations(len(self._world.entries)))
            if found:
                self._world.record_violation(
                    f"{path} in an outage of the store: {found}: {judge.describe()}"
                )

    def _judge(self, path: str) -> OutageJudge | None:
        """Return the judge of a request's runs; None if it was never sent."""
        sent_s = [item.sent_s for item in self._attempts if item.path == path]
        if not sent_s:
            return None
        crashed_by = (
            (self._crashed_by(instance), instance, at_s)
            for instance, at_s in self._world.crashes
        )
        runs = [
            CrashRun(
                attempt.entry,
                instance.id,
                attempt.sent_s,
                instance.begun_s[attempt.id],
                at_s,
            )
            for attempt, instance, at_s in crashed_by
            if attempt.path == path
        ]
        relay_faults = (
            Interruption(*delay)
            for delay in self._world.delays
            if delay[0] in self._world.instance_relays
        )
        return OutageJudge(
            runs,
            min(sent_s),
            self._world.outages,
            [*self._world.interruptions, *relay_faults],
        )

    def _count_judged(self, path: str, judge: OutageJudge) -> None:
        """Count the attempts at which a run would have been counted."""
        for attempt in self._attempts:
            at_s = attempt.sent_s
            if (
                attempt.path != path
                or not judge.is_store_away(at_s)
                or not judge.is_connected(attempt.entry, at_s)
            ):
                continue
            if judge.count_known(at_s) >= QUARANTINE_CRASHES:
                self._world.counts["outage attempt"] += 1
            if judge.count_known(at_s, GRACE_S) >= QUARANTINE_CRASHES:
                self._world.counts["late outage attempt"] += 1
