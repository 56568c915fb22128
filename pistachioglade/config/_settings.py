"""Settings of the programs, read once at start."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import attrs

from ._check import load_yaml

T = TypeVar("T")


class SettingsError(Exception):
    """A settings file can't be used; the text names file, line and field."""


@attrs.frozen
class NodeSettings:
    """What every node of the system has to know at its start."""

    # Node id; stays the same over restarts.
    node: str
    # Failure domain, in the deployment's words.
    domain: str
    # Host and port at which peers reach the link server of this node.
    link_address: str
    # Base URL of the object API.
    object_api_url: str
    # Base URL of the platform's instance list.
    instance_list_url: str
    # File with the secret that the system's own processes share.
    cluster_secret_file: str
    # Host and port that the link server listens at; empty for link_address.
    listen_address: str = ""
    # Host and port of statsd; empty for none.
    statsd_address: str = ""
    # File that spans are appended to; empty for none.
    trace_file: str = ""
    # Part of the requests that are traced when the caller does not say.
    trace_ratio: float = 1.0
    # Time without any peer and without the object API after which a node
    # takes no new work.
    isolation_bound_s: float = 30.0
    # Time between two comparisons with a peer.
    digest_interval_s: float = 2.0
    # Mean time between two looks for listed members that are not known here.
    join_interval_s: float = 5.0
    # Time without a word from a peer after which it is suspected.
    suspect_after_s: float = 2.0
    # Time that a suspected member has to answer before it counts as dead.
    dead_after_s: float = 3.0


@attrs.frozen
class EntrySettings:
    """Settings of an entry."""

    # What every node has.
    common: NodeSettings
    # Host and port for callers and operators.
    http_address: str
    # File with the first operator's token.
    operator_token_file: str
    # Threads that serve requests; each waiting request holds one.
    http_threads: int = 48
    # Largest body that a request may have.
    max_body_bytes: int = 4 * 1024 * 1024
    # Deadline of a request that names none.
    default_budget_s: float = 30.0


@attrs.frozen
class EngineSettings:
    """One upstream instance that an agent fronts."""

    # Instance name, as in the instance list.
    name: str
    # Base URL.
    url: str
    # Requests that it takes at once.
    slots: int = 8


@attrs.frozen
class AgentSettings:
    """Settings of an agent."""

    # What every node has.
    common: NodeSettings
    # Upstream that the instances belong to.
    upstream: str
    # The instances.
    instances: tuple[EngineSettings, ...]
    # Base URL of the weight store; empty beside a plain service.
    weight_store_url: str = ""
    # Base URL of the scorer; empty for none.
    scorer_url: str = ""
    # Time between two looks at an instance's state.
    state_interval_s: float = 0.3
    # Time that a planned stop waits for what runs.
    drain_bound_s: float = 60.0
    # Time that a finished sample is kept for an owner that comes back.
    keep_samples_s: float = 120.0
    # Time a step owner's lease is valid without renewal.
    lease_s: float = 6.0


def load_settings(path: str, cls: type[T]) -> T:
    """Read and check one settings file."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    settings, faults = load_yaml(text, cls)
    if faults:
        raise SettingsError("\n".join(f"{path}: {fault}" for fault in faults))
    result: T = settings
    return result


def read_secret(path: str) -> str:
    """Return the secret in a file, without the line end."""
    try:
        secret = Path(path).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise SettingsError(f"{path}: {error}") from error
    if not secret:
        raise SettingsError(f"{path}: is empty")
    return secret
