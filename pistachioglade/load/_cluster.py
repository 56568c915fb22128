"""Starts and stops the processes of a deployment on loopback addresses.

Only the demo, the load tool and tests use it; the service's own programs start none.
"""

from __future__ import annotations

import itertools
import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

import attrs
import yaml

from ..backing import HttpReply, HttpSession
from ..config import UpstreamKind
from ..errors import Refusal
from ._deployment import Deployment, UpstreamPlan
from ._relays import Relays, free_address

CLUSTER_SECRET: Final = "demo-cluster-secret"
OPERATOR_TOKEN: Final = "demo-first-operator"
_READY_S: Final = 60.0
_POLL_S: Final = 0.1
_STOP_S: Final = 30.0


def token_of(name: str) -> str:
    """Return the demo's bearer token of a trainer, caller or operator."""
    return f"demo-{name}"


@attrs.frozen
class ProcessPlan:
    """Command that starts one process."""

    # Name, unique within the cluster.
    name: str
    # Name of the console script.
    program: str
    # Command-line arguments.
    arguments: tuple[str, ...]


class ClusterError(Exception):
    """Raised when the cluster does not reach an expected state."""


class Cluster:
    """The running processes of one deployment."""

    def __init__(self, folder: Path, deployment: Deployment) -> None:
        self.folder = folder
        self.deployment = deployment
        self._plans: dict[str, ProcessPlan] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.urls: dict[str, str] = {}
        self.upstream_of: dict[str, str] = {}
        self._sessions: dict[str, HttpSession] = {}
        self.relays = Relays()
        (folder / "logs").mkdir(parents=True, exist_ok=True)

    def start(self, plan: ProcessPlan) -> None:
        """Start a process; its log goes to the cluster's folder."""
        self._plans[plan.name] = plan
        script = Path(sys.executable).parent / plan.program
        log = self.folder / "logs" / f"{plan.name}.jsonl"
        with log.open("ab") as file:
            self._processes[plan.name] = subprocess.Popen(
                [str(script), *plan.arguments],
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
                start_new_session=True,
            )

    def restart(self, name: str) -> None:
        """Start a process again that has ended."""
        self.start(self._plans[name])

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self._processes[name].wait()

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        self.signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process."""
        self.signal(name, signal.SIGCONT)

    def ask_to_stop(self, name: str) -> None:
        """Ask a process to shut down gracefully, without waiting."""
        self.signal(name, signal.SIGTERM)

    def stop(self, name: str) -> int:
        """Shut a process down gracefully; return its exit code."""
        self.ask_to_stop(name)
        return self._processes[name].wait(_STOP_S)

    def is_running(self, name: str) -> bool:
        """Return whether a process has not ended."""
        return self._processes[name].poll() is None

    def pid(self, name: str) -> int:
        """Return the process id."""
        return self._processes[name].pid

    def names(self, prefix: str) -> tuple[str, ...]:
        """Return the names that begin with ``prefix``."""
        return tuple(name for name in self._plans if name.startswith(prefix))

    def agents_of(self, upstream: str) -> tuple[str, ...]:
        """Return the agents of an upstream."""
        return tuple(
            name for name, owner in self.upstream_of.items() if owner == upstream
        )

    def record_path(self, instance: str) -> Path:
        """Return the path of an instance's record file."""
        return self.folder / f"{instance}.record.jsonl"

    def runs(self, upstream: str) -> dict[str, list[Any]]:
        """Return the recorded runs of each instance of an upstream, across restarts."""
        instances = [name.removeprefix("agent-") for name in self.agents_of(upstream)]
        paths = {name: self.record_path(name) for name in instances}
        return {
            name: [json.loads(line) for line in path.read_text().splitlines()]
            if path.exists()
            else []
            for name, path in paths.items()
        }

    def entry_urls(self) -> tuple[str, ...]:
        """Return the base URLs of the entries."""
        return tuple(self.urls[name] for name in self.names("entry-"))

    def request(
        self,
        name: str,
        method: str,
        path: str,
        body: Any = None,
        token: str = "",
        timeout_s: float = 30.0,
        headers: Mapping[str, str] | None = None,
    ) -> HttpReply | Refusal:
        """Send one request to a process; a text or bytes body is sent unchanged."""
        session = self._sessions.setdefault(name, HttpSession(self.urls[name]))
        data = body if isinstance(body, bytes) else None
        if isinstance(body, str):
            data = body.encode()
        elif body is not None and data is None:
            data = json.dumps(body).encode()
        fields = {"Authorization": f"Bearer {token}", **(headers or {})}
        return session.request(method, path, timeout_s, data, fields)

    def admin(self, method: str, path: str, body: Any = None) -> Any:
        """Send an operator's request to the first entry that answers."""
        last: Any = None
        for name in self.names("entry-"):
            if not self.is_running(name):
                continue
            reply = self.request(
                name, method, f"/admin/v1/{path}", body, OPERATOR_TOKEN
            )
            if isinstance(reply, HttpReply) and reply.status < 300:
                return reply.json()
            last = reply
        raise ClusterError(f"{method} {path}: {last}")

    def wait(self, what: str, is_so: Callable[[], bool], bound_s: float = 60.0) -> None:
        """Wait until ``is_so`` returns true; raises ClusterError after ``bound_s``."""
        # The default bound is large for slow machines.
        deadline_s = time.monotonic() + bound_s
        while not is_so():
            if time.monotonic() > deadline_s:
                raise ClusterError(f"waited {bound_s:.0f} s in vain: {what}")
            time.sleep(_POLL_S)

    def is_in_force_everywhere(self, generation: int) -> bool:
        """Return whether every running node has at least this generation."""
        try:
            nodes = self.admin("GET", "status")["nodes"]
        except ClusterError:
            return False
        expected = {*self.names("entry-"), *self.upstream_of}
        running = {name for name in expected if self.is_running(name)}
        reached = {
            item["node"]
            for item in nodes
            if item["status"] and item["status"]["generation"] >= generation
        }
        return running <= reached

    def apply(self, text: str) -> int:
        """Apply a declarative file and wait until it is in force everywhere."""
        generation: int = self.admin("PUT", "config", text)["generation"]
        self.wait(
            f"generation {generation} everywhere",
            lambda: self.is_in_force_everywhere(generation),
        )
        return generation

    def close(self) -> None:
        """Stop every process that this cluster started."""
        running = [name for name in self._processes if self.is_running(name)]
        for name in running:
            self.signal(name, signal.SIGCONT)
        nodes = [name for name in running if name in self._node_names()]
        for name in nodes:
            self.signal(name, signal.SIGTERM)
        self._wait_or_kill(nodes, _STOP_S)
        for name in running:
            if self.is_running(name):
                self.kill(name)
        self.relays.close()

    def _node_names(self) -> set[str]:
        return {*self.names("entry-"), *self.upstream_of}

    def _wait_or_kill(self, names: list[str], bound_s: float) -> None:
        deadline_s = time.monotonic() + bound_s
        for name in names:
            try:
                self._processes[name].wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                self.kill(name)


class _Builder:
    """Writes the settings of a deployment's processes and starts the processes."""

    def __init__(self, cluster: Cluster, options: dict[str, Any]) -> None:
        self._cluster = cluster
        self._is_bare = bool(options.pop("bare_agents", False))
        self._options = options
        self._folder = cluster.folder
        self._listed_nodes: list[dict[str, Any]] = []
        self._domains = itertools.cycle(cluster.deployment.domains)

    def build(self) -> None:
        deployment = self._cluster.deployment
        self._write("cluster.secret", CLUSTER_SECRET)
        self._write("operator.token", OPERATOR_TOKEN)
        self._start_standin("object-api")
        self._start_standin("instance-list")
        rate = str(deployment.store_bytes_per_s)
        self._start_standin("weight-store", "--bytes-per-s", rate)
        self._start_standin("scorer")
        agents = [
            item for plan in deployment.upstreams for item in self._plan_upstream(plan)
        ]
        entries = [self._plan_entry(number) for number in range(deployment.entries)]
        self._publish_list()
        for plan in (*agents, *entries):
            self._cluster.start(plan)

    def _write(self, name: str, text: str) -> str:
        path = self._folder / name
        path.write_text(text + "\n", encoding="utf-8")
        return str(path)

    def _start_standin(self, name: str, *options: str, kind: str = "") -> str:
        address = free_address()
        self._cluster.urls[name] = f"http://{address}"
        arguments = (kind or name, "--address", address, *options)
        plan = ProcessPlan(name, "pistachioglade-standins", arguments)
        self._cluster.start(plan)
        return f"http://{address}"

    def _common_settings(self, node: str, domain: str) -> dict[str, Any]:
        listen_address = free_address()
        address = listen_address
        if not self._is_bare:
            address = self._cluster.relays.add(node, listen_address)
        self._listed_nodes.append(
            {"name": node, "link_address": address, "leaving": False}
        )
        return {
            "node": node,
            "domain": domain,
            "link_address": address,
            "listen_address": listen_address,
            "object_api_url": self._cluster.urls["object-api"],
            "instance_list_url": self._cluster.urls["instance-list"],
            "cluster_secret_file": str(self._folder / "cluster.secret"),
            "trace_file": str(self._folder / "traces.jsonl"),
            **self._options,
        }

    def _plan_upstream(self, plan: UpstreamPlan) -> Iterator[ProcessPlan]:
        for number in range(plan.instances):
            yield self._plan_agent(plan, number)

    def _plan_agent(self, plan: UpstreamPlan, number: int) -> ProcessPlan:
        if self._is_bare:
            return self._plan_bare_agent(plan, number)
        deployment = self._cluster.deployment
        instance = f"{plan.name}-{number}"
        options = ["--name", instance, "--slots", str(plan.slots)]
        options += ["--record-file", str(self._cluster.record_path(instance))]
        is_engine = plan.kind is UpstreamKind.ENGINE
        if not is_engine:
            options += ["--work-s", str(deployment.service_work_s)]
        else:
            options += ["--tick-s", str(deployment.tick_s)]
            options += ["--swap-s", str(deployment.swap_s)]
            if number < plan.ignore_fence_instances:
                options.append("--ignore-fence")
        url = self._start_standin(instance, *options, kind=plan.kind.value)
        node = f"agent-{instance}"
        self._cluster.upstream_of[node] = plan.name
        urls = self._cluster.urls
        settings = {
            "common": self._common_settings(node, next(self._domains)),
            "upstream": plan.name,
            "instances": [{"name": instance, "url": url, "slots": plan.slots}],
            "weight_store_url": urls["weight-store"] if is_engine else "",
            "scorer_url": urls["scorer"] if is_engine else "",
        }
        return self._plan_node(node, "pistachioglade-agent", settings)

    def _plan_bare_agent(self, plan: UpstreamPlan, number: int) -> ProcessPlan:
        """Plan an agent without instances, to measure the control plane alone."""
        node = f"agent-{plan.name}-{number}"
        self._cluster.upstream_of[node] = plan.name
        settings = {
            "common": self._common_settings(node, next(self._domains)),
            "upstream": plan.name,
            "instances": [],
        }
        return self._plan_node(node, "pistachioglade-agent", settings)

    def _plan_entry(self, number: int) -> ProcessPlan:
        node = f"entry-{number}"
        address = free_address()
        self._cluster.urls[node] = f"http://{address}"
        settings = {
            "common": self._common_settings(node, next(self._domains)),
            "http_address": address,
            "operator_token_file": str(self._folder / "operator.token"),
        }
        return self._plan_node(node, "pistachioglade-entry", settings)

    def _plan_node(self, node: str, program: str, settings: Any) -> ProcessPlan:
        path = self._write(f"{node}.yaml", yaml.safe_dump(settings))
        return ProcessPlan(node, program, ("--settings", path))

    def _publish_list(self) -> None:
        cluster = self._cluster
        body = {"instances": self._listed_nodes}

        def is_published() -> bool:
            reply = cluster.request("instance-list", "PUT", "/instances", body)
            return isinstance(reply, HttpReply) and reply.status == 200

        cluster.wait("the instance list", is_published)


def _is_ready(cluster: Cluster) -> bool:
    """Return whether every entry has the status of every node."""
    expected = {*cluster.names("entry-"), *cluster.upstream_of}
    for entry in cluster.names("entry-"):
        reply = cluster.request(
            entry, "GET", "/admin/v1/status", token=OPERATOR_TOKEN, timeout_s=3.0
        )
        if isinstance(reply, Refusal) or reply.status != 200:
            return False
        known = {item["node"] for item in reply.json()["nodes"] if item["status"]}
        if known != expected:
            return False
    return True


@contextmanager
def start_cluster(
    folder: Path, deployment: Deployment, **options: Any
) -> Iterator[Cluster]:
    """Start a deployment, yield the cluster when all nodes are known, and stop it."""
    cluster = Cluster(folder, deployment)
    try:
        _Builder(cluster, options).build()
        cluster.wait("all nodes known", lambda: _is_ready(cluster), _READY_S)
        yield cluster
    finally:
        cluster.close()
