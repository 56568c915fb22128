"""The operators' command line against a running deployment."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from click.testing import CliRunner, Result

from pistachioglade.ctl import main
from pistachioglade.load import Cluster

from .conftest import CONFIGS


def _run(cluster: Cluster, *arguments: str) -> Result:
    urls = [part for url in cluster.entry_urls() for part in ("--url", url)]
    token = ["--token-file", str(cluster.folder / "operator.token")]
    return CliRunner().invoke(main, [*urls, *token, *arguments])


def _json(cluster: Cluster, *arguments: str) -> Any:
    result = _run(cluster, "--output", "json", *arguments)
    assert result.exit_code == 0, result.output
    return json.loads(result.stdout)


def test_check_names_every_fault(tmp_path: Path) -> None:
    path = tmp_path / "bad.yaml"
    path.write_text("trainers:\n  - {name: a, share_percent: x}\nsurprise: 1\n")
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 2
    assert "line 2: trainers[0].share_percent: must be a whole number" in result.output
    assert "line 3: surprise: unknown field" in result.output


def test_status_without_an_entry_url_is_a_usage_error() -> None:
    result = CliRunner().invoke(main, ["status"])
    assert result.exit_code == 2
    assert "--url" in result.output


def test_operator_commands_work_on_a_running_deployment(
    cluster: Cluster, tmp_path: Path
) -> None:
    base, second = tmp_path / "base.yaml", tmp_path / "second.yaml"
    base.write_text(CONFIGS["base"])
    second.write_text(CONFIGS["second"])
    applied = _json(cluster, "apply", str(base))
    assert applied == {"generation": 1, "changed": True, "not_in_force_at": []}
    again = _json(cluster, "apply", str(base))
    assert again == {"generation": 1, "changed": False, "not_in_force_at": []}
    assert "+  hedge_percent: 11" in _run(cluster, "diff", str(second)).stdout
    late = _run(cluster, "apply", str(second), "--base-generation", "9")
    assert (late.exit_code, "conflict" in late.output) == (1, True)
    assert _json(cluster, "apply", str(second))["generation"] == 2
    _check_status_and_drain(cluster)
    for form, begin in (("table", "Trainers"), ("csv", "trainer,"), ("html", "<!doc")):
        report = _run(cluster, "report", "--form", form)
        assert report.stdout.startswith(begin), report.output
    cluster.request("object-api", "POST", "/control/faults", {"down": True})
    refused = _run(cluster, "apply", str(base))
    assert (refused.exit_code, "platform-unavailable" in refused.output) == (1, True)
    assert _run(cluster, "report").exit_code == 1


def _check_status_and_drain(cluster: Cluster) -> None:
    nodes = {item["node"]: item for item in _json(cluster, "status")["nodes"]}
    assert set(nodes) == {*cluster.upstream_of, "entry-0", "entry-1"}
    assert {item["status"]["generation"] for item in nodes.values()} == {2}
    assert _run(cluster, "drain", "agent-app-1").exit_code == 0
    cluster.wait(
        "the drained agent's end", lambda: not cluster.is_running("agent-app-1")
    )
    assert _run(cluster, "drain", "nobody").exit_code == 1
