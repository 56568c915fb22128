"""The states that a scenario can wait for and the checks that it can make."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from pistachioglade.backing import HttpReply
from pistachioglade.config import ServiceConfig
from pistachioglade.load import OPERATOR_TOKEN, Cluster, TrainerOutcome, checks
from pistachioglade.trainer import TrainerClient

_LEAVING_GRACE_S = 5.0


class SessionChecks:
    """Base of a session: waits for states and checks results and records of runs."""

    cluster: Cluster
    _config: ServiceConfig
    _trainers: dict[str, Any]
    _results: list[Any]
    _started: dict[str, Any]
    _generations: list[int]
    _left_unix_s: dict[str, float]

    def _client(self, trainer: str) -> TrainerClient:
        client: TrainerClient = self._trainers[trainer].simulated.client
        return client

    def _do_until(self, *words: str) -> str:
        condition = " ".join(words)
        self.cluster.wait(
            condition, lambda: self._is_satisfied([str(w) for w in words])
        )
        return "so"

    def _is_satisfied(self, words: list[str]) -> bool:
        match words:
            case ["engines", "hold", model]:
                return self._engines_hold(model)
            case ["all", "nodes", "in", "force"]:
                return self.cluster.is_in_force_everywhere(max(self._generations))
            case [node, "is", state]:
                return self._state_of(node) == state
            case [service, "runs", "something"]:
                return any(self.cluster.runs(service).values())
        raise ValueError(f"no such state: {' '.join(words)}")

    def _state_of(self, node: str) -> str:
        nodes = self.cluster.admin("GET", "status")["nodes"]
        name = self._started.get(node, node)
        found = [item for item in nodes if item["node"] == name]
        return str(found[0]["state"]) if found else "unknown"

    def _engines_hold(self, model: str) -> bool:
        fields = self.cluster.admin("GET", "status")
        newest = fields["models"].get(model, 0)
        held = [
            versions.get(model, 0)
            for item in fields["nodes"]
            if item["upstream"] == "lm" and item["status"] and item["state"] == "alive"
            for versions in item["status"]["versions"].values()
        ]
        return bool(held) and all(version == newest for version in held)

    def _do_check(self, *words: str) -> str:
        found = list(self._violations([str(word) for word in words]))
        assert not found, found
        return "holds"

    def _outcomes(self) -> list[TrainerOutcome]:
        outcomes = []
        for name, state in self._trainers.items():
            declared = self._config.trainer(name)
            assert declared is not None
            outcomes.append(
                TrainerOutcome(
                    name,
                    declared.staleness_bound_versions,
                    state.step_samples,
                    state.simulated.log,
                )
            )
        return outcomes

    def _violations(self, words: list[str]) -> Iterator[str]:
        services = list(self.cluster.runs("app").values())
        match words:
            case ["versions"]:
                runs = self.cluster.runs("lm")
                yield from checks.check_versions(self._outcomes(), runs)
            case ["mixed", "versions", trainer]:
                log = self._trainers[trainer].simulated.log
                if not any(len(item.spans) > 1 for _step, item, _new in log.taken):
                    yield "no sample was made across a swap"
            case ["staleness"]:
                yield from checks.check_staleness(self._outcomes())
            case ["exactly", "once"]:
                yield from checks.check_exactly_once(self._outcomes())
            case ["thrown", "away", trainer]:
                if not self._client(trainer).too_stale:
                    yield "the trainer threw no sample away"
            case ["whole", "answers"]:
                answers = [item for item in self._results if item.status == 200]
                yield from (item.name for item in answers if not item.is_complete)
            case ["not", "run"]:
                yield from self._not_run_violations(services)
            case ["at", "most", "once"]:
                yield from checks.check_at_most_once(services, ["billed"])
            case ["leaving"]:
                runs = {**self.cluster.runs("app"), **self.cluster.runs("lm")}
                yield from checks.check_leaving(
                    self._left_unix_s, runs, _LEAVING_GRACE_S
                )
            case ["one", "winner"]:
                if len(set(self._generations)) != len(self._generations):
                    yield f"generations {self._generations}"
            case ["section", section, "holds", word]:
                yield from self._section_violations(section, word)
            case _:
                raise ValueError(f"no such check: {' '.join(words)}")

    def _not_run_violations(self, services: list[Any]) -> Iterator[str]:
        ran = {run["payload"].get("id") for runs in services for run in runs}
        refused = {item.name for item in self._results if item.execution == "not-run"}
        answered = {item.name for item in self._results if item.status == 200}
        yield from (
            f"{name} was refused and ran" for name in (refused & ran) - answered
        )

    def _section_violations(self, section: str, word: str) -> Iterator[str]:
        for entry in self.cluster.names("entry-"):
            reply = self.cluster.request(
                entry, "GET", "/admin/v1/config", None, OPERATOR_TOKEN
            )
            if not isinstance(reply, HttpReply) or word not in str(
                reply.json()["config"].get(section)
            ):
                yield f"{section} at {entry} does not hold {word}"
