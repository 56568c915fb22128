"""The examples on the documentation pages work."""

from __future__ import annotations

import shlex
from pathlib import Path

from pistachioglade.backing import HttpReply
from pistachioglade.config import AgentSettings, EntrySettings, load_settings
from pistachioglade.load import OPERATOR_TOKEN, Cluster, token_of

from .conftest import CONFIGS

_DOCS = Path(__file__).parents[1] / "docs"
#: Names on the pages, with the names in the small deployment.
_NAMES = {
    "demo-lawyers": token_of("clerk"),
    "archief-app": "app",
    "TOKEN": OPERATOR_TOKEN,
}


def _examples() -> list[list[str]]:
    text = (_DOCS / "API.md").read_text(encoding="utf-8").replace("\\\n", " ")
    lines = [line.strip() for line in text.splitlines() if "curl " in line]
    for old, new in _NAMES.items():
        lines = [line.replace(old, new) for line in lines]
    return [shlex.split(line) for line in lines]


def _option(words: list[str], name: str, default: str) -> str:
    return words[words.index(name) + 1] if name in words else default


def test_the_examples_of_the_api_page_are_answered(cluster: Cluster) -> None:
    cluster.apply(CONFIGS["base"])
    examples = _examples()
    assert len(examples) >= 2
    for words in examples:
        token = _option(words, "-H", "").rpartition(" ")[2]
        method = _option(words, "-X", "GET")
        body = _option(words, "-d", "").encode() or None
        path = words[-1].removeprefix("http://ENTRY")
        reply = cluster.request("entry-0", method, path, body, token)
        assert isinstance(reply, HttpReply)
        assert reply.status == 200, (words, reply.body)


def test_the_example_settings_have_no_fault() -> None:
    entry = load_settings(str(_DOCS / "examples" / "entry.yaml"), EntrySettings)
    agent = load_settings(str(_DOCS / "examples" / "agent.yaml"), AgentSettings)
    assert entry.common.domain == agent.common.domain
