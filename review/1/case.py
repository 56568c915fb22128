"""A planned stop cuts off requests that would end before the grace period does."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    ATTEMPT,
    DEADLINE,
    HOST,
    Answer,
    Instance,
    Record,
    call,
    has_trouble,
    platform,
    play,
)

#: The bound `grace-period-s` of the settings.
GRACE_S = 8.0
#: Last sixth of the grace period: an engine still at work then is an excuse.
EXCUSED_FROM_S = GRACE_S * 5.0 / 6.0
#: Time from the requests to the SIGTERM.
LEAD_S = 0.5
#: Time from the SIGTERM to the end of the engines' work.
ENDS_AFTER_S = 6.54
EVENTS = 32


def route(name: str, kind: str, service: str) -> dict[str, Any]:
    """Return a route whose time-out is the one of the site's rollouts."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "type": kind,
        "service": service,
        "timeout-ms": 10000,
        "target-latency-ms": 400,
        "max-attempts": 3,
        "priority": 1,
    }


async def case(record: Record) -> int:
    """Return 1 if an answer was cut off without an excuse."""
    async with platform(record) as found:
        work_s = LEAD_S + ENDS_AFTER_S
        for number in range(2):
            app = Instance(record, f"i-app-{number}", "app", work_s=work_s)
            await found.add_instance(app)
        engine = Instance(
            record, "i-lm", "lm", model="m", work_s=work_s / EVENTS, events=EVENTS
        )
        await found.add_instance(engine)
        models = {"slots": 8, "stride": 57, "models": [{"name": "m"}]}
        service = {"health-path": "/health", "max-connections": 130}
        found.configure(
            1,
            [
                route("billed", "non_idempotent", "app"),
                route("stream", "streaming", "lm"),
            ],
            [
                {"name": "app", **service},
                {"name": "lm", "engine-id": models, **service},
            ],
        )
        for name in ("frontend-a", "frontend-b"):
            await found.add_entry(name)
        for program in found.programs:
            await program.wait_until_ready()
        await asyncio.sleep(3.2)
        entry = found.programs[0]
        answers: dict[str, Answer] = {}
        ended_s: dict[str, float] = {}

        async def ask(name: str) -> None:
            fields = {ATTEMPT: f"{name}-1", DEADLINE: "12000"}
            record.add("sent", id=f"{name}-1", to=entry.name)
            answer = await call(entry.address, "POST", f"/{name}/x", fields, b"body")
            answers[name] = answer
            ended_s[name] = record.add(
                "answered" if answer.is_whole else "cut-off",
                id=f"{name}-1",
                status=answer.status,
                bytes=len(answer.body),
            )

        asked = [asyncio.create_task(ask(n)) for n in ("billed", "stream")]
        await asyncio.sleep(LEAD_S)
        term_s = record.now_s()
        if has_trouble():
            record.add("SIGTERM", to=entry.name)
            entry.signal(signal.SIGTERM)
        await asyncio.gather(*asked)
        broken = 0
        for name, answer in answers.items():
            at_s = ended_s[name] - term_s
            is_good = answer.is_whole and answer.status == 200
            is_excused = not is_good and at_s >= EXCUSED_FROM_S
            broken += not is_good and not is_excused
            record.add(
                "judged",
                id=f"{name}-1",
                ended_after_sigterm_s=round(at_s, 3),
                whole=is_good,
                excused=is_excused,
            )
        return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(play(str(Path(__file__).parent), case))
