"""Checks YAML against attrs classes and reports each fault with line and field."""

from __future__ import annotations

import re
import types
from collections import Counter
from collections.abc import Iterable, Iterator
from enum import Enum
from itertools import chain
from typing import Any, Final, Union, get_args, get_origin, get_type_hints

import attrs
import yaml

from ._model import ServiceConfig, Trainer, UpstreamKind

_SHA256: Final = re.compile(r"[0-9a-f]{64}")
_NAME: Final = re.compile(r"[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?")
_POLICIES: Final = ("fair", "baseline")
_SCALARS: Final = {str: "a text", int: "a whole number", bool: "true or false"}


@attrs.frozen
class Fault:
    """One fault in a file."""

    # Line, counted from 1; 0 if the fault has no line.
    line: int
    # Path of the field, such as "trainers[0].share_percent".
    field: str
    # Description of the fault.
    reason: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.field or 'file'}: {self.reason}"


class _Builder:
    """Builds attrs objects from YAML nodes and collects the faults."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def fail(self, node: yaml.Node, path: str, reason: str) -> None:
        self.faults.append(Fault(node.start_mark.line + 1, path, reason))

    def build(self, node: yaml.Node, hint: Any, path: str) -> Any:
        origin = get_origin(hint)
        if origin in (Union, types.UnionType):
            return self._build_optional(node, hint, path)
        if origin is tuple:
            return self._build_sequence(node, get_args(hint)[0], path)
        if origin is dict:
            return self._build_dict(node, get_args(hint)[1], path)
        if attrs.has(hint):
            return self._build_object(node, hint, path)
        return self._build_scalar(node, hint, path)

    def _build_optional(self, node: yaml.Node, hint: Any, path: str) -> Any:
        if node.tag == "tag:yaml.org,2002:null":
            return None
        inner = next(arg for arg in get_args(hint) if arg is not type(None))
        return self.build(node, inner, path)

    def _build_sequence(self, node: yaml.Node, hint: Any, path: str) -> Any:
        if not isinstance(node, yaml.SequenceNode):
            self.fail(node, path, "must be a list")
            return ()
        return tuple(
            self.build(item, hint, f"{path}[{index}]")
            for index, item in enumerate(node.value)
        )

    def _build_dict(self, node: yaml.Node, hint: Any, path: str) -> Any:
        if not isinstance(node, yaml.MappingNode):
            self.fail(node, path, "must be a mapping")
            return {}
        return {
            key.value: self.build(value, hint, f"{path}.{key.value}")
            for key, value in node.value
        }

    def _build_object(self, node: yaml.Node, cls: Any, path: str) -> Any:
        if not isinstance(node, yaml.MappingNode):
            self.fail(node, path, "must be a mapping")
            return None
        fields = {field.name: field for field in attrs.fields(cls)}
        hints = get_type_hints(cls)
        before = len(self.faults)
        values: dict[str, Any] = {}
        for key, value in node.value:
            name = str(key.value)
            field_path = f"{path}.{name}" if path else name
            if name not in fields:
                self.fail(key, field_path, "unknown field")
            elif name in values:
                self.fail(key, field_path, "stands twice")
            else:
                values[name] = self.build(value, hints[name], field_path)
        for name, field in fields.items():
            if field.default is attrs.NOTHING and name not in values:
                self.fail(node, f"{path}.{name}" if path else name, "is missing")
        return cls(**values) if len(self.faults) == before else None

    def _build_scalar(self, node: yaml.Node, hint: Any, path: str) -> Any:
        if not isinstance(node, yaml.ScalarNode):
            self.fail(node, path, "must be a single value")
            return None
        value = yaml.safe_load(yaml.serialize(node))
        if isinstance(hint, type) and issubclass(hint, Enum):
            return self._build_enum(node, hint, value, path)
        if hint is float and type(value) in (int, float):
            return float(value)
        if type(value) is not hint:
            expected = _SCALARS.get(hint, "a number")
            self.fail(node, path, f"must be {expected}, not {node.value!r:.60}")
            return None
        return value

    def _build_enum(
        self, node: yaml.Node, hint: type[Enum], value: Any, path: str
    ) -> Any:
        choices = [item.value for item in hint]
        if value not in choices:
            self.fail(node, path, f"must be one of {', '.join(map(str, choices))}")
            return None
        return hint(value)


def load_yaml(text: str, cls: type) -> tuple[Any, tuple[Fault, ...]]:
    """Return the object that ``text`` declares, or None and all faults."""
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        reason = getattr(error, "problem", None) or "is not YAML"
        return None, (Fault(line, "", str(reason)),)
    except ValueError as error:
        return None, (Fault(0, "", f"is not YAML: {error}"),)
    if node is None:
        return None, (Fault(0, "", "is empty"),)
    return _build_root(node, cls)


def _build_root(node: yaml.Node, cls: type) -> tuple[Any, tuple[Fault, ...]]:
    builder = _Builder()
    try:
        result = builder.build(node, cls, "")
    except (RecursionError, ValueError, yaml.YAMLError) as error:
        return None, (Fault(0, "", f"can't be read: {type(error).__name__}"),)
    faults = tuple(sorted(builder.faults, key=lambda fault: fault.line))
    return (None, faults) if faults else (result, ())


def check_document(text: str) -> tuple[ServiceConfig | None, tuple[Fault, ...]]:
    """Return the configuration that ``text`` declares, or None and all faults."""
    config, faults = load_yaml(text, ServiceConfig)
    if config is None:
        return None, faults
    found = tuple(
        Fault(_line_of(text, fault.field), fault.field, fault.reason)
        for fault in chain(
            _name_faults(config),
            _reference_faults(config),
            _share_faults(config),
            _value_faults(config),
        )
    )
    return (None, found) if found else (config, ())


def _line_of(text: str, path: str) -> int:
    """Return the line of the field at ``path``."""
    node: yaml.Node | None = yaml.compose(text, Loader=yaml.SafeLoader)
    line = 0
    for step in re.findall(r"[^.\[\]]+", path):
        if isinstance(node, yaml.SequenceNode) and step.isdigit():
            node = node.value[int(step)]
        elif isinstance(node, yaml.MappingNode):
            pairs = {key.value: value for key, value in node.value}
            node = pairs.get(step)
        if node is None:
            return line
        line = node.start_mark.line + 1
    return line


def _declared_names(config: ServiceConfig) -> Iterator[tuple[str, str]]:
    sections = ("upstreams", "trainers", "callers", "operators")
    for section in sections:
        for index, item in enumerate(getattr(config, section)):
            yield f"{section}[{index}].name", item.name


def _name_faults(config: ServiceConfig) -> Iterator[Fault]:
    declared = list(_declared_names(config))
    seen = Counter((path.partition("[")[0], name) for path, name in declared)
    for path, name in declared:
        if not _NAME.fullmatch(name):
            yield Fault(0, path, "must be lower case letters, digits and hyphens")
        if seen[path.partition("[")[0], name] > 1:
            yield Fault(0, path, f"{name!r} is declared twice")


def _reference_faults(config: ServiceConfig) -> Iterator[Fault]:
    kinds = {item.name: item.kind for item in config.upstreams}
    for section in ("trainers", "callers"):
        for index, item in enumerate(getattr(config, section)):
            for number, name in enumerate(item.upstreams):
                path = f"{section}[{index}].upstreams[{number}]"
                if name not in kinds:
                    yield Fault(0, path, f"no upstream {name!r} is declared")
                elif section == "trainers" and kinds[name] != UpstreamKind.ENGINE:
                    yield Fault(0, path, f"upstream {name!r} has no model engines")


def _share_faults(config: ServiceConfig) -> Iterator[Fault]:
    for upstream in config.upstreams:
        shares = [
            trainer.share_percent
            for trainer in config.trainers
            if upstream.name in trainer.upstreams
        ]
        if shares and sum(shares) != 100:
            reason = f"shares of upstream {upstream.name!r} add up to {sum(shares)}"
            yield Fault(0, "trainers", f"{reason}, not 100")


def _value_faults(config: ServiceConfig) -> Iterator[Fault]:
    yield from chain.from_iterable(
        _trainer_faults(index, trainer) for index, trainer in enumerate(config.trainers)
    )
    for section in ("trainers", "callers", "operators"):
        for index, item in enumerate(getattr(config, section)):
            if not _SHA256.fullmatch(item.token_sha256):
                path = f"{section}[{index}].token_sha256"
                yield Fault(0, path, "must be 64 hexadecimal digits")
    if config.policy.name not in _POLICIES:
        yield Fault(0, "policy.name", f"must be one of {', '.join(_POLICIES)}")
    yield from _bounds(config)


def _trainer_faults(index: int, trainer: Trainer) -> Iterator[Fault]:
    path = f"trainers[{index}]"
    if not 1 <= trainer.share_percent <= 100:
        yield Fault(0, f"{path}.share_percent", "must be 1 to 100")
    if trainer.staleness_bound_versions < 0:
        yield Fault(0, f"{path}.staleness_bound_versions", "must be 0 or more")
    if not trainer.upstreams:
        yield Fault(0, f"{path}.upstreams", "must name an upstream")


def _bounds(config: ServiceConfig) -> Iterable[Fault]:
    numbers = [
        (f"upstreams[{index}].{name}", getattr(item, name))
        for index, item in enumerate(config.upstreams)
        for name in ("reserved_slots", "max_queued_calls", "max_queued_rollouts")
    ]
    numbers += [
        (f"policy.{name}", getattr(config.policy, name))
        for name in ("hedge_percent", "retry_percent")
    ]
    return [
        Fault(0, path, "must be 0 or more") for path, number in numbers if number < 0
    ]
