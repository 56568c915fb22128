"""Typed values with change notification, owned by one event loop.

Writes happen on the loop. Reads may come from other threads, since each value
is immutable and is replaced as a whole.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import attrs

T = TypeVar("T")


@attrs.frozen(eq=False)
class Topic(Generic[T]):
    """The name and the initial value of one shared value."""

    # Name of the topic, for logs.
    name: str
    # Value before the first write.
    initial: T


class Blackboard:
    """Stores one value for each :class:`Topic` and notifies its listeners."""

    def __init__(self) -> None:
        self._values: dict[Topic[Any], Any] = {}
        self._listeners: dict[Topic[Any], list[Callable[[Any], None]]] = defaultdict(
            list
        )

    def read(self, topic: Topic[T]) -> T:
        """Return the value of ``topic``."""
        value: T = self._values.get(topic, topic.initial)
        return value

    def write(self, topic: Topic[T], value: T) -> None:
        """Replace the value of ``topic``; call its listeners if the value changed."""
        if self.read(topic) == value:
            return
        self._values[topic] = value
        for listener in tuple(self._listeners[topic]):
            listener(value)

    def follow(self, topic: Topic[T], listener: Callable[[T], None]) -> None:
        """Call ``listener`` on the loop after each change of ``topic``."""
        self._listeners[topic].append(listener)

    def signal(self, *topics: Topic[Any]) -> asyncio.Event:
        """Return an event that is set after each change of one of ``topics``."""
        event = asyncio.Event()
        for topic in topics:
            self.follow(topic, lambda _value: event.set())
        return event
