"""The checker reports line and field of each fault and never raises."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from .. import (
    AgentSettings,
    SettingsError,
    check_document,
    config_from_parts,
    config_to_parts,
    load_settings,
)

_DEPLOYMENTS = Path(__file__).parents[3] / "deployments"
_GOOD = (_DEPLOYMENTS / "vereniging" / "config.yaml").read_text(encoding="utf-8")


@pytest.mark.parametrize("name", ["vereniging", "jalrekha"])
def test_the_deployments_files_have_no_faults(name: str) -> None:
    text = (_DEPLOYMENTS / name / "config.yaml").read_text(encoding="utf-8")
    config, faults = check_document(text)
    assert not faults
    assert config is not None
    assert config_from_parts(config_to_parts(config)) == config


@pytest.mark.parametrize(
    ("old", "new", "line", "field"),
    [
        ("share_percent: 60", "share_percent: 50", 16, "trainers"),
        ("share_percent: 60", "share_percent: sixty", 19, "trainers[0].share_percent"),
        ("share_percent: 60", "share: 60", 19, "trainers[0].share"),
        ("name: tagger", "name: summariser", 16, "trainers[0].name"),
        ("[jurist-lm]", "[jurist]", 18, "trainers[0].upstreams[0]"),
        ("[jurist-lm]", "[archief-app]", 18, "trainers[0].upstreams[0]"),
        ("weighing: idle", "weighing: both", 42, "policy.weighing"),
        ("name: fair", "name: unfair", 41, "policy.name"),
        ("retry_percent: 20", "retry_percent: -1", 44, "policy.retry_percent"),
        ("token_sha256: 9", "token_sha256: x", 21, "trainers[0].token_sha256"),
    ],
)
def test_a_fault_is_reported_with_its_line_and_field(
    old: str, new: str, line: int, field: str
) -> None:
    config, faults = check_document(_GOOD.replace(old, new))
    assert config is None
    assert (line, field) in [(fault.line, fault.field) for fault in faults]


@pytest.mark.parametrize("text", ["", "- a", "a: [", "\x00", "&a [*a]", "a: !!x 1"])
def test_text_that_declares_no_configuration_is_refused(text: str) -> None:
    config, faults = check_document(text)
    assert config is None
    assert faults


@given(st.text(max_size=80))
def test_any_text_gives_a_configuration_or_faults(text: str) -> None:
    config, faults = check_document(text)
    assert (config is None) == bool(faults)


@given(st.integers(0, len(_GOOD) - 1), st.text(max_size=4))
def test_a_damaged_file_gives_a_configuration_or_faults(
    position: int, noise: str
) -> None:
    config, faults = check_document(_GOOD[:position] + noise + _GOOD[position + 2 :])
    assert (config is None) == bool(faults)


def test_a_settings_error_names_file_line_and_field(tmp_path: Path) -> None:
    path = tmp_path / "agent.yaml"
    path.write_text("upstream: lm\ninstances: []\ncommon: {}\nlease: 3\n")
    with pytest.raises(SettingsError) as caught:
        load_settings(str(path), AgentSettings)
    assert f"{path}: line 4: lease: unknown field" in str(caught.value)
