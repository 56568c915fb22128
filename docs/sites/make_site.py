"""Makes a site of our own from one of the users': ``make_site.py SITE NAME OUT``.

With ``unlike-N`` as NAME, it changes by lot, by the seed N, what the users' sheets
set: speeds and steps of engines, their slots and memory, time to load, sizes of groups,
time between steps and for training, due time, rates of the store, processors. With any
other name it adds what the users' sites lack: billed calls that may run once, callers'
streams that may and may not be resumed, texts of one weight version, steps asked ahead.
With ``newest`` as NAME, trainers take nothing but the newest version. The users'
``wire.json`` has to lie beside the file that is written.
"""

from __future__ import annotations

import random
import re
import sys
from collections.abc import Callable
from pathlib import Path

#: Fields that every streaming class here has.
_STREAM = (
    'kind = "stream", aim_ms = 400, deadline_ms = 12000, worth = 0.5,'
    " late_worth = 0.1,"
    ' priority = 1, retries = 1, service = "{engines}", method = "POST",'
    " timeout_ms = 10000, attempts = 3, things = 5000, skew = 0.1,"
    " req_bytes = {{ mean = 600.0, spread = 0.0, tail = 0.0, tail_x = 1.0,"
    " max = 3600.0 }}, stream = {{"
    " pieces = {{ mean = 12.0, spread = 0.5, max = 60.0, tail = 0.0, tail_x = 5.0 }},"
    " piece_bytes = {{ mean = 320.0, spread = 0.0, tail = 0.0, tail_x = 1.0,"
    " max = 1900.0 }}, gap_aim_ms = 150.0, resume = {resume}, prompt_tokens = {{"
    " mean = 16.0, spread = 0.0, max = 64.0 }}, chain = [{{ tokens = {{ mean = 600.0,"
    " spread = 0.4, max = 1500.0 }}, things = 50 }}], token_bytes = 1.0,"
    " only = [{model}], hint = 0.5 }}"
)
_BILLED = (
    '  {{ name = "bill-post", kind = "unsafe", aim_ms = 150.0, deadline_ms = 900,'
    " worth = 0.3, late_worth = 0.05, priority = 1, retries = 1,"
    ' service = "{plain}", method = "POST", work_ms = {{ mean = 25.0, spread = 0.5,'
    " tail = 0.01, tail_x = 5, max = 190.0 }}, req_bytes = {{ mean = 600.0,"
    " spread = 0.5, tail = 0.0, tail_x = 1.0, max = 3600.0 }}, resp_bytes = {{"
    " mean = 800.0, spread = 0.5, tail = 0.0, tail_x = 1.0, max = 4800.0 }} }},\n"
)
_MIX = "4.0, bill-post = 1.0, live-answer = 0.6, dictate = 0.4"


def make_site(text: str, name: str) -> str:
    """Return the users' vjn-rollout with the classes that it lacks."""
    engines, plain = "jurist-lm", "archief-app"
    streams = "".join(
        f'  {{ name = "{label}", '
        + _STREAM.format(engines=engines, resume=resume, model=model)
        + " },\n"
        for label, resume, model in (
            ("live-answer", "true", 0),
            ("dictate", "false", 1),
        )
    )
    first = '  { name = "summary-rollout", aim_ms'
    text = text.replace('name = "vjn-rollout"', f'name = "own-{name}"', 1)
    text = text.replace(first, _BILLED.format(plain=plain) + streams + first, 1)
    text = text.replace("ruling-lookup = 6.0", f"ruling-lookup = {_MIX}")
    head, middle, tail = text.partition("ahead = 1, lag = 2")
    asked = "ahead = 2, lag = 2"
    text = head + asked + tail.replace("pure = false", "pure = true", 1)
    assert middle, "not the users' vjn-rollout"
    return text.replace("lag = 2", "lag = 1") if name == "newest" else text


def _scaled(
    text: str, field: str, lot: Callable[[], float], is_whole: bool = False
) -> str:
    """Multiply each figure of a field by the same factor."""
    factor = lot()

    def replaced(found: re.Match[str]) -> str:
        value = float(found[2]) * factor
        return f"{found[1]}{max(1, round(value)) if is_whole else round(value, 4)}"

    made, count = re.subn(rf"(\b{field} = )([\d.]+)", replaced, text)
    assert count, f"no field {field}"
    return made


def make_unlike(text: str, seed: int) -> str:
    """Return a users' site whose sheet is another one, by the seed."""
    rng = random.Random(seed)
    speeds = rng.choice(["[]", "[1.0, 1.6]", "[1.0, 0.7, 1.3]", "[1.0, 1.0, 2.0]"])
    text = re.sub(r"speeds = \[[^\]]*\]", f"speeds = {speeds}", text)
    for field in ("step_ms", "warm_s", "cpu_share"):
        text = _scaled(text, field, lambda: rng.uniform(0.7, 1.25))
    text = _scaled(text, "every_s", lambda: rng.choice([0.75, 1.0, 1.5]))
    text = _scaled(text, "run_aim_ms", lambda: rng.choice([0.8, 1.0, 1.6]))
    text = _scaled(text, "train_s", lambda: rng.choice([0.5, 1.0, 2.0]))
    for field in ("batch", "kv_tokens", "writes_per_s", "reads_per_s"):
        text = _scaled(text, field, lambda: rng.choice([0.75, 1.0, 1.5]), True)
    groups = rng.choice([0.5, 1.0])
    text = _scaled(text, "groups", lambda: groups, True)
    text = _scaled(text, "size", lambda: 1.0 / groups, True)
    return re.sub(r'^name = "', f'name = "unlike-{seed}-', text, count=1, flags=re.M)


def main() -> None:
    """Write the site."""
    source, name, target = sys.argv[1:]
    text = Path(source).read_text()
    kind, _, seed = name.partition("-")
    made = make_unlike(text, int(seed)) if kind == "unlike" else make_site(text, name)
    Path(target).write_text(made)


if __name__ == "__main__":
    main()
