"""A configuration as content-addressed parts, so that only changed parts are sent."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any

import attrs

from ..messages import structure, unstructure
from ._model import ServiceConfig


def digest_of(text: str) -> str:
    """Return the SHA-256 of a part, in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def config_to_parts(config: ServiceConfig) -> dict[str, str]:
    """Return one JSON text for each section of the file."""
    sections: dict[str, Any] = unstructure(config)
    return {
        name: json.dumps(section, sort_keys=True) for name, section in sections.items()
    }


def config_from_parts(parts: Mapping[str, str]) -> ServiceConfig:
    """Return the configuration whose sections are ``parts``."""
    known = {field.name for field in attrs.fields(ServiceConfig)}
    sections = {name: json.loads(text) for name, text in parts.items() if name in known}
    return structure(sections, ServiceConfig)
