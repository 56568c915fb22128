"""Client accounts at entries that run as processes: keys, account names, jobs."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path
from typing import Any, Final

from pistachioglade.accounts import key_digest
from pistachioglade.http1 import Pool, Response
from pistachioglade.platform import names

from .serving import (
    HOST,
    JOBS,
    LOOKUP,
    REWARD,
    Fleet,
    ServingProcess,
    configuration,
    instances_of,
    run_case,
    submission,
)

_FIRST_KEY: Final = "h5mgjy5rcpihhacrudde"
_SECOND_KEY: Final = "dev3nax7u27gxprymh2r"
_OTHER_KEY: Final = "other7u27gxprymh2raa"
#: Time within which a configuration has to be in force; with room for a busy machine.
_IN_FORCE_S: Final = 6.0


def _with_accounts(version: int, first_keys: list[str]) -> dict[str, Any]:
    accounts = [
        {"name": "first", "api-keys": first_keys, "priority": 1},
        {"name": "second", "api-keys": [_OTHER_KEY]},
    ]
    value = configuration(version, tenants=accounts)
    for route in value["routes"]:
        route["public"] = route["path-prefix"] == REWARD
    return value


async def _configure(fleet: Fleet, version: int, first_keys: list[str]) -> None:
    """Change the configuration; wait until it is in force at all live entries."""
    await fleet.configure(_with_accounts(version, first_keys))
    async with asyncio.timeout(_IN_FORCE_S):
        while not all(_has_version(entry, version) for entry in _live(fleet)):
            await asyncio.sleep(0.05)


def _live(fleet: Fleet) -> list[ServingProcess]:
    return [
        entry
        for entry in fleet.entries
        if entry.process is not None and entry.process.returncode is None
    ]


def _has_version(entry: ServingProcess, version: int) -> bool:
    lines = entry.log_lines("configuration-in-force")
    return any(line["version"] == version for line in lines)


def _key(key: str) -> dict[str, str]:
    return {names.KEY: key}


def test_a_request_runs_under_the_account_of_its_key(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        await _configure(fleet, 2, [_FIRST_KEY, _SECOND_KEY])
        entry = fleet.entries[0]
        forged = {names.ACCOUNT: "second"}
        for number, key in enumerate((_FIRST_KEY, _SECOND_KEY)):
            answer = await fleet.call(
                entry, "POST", f"{LOOKUP}x", f"q-{number}", **_key(key), **forged
            )
            assert answer.status == 200
        public = await fleet.call(entry, "POST", f"{REWARD}x", "q-2", **forged)
        assert public.status == 200
        named = [
            set().union(*(item.accounts[f"q-{n}"] for item in fleet.instances))
            for n in range(3)
        ]
        assert named == [{"first"}, {"first"}, {""}]
        for key in ("", "unknown", "k" * 10_000):
            refused = await fleet.call(entry, "POST", f"{LOOKUP}x", "q-3", **_key(key))
            assert refused.status == 401, key
        assert (await fleet.call(entry, "POST", f"{LOOKUP}x", "q-3")).status == 401
        assert not any(item.runs["q-3"] for item in fleet.instances)

    run_case(tmp_path, case)


def test_a_key_that_is_taken_away_is_refused_on_a_kept_connection(
    tmp_path: Path,
) -> None:
    async def case(fleet: Fleet) -> None:
        await _configure(fleet, 2, [_FIRST_KEY])
        pool = Pool("127.0.0.1", fleet.entries[0].port)

        async def lookup(request_id: str) -> int:
            fields = (("Host", HOST), (names.ATTEMPT_ID, request_id))
            answer = await pool.request(
                "POST", f"{LOOKUP}x", (*fields, (names.KEY, _FIRST_KEY)), b"", 5.0
            )
            assert isinstance(answer, Response), answer
            return answer.status

        assert await lookup("a") == 200
        await _configure(fleet, 3, [])
        assert await lookup("b") == 401
        await _configure(fleet, 4, [_FIRST_KEY])
        assert await lookup("c") == 200
        pool.close()

    run_case(tmp_path, case)


def test_malformed_accounts_leave_the_configuration_in_force(tmp_path: Path) -> None:
    async def case(fleet: Fleet) -> None:
        await _configure(fleet, 2, [_FIRST_KEY])
        entry = fleet.entries[0]
        await fleet.configure(configuration(3, tenants=[{"api-keys": ["any"]}]))
        async with asyncio.timeout(_IN_FORCE_S):
            while not entry.log_lines("configuration-refused"):
                await asyncio.sleep(0.05)
        for key, status in ((_FIRST_KEY, 200), ("any", 401)):
            answer = await fleet.call(entry, "POST", f"{LOOKUP}x", **_key(key))
            assert answer.status == status

    run_case(tmp_path, case)


def test_a_job_belongs_to_its_account_at_every_entry(tmp_path: Path) -> None:
    """Its key is taken away and its owner is killed while it runs."""

    async def case(fleet: Fleet) -> None:
        for engine in instances_of(fleet, "lm"):
            engine.events, engine.event_s = 60, 0.05
        await _configure(fleet, 2, [_FIRST_KEY, _SECOND_KEY])
        first, second = fleet.entries
        job, target = submission(2, 2), f"{names.JOB_PATH}job-1"
        for entry, key in ((first, _FIRST_KEY), (second, _SECOND_KEY)):
            answer = await fleet.call(
                entry, "POST", f"{JOBS}x", "job-1", job, **_key(key)
            )
            assert answer.status == 202
        await _configure(fleet, 3, [_SECOND_KEY])
        for entry in (first, second):
            statuses = {
                key: (await fleet.call(entry, "GET", target, **_key(key))).status
                for key in (_FIRST_KEY, _SECOND_KEY, _OTHER_KEY)
            }
            assert statuses == {_FIRST_KEY: 401, _SECOND_KEY: 200, _OTHER_KEY: 404}
            assert (await fleet.call(entry, "GET", target)).status == 401
            item = f"{names.ITEM_PATH}job-1?id=item-0-0"
            body = await fleet.call(entry, "GET", item, **_key(_OTHER_KEY))
            assert body.status == 404
            end = await fleet.call(entry, "DELETE", target, **_key(_OTHER_KEY))
            assert end.status == 404
            again = await fleet.call(
                entry, "POST", f"{JOBS}x", "job-1", job, **_key(_OTHER_KEY)
            )
            assert again.status == 409
        owner = next(item for item in (first, second) if _runs_job(item))
        other = second if owner is first else first
        owner.send_signal(signal.SIGKILL)
        results = await _read_all(fleet, other, 4)
        assert all(result["state"] == "completed" for result in results)
        end = await fleet.call(other, "DELETE", target, **_key(_SECOND_KEY))
        assert end.status == 200
        items = {str(result["id"]) for result in results}
        for instance in fleet.instances:
            for request_id, accounts in instance.accounts.items():
                expected = {"first"} if request_id in items else {""}
                assert accounts == expected, request_id

    run_case(tmp_path, case, entries=2)


def _runs_job(entry: ServingProcess) -> bool:
    return bool(entry.log_lines("job-run-begun"))


async def _read_all(
    fleet: Fleet, entry: ServingProcess, count: int
) -> list[dict[str, Any]]:
    async with asyncio.timeout(30.0):
        while True:
            target = f"{names.JOB_PATH}job-1?after=0"
            answer = await fleet.call(entry, "GET", target, **_key(_SECOND_KEY))
            found: list[dict[str, Any]] = (
                json.loads(answer.body)["results"] if answer.status == 200 else []
            )
            if len(found) == count:
                return found
            await asyncio.sleep(0.1)


def test_no_key_leaves_the_entry(tmp_path: Path) -> None:
    """Not in requests to instances, log lines, stored records or answers."""

    async def case(fleet: Fleet) -> None:
        await _configure(fleet, 2, [_FIRST_KEY])
        entry = fleet.entries[0]
        answers = [
            await fleet.call(entry, "POST", target, f"r-{number}", body, **_key(key))
            for key in (_FIRST_KEY, "unknown-key-of-nobody")
            for number, (target, body) in enumerate(
                (
                    (f"{LOOKUP}x", b""),
                    ("/nowhere/", b""),
                    (f"{JOBS}x", submission(1, 2)),
                    (f"{JOBS}x", b"no job"),
                )
            )
        ]
        read = f"{names.JOB_PATH}r-2?after=0"
        answers.append(await fleet.call(entry, "GET", read, **_key(_FIRST_KEY)))
        await asyncio.sleep(1.0)
        secrets = (_FIRST_KEY, "unknown-key-of-nobody")
        received = [item.received_fields for item in fleet.instances]
        stored = await _stored_text(fleet)
        texts = (entry.log.read_text(), repr(answers), repr(received), stored)
        for secret in secrets:
            assert not any(secret in text for text in texts)
        assert not any(names.KEY in text for text in texts[2:])
        # The digest is what an operator finds the key by.
        assert key_digest(_FIRST_KEY) not in repr(received)

    run_case(tmp_path, case)


async def _stored_text(fleet: Fleet) -> str:
    """Return all objects that the entry has stored."""
    client = fleet.store.client()
    kinds = ("pistachioglade-jobs", "pistachioglade-results", "pistachioglade-entries")
    return repr([await client.page(kind, "") for kind in kinds])
