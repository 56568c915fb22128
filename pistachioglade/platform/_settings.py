"""The settings file that the platform writes for a process."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Final

import attrs

from ..errors import ErrorKind, Refusal, refuse

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE: Final = "PISTACHIOGLADE_CONFIG"

#: Name of the duty to report usage, in the settings.
_USAGE_DUTY: Final = "usage_reporting"
#: Name of the duty to order engines, in the settings.
_SCALING_DUTY: Final = "autoscaling"
#: Lease duration if the settings name none, in seconds.
_DEFAULT_LEASE_S: Final = 3.0
#: Time within which the end of a job takes effect if the settings name none, in
#: seconds.
_DEFAULT_CANCEL_S: Final = 3.0


@attrs.frozen
class Address:
    """Host and port at which a process listens."""

    # IP address.
    host: str
    # TCP port.
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class UsageSettings:
    """Where and when usage has to be reported."""

    # Address of the platform's API.
    api: Address
    # Length of a window, in seconds.
    window_s: float
    # Time after a window's end by which its report is due, in seconds.
    delay_s: float


@attrs.frozen
class ProcessSettings:
    """The settings that a process gets at its start."""

    # Name of the machine on which the process runs.
    node: str
    # IP address of the machine.
    host: str
    # Failure domain.
    domain: str
    # Address at which callers connect; None if callers don't.
    callers: Address | None
    # Address of the readiness probe; None if there is no probe.
    readiness: Address | None
    # First port for links between the service's own processes.
    internal_port: int
    # Last port for those links.
    last_internal_port: int
    # Address of the store.
    store: Address
    # Address of the model engine on the same machine; None if there is none.
    engine: Address | None
    # Interval at which instances renew their entries in the store, in seconds.
    heartbeat_s: float
    # Time for which a draining instance still serves, in seconds.
    drain_s: float
    # Time between SIGTERM and SIGKILL, in seconds.
    grace_s: float
    # Time within which a new configuration has to take effect, in seconds.
    config_apply_s: float
    # Time for which a job's results are kept after its submission, in seconds.
    result_retention_s: float
    # Largest object that the store accepts, in bytes.
    max_object_bytes: int
    # Processor capacity for the process, in cores of usual speed.
    cpu_cores: float
    # Bandwidth of the machine's link, in megabits per second.
    link_mbps: float
    # Memory of the machine, in megabytes; None if it isn't limited.
    memory_mb: int | None
    # File descriptors that the process may have; None if the settings state no limit.
    max_descriptors: int | None = None
    # Most connections of callers; None for as many as memory and descriptors allow.
    max_caller_connections: int | None = None
    # Most connections of probes to each address; None as for callers.
    max_probe_connections: int | None = None
    # Largest body of a probe's request, in bytes.
    max_probe_body_bytes: int = 0
    # Least time between orders of two lease holders to one engine, in seconds.
    lease_s: float = _DEFAULT_LEASE_S
    # Time within which the end of a job has to take effect, in seconds.
    cancel_s: float = _DEFAULT_CANCEL_S
    # Whether engines and the platform's API refuse a fencing token that is lower than
    # an earlier one.
    checks_fences: bool = False
    # Usage reports that the platform wants; None if it wants none.
    usage: UsageSettings | None = None
    # Platform's API that takes orders of engines; None if they are no duty here.
    scaling_api: Address | None = None


def load_settings(path: Path) -> ProcessSettings | Refusal:
    """Read and check a settings file; a refusal names the file and the field."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return refuse(ErrorKind.BAD_REQUEST, f"{path}: {error}")
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    fields = {name.strip(): value.strip() for name, _, value in pairs}
    try:
        return _decode(fields)
    except _FieldError as error:
        return refuse(ErrorKind.BAD_REQUEST, f"{path}: {error}")


class _FieldError(ValueError):
    """A field is missing or has a wrong value."""


def _decode(fields: Mapping[str, str]) -> ProcessSettings:
    first_port, _, last_port = _text(fields, "internal-port-range").partition(",")
    return ProcessSettings(
        node=_text(fields, "node-name"),
        host=_text(fields, "ip-address"),
        domain=_text(fields, "zone"),
        callers=_address(fields, "listen.frontend"),
        readiness=_address(fields, "listen.ready"),
        internal_port=_integer("internal-port-range", first_port),
        last_internal_port=_integer("internal-port-range", last_port),
        store=_required_address(fields, "platform.address"),
        engine=_address(fields, "app"),
        heartbeat_s=_number(fields, "heartbeat-interval-ms") / 1000.0,
        drain_s=_number(fields, "bounds.drain-timeout-ms") / 1000.0,
        grace_s=_number(fields, "bounds.grace-period-s"),
        config_apply_s=_number(fields, "bounds.config-apply-ms") / 1000.0,
        cancel_s=_cancel_s(fields),
        result_retention_s=_number(fields, "bounds.status-retention-s"),
        max_object_bytes=int(_number(fields, "platform.max-value-bytes")),
        cpu_cores=_number(fields, "limits.cpu-share") * _core_speed(fields),
        link_mbps=_number(fields, "limits.link-mbps"),
        memory_mb=_memory_mb(fields),
        max_descriptors=_count(fields, "limits.max-file-descriptors"),
        max_caller_connections=_count(fields, "callers.max-connections"),
        max_probe_connections=_count(fields, "probes.max-connections"),
        max_probe_body_bytes=_count(fields, "probes.max-body-bytes") or 0,
        lease_s=_lease_s(fields),
        checks_fences=fields.get("bounds.fencing-enforced") == "true",
        usage=_usage(fields),
        scaling_api=_duty_api(fields, _SCALING_DUTY),
    )


def _text(fields: Mapping[str, str], name: str) -> str:
    value = fields.get(name, "")
    if not value:
        raise _FieldError(f"{name}: missing")
    return value


def _integer(name: str, text: str) -> int:
    if not text.isdigit():
        raise _FieldError(f"{name}: {text!r} is not an integer")
    return int(text)


def _count(fields: Mapping[str, str], name: str) -> int | None:
    """Return a number of at least 1; None if the field is missing or 0."""
    text = fields.get(name, "")
    return _integer(name, text) or None if text else None


def _number(fields: Mapping[str, str], name: str) -> float:
    text = _text(fields, name)
    try:
        return float(text)
    except ValueError:
        raise _FieldError(f"{name}: {text!r} is not a number") from None


def _core_speed(fields: Mapping[str, str]) -> float:
    """Return the speed of the machine's cores, as a multiple of the usual speed."""
    name = "limits.cpu-cores"
    return _number(fields, name) if name in fields else 1.0


def _lease_s(fields: Mapping[str, str]) -> float:
    name = "bounds.lease-duration-ms"
    return _number(fields, name) / 1000.0 if name in fields else _DEFAULT_LEASE_S


def _cancel_s(fields: Mapping[str, str]) -> float:
    name = "bounds.cancel-timeout-ms"
    return _positive(fields, name) / 1000.0 if name in fields else _DEFAULT_CANCEL_S


def _memory_mb(fields: Mapping[str, str]) -> int | None:
    name = "limits.memory-mb"
    if name not in fields:
        return None
    number = _positive(fields, name)
    if not 1.0 <= number < float("inf"):
        raise _FieldError(f"{name}: {number:g} is not a size of memory")
    return int(number)


def _usage(fields: Mapping[str, str]) -> UsageSettings | None:
    """Return what the usage reports need; None if they are no duty here."""
    api = _duty_api(fields, _USAGE_DUTY)
    if api is None:
        return None
    return UsageSettings(
        api,
        _positive(fields, "bounds.report-window-s"),
        _positive(fields, "bounds.usage-delay-s"),
    )


def _duty_api(fields: Mapping[str, str], duty: str) -> Address | None:
    """Return the address of the platform's API if a duty is named, else None."""
    is_named = duty in fields.get("cloud-api.duties", "").split(",")
    return _required_address(fields, "cloud-api.address") if is_named else None


def _positive(fields: Mapping[str, str], name: str) -> float:
    number = _number(fields, name)
    if not number > 0.0:
        raise _FieldError(f"{name}: {number:g} is not positive")
    return number


def _address(fields: Mapping[str, str], name: str) -> Address | None:
    text = fields.get(name, "")
    if not text:
        return None
    host, _, port = text.rpartition(":")
    return Address(host, _integer(name, port))


def _required_address(fields: Mapping[str, str], name: str) -> Address:
    address = _address(fields, name)
    if address is None:
        raise _FieldError(f"{name}: missing")
    return address
