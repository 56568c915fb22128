"""Shares the event loop between connections whose bytes take long to parse."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

#: Longest time for parsing in one pass of the event loop, in seconds. Other requests
#: are answered between two passes.
_PASS_S: Final = 0.002
#: Most connections that are given a turn in one pass.
_TURNS_IN_PASS: Final = 8


class TurnTaker(Protocol):
    """Has work that can be done bit by bit."""

    def take_turn(self) -> bool:
        """Do a bounded part of the work; return whether there is more."""


class Turns:
    """Gives waiting connections a turn each, one after the other."""

    def __init__(self) -> None:
        self._waiting: dict[TurnTaker, None] = {}
        self._is_scheduled = False

    def add(self, taker: TurnTaker) -> None:
        """Give a turn to a connection, after those that wait."""
        self._waiting.setdefault(taker)
        self._schedule()

    def discard(self, taker: TurnTaker) -> None:
        """Forget a connection."""
        self._waiting.pop(taker, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_pass)

    def _run_pass(self) -> None:
        self._is_scheduled = False
        try:
            self._give_turns()
        finally:
            if self._waiting:
                self._schedule()

    def _give_turns(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _PASS_S
        for _ in range(min(_TURNS_IN_PASS, len(self._waiting))):
            taker = next(iter(self._waiting), None)
            if taker is None or loop.time() > end_s:
                return
            del self._waiting[taker]
            if taker.take_turn():
                self._waiting.setdefault(taker)
