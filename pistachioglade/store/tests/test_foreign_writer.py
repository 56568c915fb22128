"""Copies of lists in which another writer has left what can't be read.

One object without a name, or bytes that are no JSON, ended the copy's task: the node
went on for the rest of its life with a list that nobody updated any more.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from .. import Mirror, StoreClient
from .scripted import ScriptedStore, ScriptedWay, run_virtual

#: Time within which a copy has to be right again: two pauses and three answers.
_SOON_S = 3.0


@attrs.frozen
class _Copied:
    store: ScriptedStore
    mirror: Mirror

    async def is_right(self) -> bool:
        """Whether the copy soon holds the objects that have a name."""
        await asyncio.sleep(_SOON_S)
        named = {
            name
            for (_, name), fields in self.store._objects.items()
            if isinstance(fields, dict) and fields.get("metadata")
        }
        return set(self.mirror.entries) == named


@asynccontextmanager
async def _copied(taken: Callable[[Any, bool], None]) -> AsyncIterator[_Copied]:
    store = ScriptedStore()
    client = StoreClient("store", 1)
    client._pool = ScriptedWay(store)  # type: ignore[assignment]
    mirror = Mirror(client, "kind", taken)
    store.put("kind", "a", 1)
    tasks = [
        asyncio.create_task(work) for work in (mirror.run(), client.beat("k", "-"))
    ]
    try:
        await mirror.is_synced.wait()
        yield _Copied(store, mirror)
        assert not tasks[0].done()
    finally:
        for task in tasks:
            task.cancel()


def _play(case: Callable[[_Copied], Awaitable[None]]) -> None:
    async def work() -> None:
        async with _copied(lambda _entry, _is_removed: None) as copied:
            await case(copied)

    run_virtual(work)


@pytest.mark.parametrize("fields", [None, 7, [], {}, {"metadata": None}, "x" * 99])
def test_an_object_without_a_name_hurts_no_other(fields: Any) -> None:
    async def case(copied: _Copied) -> None:
        copied.store.put_whole("kind", "?", fields)
        copied.store.put("kind", "b", 2)
        assert await copied.is_right()
        copied.store.remove("kind", "?")
        copied.store.remove("kind", "a")
        assert await copied.is_right()

    _play(case)


@pytest.mark.parametrize(
    "body", [b"", b"<html>", b"[]", b"{}", b'{"at": 3}', b'{"events": 3, "at": 3}']
)
def test_bytes_that_are_no_answer_are_a_failed_call(body: bytes) -> None:
    async def case(copied: _Copied) -> None:
        copied.store.put("kind", "b", 2)
        await asyncio.sleep(1.0)
        copied.store.spoilt = body
        copied.store.put("kind", "c", 3)
        await asyncio.sleep(20.0)
        # The last good copy stays, and the store is asked once a second.
        assert set(copied.mirror.entries) >= {"a", "b"}
        assert copied.store.spoilt_answers <= 21
        copied.store.spoilt = None
        assert await copied.is_right()

    _play(case)


def test_an_object_that_its_taker_fails_at_hurts_no_other() -> None:
    taken: list[str] = []

    def take(entry: Any, _is_removed: bool) -> None:
        if entry.value == "poison":
            raise ZeroDivisionError
        taken.append(entry.name)

    async def work() -> None:
        async with _copied(take) as copied:
            copied.store.put("kind", "b", "poison")
            copied.store.put("kind", "c", 1)
            assert await copied.is_right()
            assert taken == ["a", "c"]

    run_virtual(work)


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["put", "remove", "nameless", "spoil", "mend", "wait"]),
        st.sampled_from(["a", "b", "c"]),
    ),
    max_size=12,
)


@given(_STEPS)
@settings(max_examples=60)
def test_a_copy_ends_equal_to_the_readable_objects(
    steps: list[tuple[str, str]],
) -> None:
    async def case(copied: _Copied) -> None:
        store = copied.store
        for step, name in steps:
            match step:
                case "put":
                    store.put("kind", name, step)
                case "remove" if ("kind", name) in store._objects:
                    store.remove("kind", name)
                case "nameless":
                    store.put_whole("kind", f"?{name}", {"metadata": {}})
                case "spoil":
                    store.spoilt = b"{"
                case "mend":
                    store.spoilt = None
                case "wait":
                    await asyncio.sleep(0.3)
        store.spoilt = None
        assert await copied.is_right()

    _play(case)
