"""Decoders of the operator's configuration, instances and named weight versions."""

from __future__ import annotations

from collections.abc import Mapping
from ipaddress import IPv4Address
from types import MappingProxyType
from typing import Any, Final

from ..decisions import EngineLimits
from ..errors import ErrorKind, Refusal, refuse
from ..fleet import (
    CallerLimits,
    Configuration,
    Instance,
    Route,
    RouteKind,
    Share,
    Upstream,
)
from ._account_keys import decode_accounts
from ._objects import is_integer

_ROUTE_KINDS: Final = MappingProxyType(
    {
        "idempotent": RouteKind.IDEMPOTENT,
        "non_idempotent": RouteKind.AT_MOST_ONCE,
        "streaming": RouteKind.STREAMING,
        "rollout": RouteKind.ROLLOUT,
        "batch": RouteKind.ROLLOUT,
    }
)

#: Whether an instance is leaving, by its state.
_IS_LEAVING: Final = MappingProxyType({"ready": False, "draining": True})
#: Most slots of an instance: a thousand times the slots of the largest instance.
_MAX_SLOTS: Final = 10_000
#: Most tokens of an engine's memory: a thousand times those of the largest engine.
_MAX_MEMORY_TOKENS: Final = 10**9
#: Longest text of a field; names and addresses have fewer than 60 characters.
_MAX_CHARS: Final = 512
_MAX_PORT: Final = 65_535
#: Errors that decoding fields of unknown shape may raise.
_DECODE_ERRORS: Final = (
    AttributeError,
    KeyError,
    IndexError,
    OverflowError,
    TypeError,
    ValueError,
)

#: Limits for callers if a configuration names none, as in the platform's examples.
DEFAULT_LIMITS: Final = CallerLimits(16384, 32 * 1024 * 1024, 3.0, 15.0)


def decode_configuration(fields: Mapping[str, Any]) -> Configuration | Refusal:
    """Return a configuration, or a refusal that names the fault."""
    try:
        upstreams = [_upstream(item) for item in fields.get("services", ())]
        return Configuration(
            version=int(fields["version"]),
            routes=tuple(_route(item) for item in fields["routes"]),
            upstreams={item.name: item for item in upstreams},
            limits=_limits(fields.get("limits") or {}),
            accounts=decode_accounts(fields),
        )
    except _DECODE_ERRORS as error:
        return _unreadable("configuration", error)


def _route(fields: Mapping[str, Any]) -> Route:
    split = fields.get("split") or ({"service": fields["service"], "weight": 1},)
    return Route(
        name=_text(fields, "name"),
        host=_text(fields, "host"),
        prefix=_text(fields, "path-prefix"),
        kind=_ROUTE_KINDS[fields["type"]],
        shares=tuple(
            Share(_text(item, "service"), float(item["weight"])) for item in split
        ),
        timeout_s=_seconds(fields, "timeout-ms", 10.0),
        aim_s=_seconds(fields, "target-latency-ms", 1.0),
        max_attempts=max(1, int(fields.get("max-attempts", 1))),
        priority=int(fields.get("priority", 5)),
        is_public=fields.get("public") is True,
        is_resumable=bool(fields.get("resumable", False)),
        run_aim_s=_optional_seconds(fields, "run-aim-ms", 0.001),
        retention_s=_optional_seconds(fields, "retention-s", 1.0),
        is_single_version=bool(fields.get("single-version", False)),
    )


def _seconds(fields: Mapping[str, Any], name: str, default_s: float) -> float:
    value = fields.get(name)
    return default_s if value is None else float(value) / 1000.0


def _optional_seconds(
    fields: Mapping[str, Any], name: str, unit_s: float
) -> float | None:
    value = fields.get(name)
    return None if value is None else float(value) * unit_s


def _upstream(fields: Mapping[str, Any]) -> Upstream:
    # "engine-id" contains the properties of a model engine, not an id.
    engine = fields.get("engine-id") or {}
    return Upstream(
        name=_text(fields, "name"),
        health_path=fields.get("health-path", "/"),
        max_connections=int(fields.get("max-connections", 64)),
        models=tuple(item["name"] for item in engine.get("models", ())),
        event_tokens=int(engine.get("stride", 1)),
        memory_tokens=_memory_tokens(engine.get("kv-cache-tokens")),
        scaling=_scaling(fields.get("scaling")),
    )


def _memory_tokens(value: Any) -> int | None:
    """Return the memory of an engine; None if the value is no usable number."""
    if not is_integer(value) or not 0 < value <= _MAX_MEMORY_TOKENS:
        return None
    return int(value)


def _scaling(fields: Mapping[str, Any] | None) -> EngineLimits | None:
    if not fields:
        return None
    limits = EngineLimits(
        _integer(fields, "min-replicas"),
        _integer(fields, "max-replicas"),
        max(0.0, float(fields.get("boot-time-s", 0.0))),
    )
    if limits.minimum > limits.maximum:
        raise ValueError("min-replicas is above max-replicas")
    return limits


def _limits(fields: Mapping[str, Any]) -> CallerLimits:
    default = DEFAULT_LIMITS
    return CallerLimits(
        int(fields.get("max-header-bytes", default.max_header_bytes)),
        int(fields.get("max-body-bytes", default.max_body_bytes)),
        _seconds(fields, "header-timeout-ms", default.header_timeout_s),
        _seconds(fields, "idle-timeout-ms", default.idle_timeout_s),
    )


def decode_instance(name: str, fields: Any) -> Instance | Refusal:
    """Return an instance of the list, or a refusal that names the fault.

    Any writer may have written the entry. An entry that lacks a mandatory field, has a
    field of a wrong type or has an unknown state is refused.
    """
    try:
        address = _address(_text(fields, "address"))
        for field in ("version", "zone"):
            _text(fields, field)
        for field in ("cold-remaining-ms", "sequence"):
            _number(fields, field)
        return Instance(
            id=name,
            upstream=_text(fields, "service"),
            host=address[0],
            port=address[1],
            domain=fields["zone"],
            slots=_integer(fields, "slots", 1, _MAX_SLOTS),
            is_leaving=_IS_LEAVING[fields["state"]],
            versions=_versions(fields.get("models") or ()),
            born_ms=_integer(fields, "born", 1) if "born" in fields else 0,
        )
    except _DECODE_ERRORS as error:
        return _unreadable(f"instance {name:.80}", error)


def _versions(models: Any) -> dict[str, int]:
    return {_text(item, "name"): _integer(item, "version") for item in models}


def decode_version(fields: Any) -> tuple[str, int] | Refusal:
    """Return the model and the weight version that a trainer has named."""
    try:
        return _text(fields, "model"), _integer(fields, "version", 1)
    except _DECODE_ERRORS as error:
        return _unreadable("weight version", error)


def _unreadable(subject: str, error: Exception) -> Refusal:
    """Return a refusal whose reason is short, whatever the fields contain."""
    reason = f"{subject}: {type(error).__name__} {error!s:.120}"
    return refuse(ErrorKind.UNREADABLE, reason)


def _text(fields: Any, name: str) -> str:
    value = fields[name]
    if not isinstance(value, str) or not 0 < len(value) <= _MAX_CHARS:
        raise ValueError(f"{name} must be a text of 1 to {_MAX_CHARS} characters")
    return value


def _number(fields: Any, name: str) -> float:
    value = fields[name]
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{name} must be a number")
    return value


def _integer(fields: Any, name: str, minimum: int = 0, maximum: int = 2**53) -> int:
    value = fields[name]
    if not is_integer(value) or not minimum <= value <= maximum:
        raise ValueError(f"{name} must be an integer from {minimum} to {maximum}")
    return int(value)


def _address(text: str) -> tuple[str, int]:
    """Return the host and port of an address; raise ValueError if it has none."""
    host, _, port = text.rpartition(":")
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"no port in {text!a}")
    return str(IPv4Address(host)), int(port)
