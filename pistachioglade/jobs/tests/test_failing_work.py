"""A job whose work ends with an unforeseen error goes on a moment later.

Before, a job that could not begin stayed with an owner that never ran it, and one whose
results could not be listed once listed none any more.
"""

from __future__ import annotations

from typing import Any

import pytest

from ...decisions import Policy
from ...platform import Entry
from ...store.tests.served import eventually
from .. import Submission, encode_submission
from .._owner import JobOwner
from .._result_writer import ResultWriter
from .test_passing_on import Scene, play


def _fails_once(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str) -> list[str]:
    """Let the next call of a method fail; return a list that tells when it has."""
    sound = getattr(owner, name)
    failed: list[str] = []

    async def call(*arguments: Any) -> Any:
        if not failed:
            failed.append(name)
            raise ZeroDivisionError
        return await sound(*arguments)

    monkeypatch.setattr(owner, name, call)
    return failed


def _submit(scene: Scene, job_id: str) -> None:
    fields = {"model": "m", "items": [{"id": "i1", "path": "/"}]}
    submission = Submission("me@h:1", "boot", "h", "/", 0.0, fields)
    value = encode_submission(submission)
    scene.ledger.take(Entry(job_id, 2, value, None), False)


def test_a_job_that_could_not_begin_begins_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def case(scene: Scene) -> None:
        failed = _fails_once(monkeypatch, JobOwner, "_read_submission")
        _submit(scene, "second")
        await eventually(lambda: "second" in scene.owner.runs)
        assert failed

    play(case, Policy())


def test_results_are_listed_behind_a_fault_of_their_listing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def case(scene: Scene) -> None:
        scene.engine.events, scene.engine.event_s = 3, 0.005
        failed = _fails_once(monkeypatch, ResultWriter, "_write")
        _submit(scene, "second")
        await eventually(lambda: bool(scene.ledger.jobs["second"].results))
        assert failed

    play(case, Policy())
