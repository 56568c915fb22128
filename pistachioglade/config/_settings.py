"""Settings of the programs, read once at the start."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import attrs

from ._check import load_yaml

T = TypeVar("T")


class SettingsError(Exception):
    """A settings file is unusable; the message names file, line and field."""


@attrs.frozen
class NodeSettings:
    """Settings that every node needs at its start."""

    # Node id, the same after each restart.
    node: str
    # Failure domain, as the deployment names it.
    domain: str
    # Host and port at which peers reach the link server of this node.
    link_address: str
    # Base URL of the object API.
    object_api_url: str
    # Base URL of the platform's instance list.
    instance_list_url: str
    # File with the secret that all processes of the service share.
    cluster_secret_file: str
    # Host and port at which the link server listens; empty for link_address.
    listen_address: str = ""
    # Host and port of statsd; empty for no metrics.
    statsd_address: str = ""
    # File to which spans are appended; empty for no spans.
    trace_file: str = ""
    # Fraction of requests to trace if the caller sends no trace context.
    trace_ratio: float = 1.0
    # Time without contact to any peer or to the object API, in seconds, after which the
    # node accepts no new work.
    isolation_bound_s: float = 30.0
    # Interval of the comparisons with a peer, in seconds.
    digest_interval_s: float = 2.0
    # Mean interval of the checks for listed but unknown members, in seconds.
    join_interval_s: float = 5.0
    # Time without a message from a peer until the peer is suspected, in seconds.
    suspect_after_s: float = 2.0
    # Time within which a suspected member has to answer, in seconds; then it is dead.
    dead_after_s: float = 3.0


@attrs.frozen
class EntrySettings:
    """Settings of an entry."""

    # What every node has.
    common: NodeSettings
    # Host and port for callers and operators.
    http_address: str
    # File with the token of the first operator.
    operator_token_file: str
    # Number of threads that serve requests; each waiting request occupies one.
    http_threads: int = 48
    # Largest request body, in bytes.
    max_body_bytes: int = 4 * 1024 * 1024
    # Time budget of a request without a deadline, in seconds.
    default_budget_s: float = 30.0


@attrs.frozen
class EngineSettings:
    """One upstream instance that an agent serves."""

    # Instance name, as in the instance list.
    name: str
    # Base URL.
    url: str
    # Number of requests that the instance runs concurrently.
    slots: int = 8


@attrs.frozen
class AgentSettings:
    """Settings of an agent."""

    # What every node has.
    common: NodeSettings
    # Name of the upstream to which the instances belong.
    upstream: str
    # The instances.
    instances: tuple[EngineSettings, ...]
    # Base URL of the weight store; empty for a plain service.
    weight_store_url: str = ""
    # Base URL of the scorer; empty for no scorer.
    scorer_url: str = ""
    # Interval of the checks of an instance's state, in seconds.
    state_interval_s: float = 0.3
    # Time for which a planned stop waits for running requests, in seconds.
    drain_bound_s: float = 60.0
    # Time for which a finished sample is kept for a returning owner, in seconds.
    keep_samples_s: float = 120.0
    # Time for which a step owner's lease is valid without renewal, in seconds.
    lease_s: float = 6.0


def load_settings(path: str, cls: type[T]) -> T:
    """Read and check one settings file; raise SettingsError for faults."""
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
    """Return the secret in a file, without surrounding white space."""
    try:
        secret = Path(path).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise SettingsError(f"{path}: {error}") from error
    if not secret:
        raise SettingsError(f"{path}: is empty")
    return secret
