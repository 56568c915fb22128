"""Runs the statements of a scenario on a real cluster and returns a transcript."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs

from pistachioglade.backing import HttpReply
from pistachioglade.config import check_document
from pistachioglade.errors import Refusal
from pistachioglade.load import (
    OPERATOR_TOKEN,
    Cluster,
    RelayState,
    SimulatedTrainer,
    token_of,
)
from pistachioglade.messages import Group
from pistachioglade.trainer import OpenedStep, TrainerCheckpoint

from ._checking import SessionChecks
from ._grammar import Option, Statement, Target

_TIMEOUT_S = 60.0
_TAKE_TIMEOUT_S = 100.0


@attrs.define
class _Result:
    """The answer to one call of a caller."""

    # Id of the payload.
    name: str
    # HTTP status; 0 if no answer came.
    status: int
    # Error kind; empty without an error.
    error: str
    # Value of the execution header.
    execution: str
    # Whether the answer is complete: it echoes the request or has version spans.
    is_complete: bool
    # Whether the answer is a replay of an earlier attempt's answer.
    is_replayed: bool
    # Whether the answer has a retry-after time.
    has_retry_after: bool


@attrs.define
class _TrainerState:
    # Simulated trainer: publishes versions and logs the samples that it took.
    simulated: SimulatedTrainer
    # Number of samples in each step.
    step_samples: int = 0
    # Opened steps by step number.
    steps: dict[int, OpenedStep] = attrs.field(factory=dict)
    # Groups of each step, by step number.
    groups: dict[int, tuple[Group, ...]] = attrs.field(factory=dict)
    # Saved checkpoint as JSON, and the number of samples taken before it.
    saved: tuple[str, int] = ("", 0)


class Session(SessionChecks):
    """State of one scenario that runs on one cluster."""

    def __init__(
        self,
        cluster: Cluster,
        configs: dict[str, str],
        trainers: dict[str, SimulatedTrainer],
    ) -> None:
        self.cluster = cluster
        self._configs = configs
        config, _faults = check_document(configs["base"])
        assert config is not None
        self._config = config
        self._trainers = {name: _TrainerState(item) for name, item in trainers.items()}
        self._tickets: dict[str, list[str]] = {}
        self._results: list[_Result] = []
        self._left_unix_s: dict[str, float] = {}
        self._generations: list[int] = []
        self._pool = ThreadPoolExecutor(16)
        self._started: dict[str, Any] = {}
        self._lock = threading.Lock()
        self._serial = 0

    def run(self, statements: tuple[Statement, ...]) -> str:
        """Run every statement; return the transcript."""
        lines = [self.execute(statement) for statement in statements]
        self._pool.shutdown(wait=False, cancel_futures=True)
        return "\n".join(lines) + "\n"

    def execute(self, statement: Statement) -> str:
        """Run one statement; return its transcript line."""
        action: Callable[..., str] = getattr(self, f"_do_{statement.verb}")
        outcome = action(*statement.arguments)
        return f"{self._format_statement(statement)} -> {outcome}"

    def _format_statement(self, statement: Statement) -> str:
        parts = [statement.verb]
        for item in statement.arguments:
            if isinstance(item, Statement):
                parts.append(f"({self._format_statement(item)})")
            elif isinstance(item, Target):
                parts.append(item.name if item.kind == "name" else str(item.kind))
            elif isinstance(item, Option):
                parts.append(f"{item.name} {item.value}")
            elif item is not None:
                parts.append(str(item))
        return " ".join(parts)

    # Processes and faults.

    def _resolve(self, target: Target) -> str:
        if target.kind == "holder":
            return self._tickets[target.name][0].partition("~")[0]
        if target.kind == "owner":
            return self._owner(target.name)
        return target.name

    def _owner(self, trainer: str) -> str:
        found: list[str] = []

        def is_known() -> bool:
            nodes = self.cluster.admin("GET", "status")["nodes"]
            found[:] = [
                item["node"]
                for item in nodes
                if item["status"] and trainer in item["status"]["owned_trainers"]
            ]
            return bool(found)

        self.cluster.wait(f"an owner of {trainer}", is_known)
        return found[0]

    def _do_kill(self, target: Target) -> str:
        name = self._resolve(target)
        self._started["killed"] = name
        self.cluster.kill(name)
        return "ended"

    def _do_freeze(self, target: Target) -> str:
        name = self._resolve(target)
        self._started["frozen"] = name
        self.cluster.freeze(name)
        return "frozen"

    def _do_thaw(self, target: Target) -> str:
        name = self._started["frozen"] if target.name == "frozen" else target.name
        self.cluster.thaw(name)
        return "goes on"

    def _do_stop(self, target: Target) -> str:
        name = self._resolve(target)
        self._left_unix_s[name.removeprefix("agent-")] = time.time()
        return f"exit code {self.cluster.stop(name)}"

    def _do_restart(self, target: Target) -> str:
        name = self._started.get(target.name, target.name)
        self.cluster.restart(name)
        return "started"

    def _do_drain(self, target: Target) -> str:
        name = self._resolve(target)
        self._started["drained"] = name
        self._left_unix_s[name.removeprefix("agent-")] = time.time()
        self.cluster.admin("POST", f"drain/{name}")
        return "asked"

    def _do_link(self, target: Target, state: str) -> str:
        self.cluster.relays.set_state(self._resolve(target), RelayState(state))
        return str(state)

    def _do_fault(self, target: Target, field: str, value: str) -> str:
        name = self._resolve(target)
        known: dict[str, Any] = {"true": True, "false": False}
        number = known.get(value)
        if number is None:
            number = float(value) if "." in value else int(value)
        fields = {field.replace("-", "_"): number}
        self.cluster.request(name, "POST", "/control/faults", fields)
        return "set"

    def _do_leave(self, instance: str) -> str:
        self._left_unix_s[instance] = time.time()
        self.cluster.request(instance, "POST", "/control/leave")
        return "leaving"

    def _do_order(self, engine: str, model: str, version: str, fence: str) -> str:
        """Send an order past the agent, as a delayed agent with an old fence would."""
        stored = self._trainers_of(model).simulated.digests[int(version)]
        fields = {
            "model": str(model),
            "version": int(version),
            "digest": stored,
            "fence": int(fence),
        }
        reply = self.cluster.request(engine, "POST", "/orders", fields)
        assert isinstance(reply, HttpReply)
        return f"engine answers {reply.status}"

    def _trainers_of(self, model: str) -> _TrainerState:
        return next(
            state
            for name, state in self._trainers.items()
            if (found := self._config.trainer(name)) and found.model == model
        )

    def _do_pause(self, seconds: str) -> str:
        time.sleep(float(seconds))
        return "over"

    def _do_begin(self, label: str, statement: Statement) -> str:
        self._started[label] = self._pool.submit(self.execute, statement)
        return "started"

    def _do_join(self, label: str) -> str:
        line: str = self._started[label].result(_TIMEOUT_S * 2)
        return line.partition(" -> ")[2]

    # Configuration.

    def _apply(self, entry: str, name: str) -> tuple[int, int, str]:
        reply = self.cluster.request(
            entry, "PUT", "/admin/v1/config", self._configs[name], OPERATOR_TOKEN
        )
        if isinstance(reply, Refusal):
            return 0, 0, reply.kind.value
        fields = reply.json()
        generation = int(fields.get("generation", 0))
        if generation:
            self._generations.append(generation)
        return reply.status, generation, str(fields.get("error", "applied"))

    def _running_entry(self) -> str:
        names = self.cluster.names("entry-")
        return next(name for name in names if self.cluster.is_running(name))

    def _do_apply(self, name: str) -> str:
        status, _generation, outcome = self._apply(self._running_entry(), name)
        return f"{status} {outcome}"

    def _do_race(self, first: str, second: str) -> str:
        pairs = zip(self.cluster.names("entry-"), (first, second), strict=True)
        with ThreadPoolExecutor(2) as pool:
            replies = list(pool.map(lambda pair: self._apply(*pair), pairs))
        outcomes = sorted(f"{status} {outcome}" for status, _gen, outcome in replies)
        return ", ".join(outcomes)

    # Trainers.

    def _do_publish(self, trainer: str, version: str) -> str:
        self._trainers[trainer].simulated.publish(int(version))
        return "published"

    def _do_open_step(self, trainer: str, step: str, groups: str, size: str) -> str:
        state = self._trainers[trainer]
        state.groups[int(step)] = tuple(
            Group(f"{trainer} {step} {number}", int(size))
            for number in range(int(groups))
        )
        state.step_samples = int(groups) * int(size)
        self._open(state, int(step))
        return "open"

    def _open(self, state: _TrainerState, step: int) -> None:
        client = state.simulated.client
        state.steps[step] = client.open_step(step, state.groups[step], max_tokens=128)

    def _do_take(self, trainer: str, step: str, count: int | None) -> str:
        work = self._pool.submit(self._take, trainer, step, count)
        return work.result(_TAKE_TIMEOUT_S)

    def _take(self, trainer: str, step: str, count: int | None) -> str:
        state = self._trainers[trainer]
        opened = state.steps[int(step)]
        taken = 0
        while count is None or taken < count:
            sample = opened.take()
            if sample is None:
                break
            taken += 1
            newest = state.simulated.client.newest_version
            state.simulated.log.taken.append((int(step), sample, newest))
        return f"took {taken}, {'whole' if opened.is_complete else 'not whole'}"

    def _do_save(self, trainer: str) -> str:
        state = self._trainers[trainer]
        text = state.simulated.client.checkpoint().to_json()
        state.saved = (text, len(state.simulated.log.taken))
        return "saved"

    def _do_restore(self, trainer: str) -> str:
        state = self._trainers[trainer]
        text, taken = state.saved
        simulated = state.simulated
        del simulated.log.taken[taken:]
        simulated.restore_client(TrainerCheckpoint.from_json(text))
        for step, opened in tuple(state.steps.items()):
            if not opened.is_complete:
                self._open(state, step)
        return f"back at {taken} samples"

    # Callers.

    def _do_ticket(self, caller: str, upstream: str) -> str:
        reply = self.cluster.request(
            self._running_entry(),
            "POST",
            "/v1/tickets",
            {"upstream": str(upstream), "count": 50},
            token_of(caller),
        )
        assert isinstance(reply, HttpReply), reply
        self._tickets[str(caller)] = reply.json()["keys"]
        return f"{reply.status}"

    def _do_call(
        self,
        caller: str,
        upstream: str,
        operation: str,
        *options: Option,
    ) -> str:
        chosen = {item.name: item.value for item in options}
        key, entry = chosen.get("key"), chosen.get("via")
        within = chosen.get("within")
        result = self._call(caller, upstream, operation, key, entry, within)
        with self._lock:
            self._results.append(result)
        parts = [str(result.status), result.error or "answer", result.execution]
        parts += ["whole"] if result.is_complete else []
        parts += ["replayed"] if result.is_replayed else []
        parts += ["says when"] if result.has_retry_after else []
        return ", ".join(parts)

    def _call(
        self,
        caller: str,
        upstream: str,
        operation: str,
        key: str | None,
        entry: str | None,
        within: str | None,
    ) -> _Result:
        with self._lock:
            self._serial += 1
            number = key or f"n{self._serial}"
        payload = {"id": f"{caller}-{operation}-{number}", "prompt": "p"}
        budget_s = float(within) if within else 20.0
        headers = {"Budget-S": str(budget_s)}
        if key is not None:
            headers["Idempotency-Key"] = self._tickets[caller][int(key)]
        reply = self.cluster.request(
            entry or self._running_entry(),
            "POST",
            f"/v1/calls/{upstream}/{operation}",
            payload,
            token_of(caller),
            budget_s + 10,
            headers,
        )
        if isinstance(reply, Refusal):
            return _Result(payload["id"], 0, "lost", "unknown", False, False, False)
        fields = reply.json()
        return _Result(
            payload["id"],
            reply.status,
            str(fields.get("error", "")),
            reply.headers.get("execution", ""),
            fields.get("echo") == payload or "spans" in fields,
            reply.headers.get("replayed") == "true",
            fields.get("retry_after_s") is not None,
        )
