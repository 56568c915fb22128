"""The root controller applies only complete roots of higher generations."""

from __future__ import annotations

import asyncio

import pytest

from ...blackboard import Blackboard
from ...config import ServiceConfig, config_to_parts, digest_of
from ...messages import RootState
from .._facts import CONFIG, ROOT
from .._root import RootController

_TEXTS = config_to_parts(ServiceConfig())
_PARTS = {digest_of(text): text for text in _TEXTS.values()}


def _root(generation: int) -> RootState:
    return RootState(
        generation, {name: digest_of(text) for name, text in _TEXTS.items()}
    )


def _generations(offers: list[tuple[int, dict[str, str]]]) -> list[int]:
    """Offer roots in order; return the generation in force after each offer."""
    board = Blackboard()
    controller = RootController(board, None, None, None)  # type: ignore[arg-type]
    seen = []

    async def offer_all() -> None:
        for generation, parts in offers:
            await controller.apply_root(_root(generation), parts)
            seen.append(controller.generation)

    asyncio.run(offer_all())
    assert (board.read(CONFIG) is None) == (board.read(ROOT) is None)
    return seen


@pytest.mark.parametrize(
    ("offers", "expected"),
    [
        ([(1, _PARTS), (3, _PARTS), (2, _PARTS)], [1, 3, 3]),
        ([(5, _PARTS), (5, _PARTS), (1, _PARTS)], [5, 5, 5]),
        ([(1, {})], [0]),
        ([(1, dict.fromkeys(_PARTS, "{}"))], [0]),
        ([(1, _PARTS), (2, {}), (3, _PARTS)], [1, 1, 3]),
    ],
)
def test_only_complete_roots_of_higher_generations_are_applied(
    offers: list[tuple[int, dict[str, str]]], expected: list[int]
) -> None:
    assert _generations(offers) == expected
