"""The operators' declarative file, the programs' settings, and checks of both."""

from ._check import Fault, check_document, load_yaml
from ._model import (
    Caller,
    CallerKind,
    Operation,
    Operator,
    Policy,
    ServiceConfig,
    Trainer,
    Upstream,
    UpstreamKind,
    Weighing,
)
from ._parts import config_from_parts, config_to_parts, digest_of
from ._settings import (
    AgentSettings,
    EngineSettings,
    EntrySettings,
    NodeSettings,
    SettingsError,
    load_settings,
    read_secret,
)

__all__ = [
    "AgentSettings",
    "Caller",
    "CallerKind",
    "EngineSettings",
    "EntrySettings",
    "Fault",
    "NodeSettings",
    "Operation",
    "Operator",
    "Policy",
    "ServiceConfig",
    "SettingsError",
    "Trainer",
    "Upstream",
    "UpstreamKind",
    "Weighing",
    "check_document",
    "config_from_parts",
    "config_to_parts",
    "digest_of",
    "load_settings",
    "load_yaml",
    "read_secret",
]
