"""Measures what control costs at several sizes, for docs/CAPACITY.md.

Nodes are real agents without instances, as processes on this machine; steps,
records and roots are the real ones at growing sizes, driven without a clock.
"""

from __future__ import annotations

import json
import re
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from datetime import datetime
from pathlib import Path
from typing import Any, Final

import attrs

from ..config import (
    ServiceConfig,
    Trainer,
    Upstream,
    UpstreamKind,
    check_document,
    config_to_parts,
)
from ..decisions import AgentView, StepPlan, StepPolicy
from ..messages import Receipt, RootState, Sample, VersionSpan, encode_frame
from ..report import StepRecord, pack_step, summarise, unpack_step
from ._cluster import OPERATOR_TOKEN, Cluster, start_cluster
from ._costs import total_cost
from ._deployment import Deployment, UpstreamPlan, load_deployment

_IDLE_S: Final = 20.0
_WARM_S: Final = 6.0
_CHANGES: Final = 10
_AGENTS: Final = 40


@attrs.frozen
class Reading:
    """One figure at one size."""

    # What was measured, with its unit as the suffix.
    name: str
    # Size: nodes, samples or trainers.
    size: int
    # The figure.
    value: float


def _deployment(nodes: int) -> Deployment:
    base, _text = load_deployment("vereniging")
    bare = UpstreamPlan("bare", UpstreamKind.ENGINE, nodes, 1)
    return attrs.evolve(base, upstreams=(bare,), trainers=(), callers=())


def measure_nodes(nodes: int) -> Iterator[Reading]:
    """Yield the cost of idle nodes and the speed of changes among them."""
    with (
        tempfile.TemporaryDirectory(prefix="pistachioglade-") as folder,
        start_cluster(
            Path(folder), _deployment(nodes), bare_agents=True, trace_file=""
        ) as cluster,
    ):
        cluster.apply(_file(0))
        time.sleep(_WARM_S)
        yield from _idle_readings(cluster, nodes)
        yield Reading("change_everywhere_s", nodes, _change_time_s(cluster, folder))
        yield Reading("death_known_s", nodes, _death_time_s(cluster))


def _file(number: int) -> str:
    return f"policy: {{hedge_percent: {number}}}\n"


def _traffic(cluster: Cluster) -> tuple[int, int]:
    nodes = cluster.admin("GET", "status")["nodes"]
    statuses = [node["status"] for node in nodes if node["status"]]
    frames = sum(status["link_frames"] for status in statuses)
    return frames, sum(status["link_bytes"] for status in statuses)


def _api_calls(cluster: Cluster) -> dict[str, int]:
    reply: Any = cluster.request("object-api", "GET", "/control/calls")
    calls: dict[str, int] = reply.json()["calls"]
    return calls


def _idle_readings(cluster: Cluster, nodes: int) -> Iterator[Reading]:
    agents = list(cluster.upstream_of)
    pids = [cluster.pid(name) for name in agents]
    everyone = nodes + cluster.deployment.entries
    frames, frame_bytes = _traffic(cluster)
    calls = _api_calls(cluster)
    before = total_cost(pids)
    time.sleep(_IDLE_S)
    after = total_cost(pids)
    calls_after = _api_calls(cluster)
    frames_after, bytes_after = _traffic(cluster)
    yield Reading(
        "node_cpu_part", nodes, (after.cpu_s - before.cpu_s) / _IDLE_S / nodes
    )
    yield Reading("node_memory_mb", nodes, after.memory_mb / nodes)
    per_s = 1 / _IDLE_S / everyone
    yield Reading("node_frames_per_s", nodes, (frames_after - frames) * per_s)
    yield Reading("node_frame_bytes_per_s", nodes, (bytes_after - frame_bytes) * per_s)
    for kind in ("reads", "writes"):
        made = calls_after.get(kind, 0) - calls.get(kind, 0)
        yield Reading(f"api_{kind}_per_s", nodes, made / _IDLE_S)


def _change_time_s(cluster: Cluster, folder: str) -> float:
    """Return the mean time from an accepted change to the last node's adoption."""
    spent = []
    for number in range(1, _CHANGES + 1):
        asked_unix_s = time.time()
        generation = cluster.apply(_file(number))
        adopted = list(_adoptions(Path(folder) / "logs", generation))
        spent.append(max(adopted) - asked_unix_s)
    return sum(spent) / len(spent)


def _adoptions(logs: Path, generation: int) -> Iterator[float]:
    wanted = f'"generation": {generation}, "event": "root.adopted"'
    stamp = re.compile(r'"timestamp": "([^"]+)"')
    for path in logs.glob("*.jsonl"):
        for line in path.read_text(encoding="utf-8").splitlines():
            found = stamp.search(line) if wanted in line else None
            if found:
                yield _unix_s(found.group(1))


def _unix_s(stamp: str) -> float:
    return datetime.fromisoformat(stamp.replace("Z", "+00:00")).timestamp()


def _death_time_s(cluster: Cluster) -> float:
    """Return the time from a kill to both entries' knowing that it is dead."""
    victim = next(iter(cluster.upstream_of))
    cluster.kill(victim)
    killed_s = time.monotonic()

    def is_known() -> bool:
        return all(
            _state(cluster, entry, victim) == "dead"
            for entry in cluster.names("entry-")
        )

    cluster.wait("the death known", is_known)
    return time.monotonic() - killed_s


def _state(cluster: Cluster, entry: str, node: str) -> str:
    reply: Any = cluster.request(entry, "GET", "/admin/v1/status", token=OPERATOR_TOKEN)
    states = {item["node"]: item["state"] for item in reply.json()["nodes"]}
    return str(states.get(node, "dead"))


def _timed(work: Callable[[], Any]) -> tuple[float, float]:
    """Return processor time and the most memory of some work."""
    started_s = time.process_time()
    work()
    cpu_s = time.process_time() - started_s
    tracemalloc.start()
    work()
    _now, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return cpu_s, peak / 1e6


def _sample(index: int, agent: str) -> Sample:
    spans = (VersionSpan(7, 200), VersionSpan(8, 60))
    copy_id = f"{agent}.18ed81e160a63505.{index}"
    return Sample(index, copy_id, "text", spans, agent, agent)


def _receipt(sample: Sample) -> Receipt:
    return Receipt(sample.index, sample.copy_id, sample.spans, 1, 900.0, sample.agent)


def _run_plan(samples: int) -> StepPlan:
    """Run a whole step through the plan, eight samples to a group."""
    plan = StepPlan("t/1", [8] * (samples // 8), StepPolicy())
    names = [f"agent-{number}" for number in range(_AGENTS)]
    now_s = 0.0
    while not plan.is_complete:
        now_s += 1.0
        while True:
            counts = plan.outstanding()
            views = [AgentView(name, 8, counts.get(name, 0)) for name in names]
            if plan.next_dispatch(views, now_s) is None:
                break
        for name in names:
            for index in plan.running_at(name):
                plan.finish(name, _sample(index, name), now_s)
        plan.receive(map(_receipt, plan.ready(samples)))
    return plan


def measure_steps(samples: int) -> Iterator[Reading]:
    """Yield the cost of a step's plan, its record and its line in the report."""
    cpu_s, memory_mb = _timed(lambda: _run_plan(samples))
    yield Reading("plan_cpu_s", samples, cpu_s)
    yield Reading("plan_memory_mb", samples, memory_mb)
    receipts = tuple(
        _receipt(_sample(index, f"agent-{index % _AGENTS}")) for index in range(samples)
    )
    record = StepRecord("t", 1, "o", 0.0, samples, receipts, {}, {})
    packed = json.dumps(pack_step(record))
    yield Reading("record_bytes", samples, float(len(packed)))
    pack_s, _memory = _timed(lambda: json.dumps(pack_step(record)))
    yield Reading("record_pack_cpu_s", samples, pack_s)
    report_s, _memory = _timed(
        lambda: summarise({}, [unpack_step(json.loads(packed))], [], 0.0, 1.0)
    )
    yield Reading("report_cpu_s", samples, report_s)


def measure_roots(trainers: int) -> Iterator[Reading]:
    """Yield the size of a root and of the part that a change moves."""
    upstream = Upstream("lm", UpstreamKind.ENGINE)
    declared = tuple(
        Trainer(f"trainer-{number}", f"model-{number}", ("lm",), 1, 1, "0" * 64)
        for number in range(trainers)
    )
    parts = config_to_parts(ServiceConfig((upstream,), declared))
    root = RootState(1, dict.fromkeys(parts, "0" * 64), {}, ("w:1:1",) * 32)
    yield Reading("root_bytes", trainers, float(len(encode_frame(1, root))))
    yield Reading("part_bytes", trainers, float(len(parts["trainers"])))
    text = json.dumps({"trainers": []})
    cpu_s, _memory = _timed(lambda: check_document(text))
    yield Reading("check_cpu_s", trainers, cpu_s)


def measure_capacity(
    node_sizes: Sequence[int], step_sizes: Sequence[int], root_sizes: Sequence[int]
) -> list[Reading]:
    """Return every reading at every size."""
    readings: list[Reading] = []
    for size in node_sizes:
        readings += measure_nodes(size)
    for size in step_sizes:
        readings += measure_steps(size)
    for size in root_sizes:
        readings += measure_roots(size)
    return readings
