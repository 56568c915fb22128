"""The operator's configuration and the list of instances, as the store has them."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

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

_KINDS: Final = MappingProxyType(
    {
        "idempotent": RouteKind.IDEMPOTENT,
        "non_idempotent": RouteKind.AT_MOST_ONCE,
        "streaming": RouteKind.STREAMING,
        "rollout": RouteKind.ROLLOUT,
        "batch": RouteKind.ROLLOUT,
    }
)

#: Limits for callers where a configuration names none; those of the pages' examples.
DEFAULT_LIMITS: Final = CallerLimits(16384, 32 * 1024 * 1024, 3.0, 15.0)


def decode_configuration(fields: Mapping[str, Any]) -> Configuration | Refusal:
    """Return a configuration, or what is wrong with it."""
    try:
        upstreams = [_upstream(item) for item in fields.get("services", ())]
        return Configuration(
            version=int(fields["version"]),
            routes=tuple(_route(item) for item in fields["routes"]),
            upstreams={item.name: item for item in upstreams},
            limits=_limits(fields.get("limits") or {}),
        )
    except (KeyError, TypeError, ValueError) as error:
        reason = f"configuration: {type(error).__name__} {error}"
        return refuse(ErrorKind.BAD_REQUEST, reason)


def _route(fields: Mapping[str, Any]) -> Route:
    split = fields.get("split") or ({"service": fields["service"], "weight": 1},)
    return Route(
        name=fields["name"],
        host=fields["host"],
        prefix=fields["path-prefix"],
        kind=_KINDS[fields["type"]],
        shares=tuple(Share(item["service"], float(item["weight"])) for item in split),
        timeout_s=_seconds(fields, "timeout-ms", 10.0),
        aim_s=_seconds(fields, "target-latency-ms", 1.0),
        max_attempts=max(1, int(fields.get("max-attempts", 1))),
        priority=int(fields.get("priority", 5)),
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
    # "engine-id" holds the limits of a model engine, not an id.
    engine = fields.get("engine-id") or {}
    return Upstream(
        name=fields["name"],
        health_path=fields.get("health-path", "/"),
        max_connections=int(fields.get("max-connections", 64)),
        models=tuple(item["name"] for item in engine.get("models", ())),
        event_tokens=int(engine.get("stride", 1)),
    )


def _limits(fields: Mapping[str, Any]) -> CallerLimits:
    default = DEFAULT_LIMITS
    return CallerLimits(
        int(fields.get("max-header-bytes", default.max_header_bytes)),
        int(fields.get("max-body-bytes", default.max_body_bytes)),
        _seconds(fields, "header-timeout-ms", default.header_timeout_s),
        _seconds(fields, "idle-timeout-ms", default.idle_timeout_s),
    )


def decode_instance(name: str, fields: Mapping[str, Any]) -> Instance | Refusal:
    """Return an entry of the list of instances, or what is wrong with it."""
    try:
        host, _, port = fields["address"].rpartition(":")
        models = fields.get("models") or ()
        return Instance(
            id=name,
            upstream=fields["service"],
            host=host,
            port=int(port),
            domain=fields.get("zone", ""),
            slots=max(1, int(fields.get("slots", 1))),
            is_leaving=fields.get("state") == "draining",
            versions={item["name"]: int(item["version"]) for item in models},
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        reason = f"instance {name}: {type(error).__name__} {error}"
        return refuse(ErrorKind.BAD_REQUEST, reason)


def decode_version(fields: Mapping[str, Any]) -> tuple[str, int] | Refusal:
    """Return the model and the weight version that its trainer has named."""
    try:
        return fields["model"], int(fields["version"])
    except (KeyError, TypeError, ValueError) as error:
        reason = f"weight version: {type(error).__name__} {error}"
        return refuse(ErrorKind.BAD_REQUEST, reason)
