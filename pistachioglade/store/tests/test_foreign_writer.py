"""Copies of lists that contain unreadable objects of another writer.

Guards against a copy whose task ends at an object without a name or at bytes that are
not JSON: the node would use an outdated list until its next start.
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
from .scripted import ScriptedRoute, ScriptedStore, run_virtual

#: Time within which a copy has to be correct again: two pauses and three answers.
_CORRECT_WITHIN_S = 3.0


@attrs.frozen
class _Copy:
    store: ScriptedStore
    mirror: Mirror

    async def becomes_correct(self) -> bool:
        """Whether the copy holds all named objects after ``_CORRECT_WITHIN_S``."""
        await asyncio.sleep(_CORRECT_WITHIN_S)
        named = {
            name
            for (_, name), fields in self.store._objects.items()
            if isinstance(fields, dict) and fields.get("metadata")
        }
        return set(self.mirror.entries) == named


@asynccontextmanager
async def _running_copy(on_change: Callable[[Any, bool], None]) -> AsyncIterator[_Copy]:
    store = ScriptedStore()
    client = StoreClient("store", 1)
    client._pool = ScriptedRoute(store)  # type: ignore[assignment]
    mirror = Mirror(client, "kind", on_change)
    store.put("kind", "a", 1)
    tasks = [
        asyncio.create_task(work)
        for work in (mirror.run(), client.run_probes("k", "-"))
    ]
    try:
        await mirror.is_synced.wait()
        yield _Copy(store, mirror)
        assert not tasks[0].done()
    finally:
        for task in tasks:
            task.cancel()


def _run_case(case: Callable[[_Copy], Awaitable[None]]) -> None:
    async def work() -> None:
        async with _running_copy(lambda _entry, _is_removed: None) as copy:
            await case(copy)

    run_virtual(work)


@pytest.mark.parametrize("fields", [None, 7, [], {}, {"metadata": None}, "x" * 99])
def test_an_object_without_a_name_leaves_the_others_in_the_copy(fields: Any) -> None:
    async def case(copy: _Copy) -> None:
        copy.store.put_fields("kind", "?", fields)
        copy.store.put("kind", "b", 2)
        assert await copy.becomes_correct()
        copy.store.remove("kind", "?")
        copy.store.remove("kind", "a")
        assert await copy.becomes_correct()

    _run_case(case)


@pytest.mark.parametrize(
    "body", [b"", b"<html>", b"[]", b"{}", b'{"at": 3}', b'{"events": 3, "at": 3}']
)
def test_an_unreadable_answer_is_retried_once_a_second_and_keeps_the_copy(
    body: bytes,
) -> None:
    async def case(copy: _Copy) -> None:
        copy.store.put("kind", "b", 2)
        await asyncio.sleep(1.0)
        copy.store.corrupt_body = body
        copy.store.put("kind", "c", 3)
        await asyncio.sleep(20.0)
        # The last correct copy stays, and the store is asked once a second.
        assert set(copy.mirror.entries) >= {"a", "b"}
        assert copy.store.corrupt_answers <= 21
        copy.store.corrupt_body = None
        assert await copy.becomes_correct()

    _run_case(case)


def test_an_object_at_which_on_change_fails_leaves_the_others_in_the_copy() -> None:
    on_change: list[str] = []

    def record(entry: Any, _is_removed: bool) -> None:
        if entry.value == "poison":
            raise ZeroDivisionError
        on_change.append(entry.name)

    async def work() -> None:
        async with _running_copy(record) as copy:
            copy.store.put("kind", "b", "poison")
            copy.store.put("kind", "c", 1)
            assert await copy.becomes_correct()
            assert on_change == ["a", "c"]

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
    async def case(copy: _Copy) -> None:
        store = copy.store
        for step, name in steps:
            match step:
                case "put":
                    store.put("kind", name, step)
                case "remove" if ("kind", name) in store._objects:
                    store.remove("kind", name)
                case "nameless":
                    store.put_fields("kind", f"?{name}", {"metadata": {}})
                case "spoil":
                    store.corrupt_body = b"{"
                case "mend":
                    store.corrupt_body = None
                case "wait":
                    await asyncio.sleep(0.3)
        store.corrupt_body = None
        assert await copy.becomes_correct()

    _run_case(case)
