"""Bad input to a running deployment is refused clearly and stops no process."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
import yaml
from websockets.asyncio.client import connect
from websockets.exceptions import InvalidStatus

from pistachioglade.backing import HttpReply
from pistachioglade.errors import ErrorKind, Refusal
from pistachioglade.links import Identity
from pistachioglade.load import OPERATOR_TOKEN, Cluster, token_of
from pistachioglade.messages import Envelope, decode_frame

from .conftest import CONFIGS

_STEP = {
    "groups": [{"prompt": "p", "sample_count": 1}],
    "max_tokens": 8,
    "newest_version": 1,
}

# Method, path, body, token, expected status, expected kind.
_CASES: list[tuple[str, str, Any, str, int, str]] = [
    ("POST", "/v1/steps/1", _STEP, "wrong", 401, "unauthenticated"),
    ("POST", "/v1/steps/1", _STEP, "", 401, "unauthenticated"),
    ("POST", "/v1/steps/1", _STEP, "clerk", 403, "forbidden"),
    ("POST", "/v1/steps/one", _STEP, "alpha", 400, "bad-request"),
    ("POST", "/v1/steps/1", "{", "alpha", 400, "bad-request"),
    ("POST", "/v1/steps/1", "[" * 50_000, "alpha", 400, "bad-request"),
    ("POST", "/v1/steps/1", {**_STEP, "surprise": 1}, "alpha", 400, "bad-request"),
    ("POST", "/v1/steps/1", {**_STEP, "trainer": "beta"}, "alpha", 400, "bad-request"),
    (
        "POST",
        "/v1/steps/1",
        {**_STEP, "unreachable_owner": "agent-lm-0"},
        "alpha",
        400,
        "bad-request",
    ),
    ("POST", "/v1/steps/1", {**_STEP, "groups": []}, "alpha", 400, "bad-request"),
    ("POST", "/v1/steps/9/fetch", {}, "alpha", 400, "bad-request"),
    ("POST", "/v1/models/mb/versions", {"version": 1}, "alpha", 403, "forbidden"),
    ("POST", "/v1/calls/app/lookup", {"x": 1}, "alpha", 403, "forbidden"),
    ("POST", "/v1/calls/app/nothing", {"x": 1}, "clerk", 404, "not-found"),
    ("POST", "/v1/calls/app/lookup", b"x" * 5_000_000, "clerk", 413, "too-large"),
    ("POST", "/v1/calls/lm/completion", {"max_tokens": 3}, "clerk", 400, "bad-request"),
    (
        "POST",
        "/v1/tickets",
        {"upstream": "app", "count": 0},
        "clerk",
        400,
        "bad-request",
    ),
    ("POST", "/v1/tickets", {"upstream": 3}, "clerk", 400, "bad-request"),
    ("PUT", "/admin/v1/config", "trainers: 3\n", "operator", 400, "bad-request"),
    ("PUT", "/admin/v1/config", b"\xff\xfe", "operator", 400, "bad-request"),
    ("GET", "/admin/v1/status", None, "alpha", 403, "forbidden"),
    ("POST", "/admin/v1/drain/nobody", None, "operator", 404, "not-found"),
    ("GET", "/admin/v1/report?since_unix_s=x", None, "operator", 400, "bad-request"),
    ("GET", "/nowhere", None, "", 404, "not-found"),
]


def _token(name: str) -> str:
    known = {"operator": OPERATOR_TOKEN, "": "", "wrong": "wrong"}
    return known.get(name, token_of(name))


def _check_http(cluster: Cluster) -> None:
    for method, path, body, name, status, kind in _CASES:
        reply = cluster.request("entry-0", method, path, body, _token(name))
        assert isinstance(reply, HttpReply), (path, reply)
        fields = reply.json()
        assert (reply.status, fields["error"]) == (status, kind), (path, fields)
        assert fields["reason"]
        assert reply.headers["execution"] == "not-run"
    headers = {"Idempotency-Key": "my-own-key"}
    reply = cluster.request(
        "entry-0", "POST", "/v1/calls/app/billed", {}, _token("clerk"), headers=headers
    )
    assert isinstance(reply, HttpReply)
    assert reply.status == 400


def _check_other_trainers_samples(cluster: Cluster) -> None:
    """Fetch, as one trainer, a step number that only another trainer has opened."""
    opened = cluster.request("entry-0", "POST", "/v1/steps/1", _STEP, token_of("alpha"))
    assert isinstance(opened, HttpReply)
    assert opened.status == 200
    fetch = {
        "receipts": [],
        "rejected": [],
        "newest_version": 1,
        "max_samples": 9,
        "wait_s": 0.1,
    }
    reply = cluster.request(
        "entry-1", "POST", "/v1/steps/1/fetch", fetch, token_of("beta")
    )
    assert isinstance(reply, HttpReply)
    assert reply.json()["error"] == "unknown-step"


async def _send(address: str, headers: dict[str, str], frame: bytes) -> Any:
    async with connect(
        f"ws://{address}", additional_headers=headers, proxy=None
    ) as link:
        await link.send(frame)
        answer = await link.recv()
    assert isinstance(answer, bytes)
    return decode_frame(answer)


def _check_links(cluster: Cluster) -> None:
    path = cluster.folder / "agent-lm-0.yaml"
    common = yaml.safe_load(path.read_text())["common"]
    address = common["link_address"]
    good = Identity("intruder", "demo-cluster-secret").headers()
    for frame in (b"not cbor", b"\x84\x09\x01\x61x\xa0", b""):
        envelope = asyncio.run(_send(address, good, frame))
        assert isinstance(envelope, Envelope)
        assert isinstance(envelope.message, Refusal)
        assert envelope.message.kind is ErrorKind.BAD_REQUEST
    wrong_secret = Identity("intruder", "guess").headers()
    wrong_version = {**good, "Pistachioglade-Protocol": "99"}
    for headers in (wrong_secret, wrong_version, {}):
        with pytest.raises(InvalidStatus):
            asyncio.run(_send(address, headers, b""))


def test_bad_input_is_refused_and_stops_no_process(cluster: Cluster) -> None:
    cluster.apply(CONFIGS["base"])
    _check_http(cluster)
    _check_other_trainers_samples(cluster)
    _check_links(cluster)
    nodes = (*cluster.names("entry-"), *cluster.upstream_of)
    assert all(cluster.is_running(name) for name in nodes)
    good = cluster.request(
        "entry-0", "POST", "/v1/calls/app/lookup", {"x": 1}, token_of("clerk")
    )
    assert isinstance(good, HttpReply)
    assert good.json()["echo"] == {"x": 1}
