"""Answers messages of other entries by the type of the message."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatch
from inspect import isawaitable
from typing import Any

from ..errors import ErrorKind, Refusal, refuse
from ..links import Peer


def _refuse_unknown(message: Any) -> Refusal:
    return refuse(ErrorKind.BAD_REQUEST, f"not for entries: {message!r:.80}")


class EntryMessages:
    """Passes each message to the component that answers its type."""

    def __init__(self) -> None:
        self._answer_for_type = singledispatch(_refuse_unknown)

    def register(self, message_type: type, answer: Callable[[Any], Any]) -> None:
        """Let ``answer``, which may be a coroutine function, answer a type."""
        self._answer_for_type.register(message_type, answer)

    async def answer(self, message: Any, peer: Peer) -> Any:
        """Answer one message."""
        found = self._answer_for_type(message)
        return await found if isawaitable(found) else found
