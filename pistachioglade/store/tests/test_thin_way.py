"""Large objects by way of a link that carries them, but not at once.

What users saw: steps of three trainers were late by four seconds, and others by less,
while one entry in three was cut off from the store for nine seconds. The order of
events: the home of all jobs wrote its batches by way of another entry. Small batches
came through; those of 230 kB and more were given up 14 and 15 times in a row, until the
home's own way was back, 10.8 and 11.5 s after their oldest result. The cause: each try
had 0.45 s, whatever its size; a try that was given up stayed in the link, and so did
the next ones, of all jobs at once. The evidence: `results-unwritten` (no answer within
0.45 s) beside `results-listed` of batches below 215 kB by the same way, and
`dependency-lost` with the same time at the entry on the way, whose own calls found the
link full.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from ...decisions import TryTime
from ...errors import ErrorKind, Refusal, refuse
from ...http1 import Response
from ...platform import Entry, StoreCall
from .. import StoreClient
from .scripted import Condition, ScriptedStore, ScriptedWay, now_s, run_virtual

#: Bytes a second of the link: 30 Mbit/s, passed four times by a written object.
_LINK_BYTES_PER_S = 3_750_000 / 4
#: Pause between two tries of one that writes.
_PAUSE_S = 0.15
#: Virtual time after which objects that are not written never will be.
_HANG_S = 60.0


class _ThinWay:
    """A way around with a link that carries one call after the other.

    What its caller has given up takes its time in the link all the same, and effect.
    """

    def __init__(self) -> None:
        self._free_s = 0.0
        self._made: dict[str, Any] = {}
        # Calls that were carried.
        self.carried = 0

    async def call(self, call: StoreCall, timeout_s: float) -> Response | Refusal:
        transfer_s = len(call.body) / _LINK_BYTES_PER_S
        self._free_s = max(now_s(), self._free_s) + 0.008 + transfer_s
        self.carried += 1
        answered_s = self._free_s
        if answered_s - now_s() > timeout_s:
            await asyncio.sleep(timeout_s)
            return refuse(ErrorKind.LINK_LOST, f"no answer within {timeout_s} s")
        await asyncio.sleep(answered_s - now_s())
        if call.method == "GET":
            return Response(404)
        is_new = call.body.decode() not in self._made
        self._made[call.body.decode()] = call
        return Response(201 if is_new else 409, (), call.body)


def _cut_off(around: _ThinWay) -> StoreClient:
    """Return a client whose own way is silent, with a thin one around it."""
    client = StoreClient("store", 1)
    way = ScriptedWay(ScriptedStore())
    way.turn(Condition.SILENT)
    client._pool = way  # type: ignore[assignment]
    client.relays = lambda: (around.call,)
    return client


async def _write(client: StoreClient, name: str, size_bytes: int) -> float:
    """Write an object as the results of a job are; return when it was in force."""
    try_time = TryTime()
    value = {"name": name, "text": "x" * size_bytes}
    while True:
        made = await client.create("k", name, value, within_s=0.0, try_time=try_time)
        if isinstance(made, Entry):
            return now_s()
        await asyncio.sleep(_PAUSE_S)


def _play(nodes: int, sizes_bytes: list[int]) -> float:
    """Let nodes write objects at once by one way; return when the last was in force."""

    async def work() -> float:
        around = _ThinWay()
        clients = [_cut_off(around) for _ in range(nodes)]
        beats = [asyncio.create_task(client.beat("k", "-")) for client in clients]
        await asyncio.gather(*(client.look("k", "-", 0.2) for client in clients))
        await asyncio.sleep(1.0)
        begun_s = now_s()
        writes = (
            _write(client, f"n{node}-{number}", size)
            for node, client in enumerate(clients)
            for number, size in enumerate(sizes_bytes)
        )
        async with asyncio.timeout(_HANG_S):
            done_s = await asyncio.gather(*writes)
        for beat in beats:
            beat.cancel()
        return max(done_s) - begun_s

    return run_virtual(work)


class _ForgetfulWay:
    """A way of one's own whose store does each write and loses its first answers."""

    host = "store"
    port = 1

    def __init__(self, lost_answers: int) -> None:
        self._left = lost_answers

    async def request(
        self, method: str, target: str, fields: Any, body: bytes, timeout_s: float
    ) -> Response | Refusal:
        """Make one call as a pool does."""
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(0.004)
            if method == "GET":
                return Response(404)
            if self._left:
                self._left -= 1
                await asyncio.sleep(3600)
            return Response(409, (), body)


async def _read_on(client: StoreClient) -> None:
    """Read small objects, as an entry does all the time."""
    while True:
        await client.read("k", "other")
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("size_bytes", [100, 40_000, 250_000])
@pytest.mark.parametrize("lost_answers", [1, 2, 4])
def test_answers_that_the_store_loses_cost_one_time_each(
    size_bytes: int, lost_answers: int
) -> None:
    """Small reads work all the while; that must not make the next try a longer one.

    What our own day showed: a store that lost the answers to half of the writes for
    three seconds; the third try for a batch had four seconds, and its oldest result was
    7.8 s old when it was listed, in a step of 7.5 s.
    """

    async def work() -> float:
        client = StoreClient("store", 1)
        client._pool = _ForgetfulWay(lost_answers)  # type: ignore[assignment]
        reading = asyncio.create_task(_read_on(client))
        done_s = await _write(client, "n", size_bytes)
        reading.cancel()
        return done_s

    one_time_s = 1.0 + 4 * size_bytes / _LINK_BYTES_PER_S + _PAUSE_S
    assert run_virtual(work) <= lost_answers * one_time_s + 0.3


_CASES = {
    "one-large": (1, [400_000]),
    "as-large-as-an-object": (1, [1_000_000]),
    "five-jobs": (1, [40_000, 250_000, 390_000, 250_000, 90_000]),
    "eight-jobs": (1, [250_000] * 8),
    "two-nodes": (2, [250_000] * 3),
    "three-nodes": (3, [250_000, 400_000]),
}


@pytest.mark.parametrize(("nodes", "sizes_bytes"), _CASES.values(), ids=_CASES)
def test_large_objects_are_written_within_a_few_transfers(
    nodes: int, sizes_bytes: list[int]
) -> None:
    """The bound: twice what the link needs for all of them, and two seconds.

    Each may be sent again while the time that it needs is found, and the cut that users
    see lasts nine seconds.
    """
    needed_s = nodes * sum(sizes_bytes) / _LINK_BYTES_PER_S
    assert _play(nodes, sizes_bytes) <= 2 * needed_s + 2.0
