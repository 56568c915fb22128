"""Command line for operators.

Exit codes: 0 success, 1 refused or unreachable, 2 wrong usage or an invalid file,
3 outcome unknown, 4 applied and not yet in force at every node.
"""

from __future__ import annotations

import difflib
import json
import sys
import time
from pathlib import Path
from typing import Any, Final

import attrs
import click
import yaml

from ..config import SettingsError, check_document, config_to_parts
from ..messages import structure, unstructure
from ..report import (
    Report,
    losses_from_logs,
    records_from_logs,
    render_csv,
    render_html,
    render_losses,
    render_text,
    summarise,
)
from ._accounts import account_page, read_configuration, render_account_page
from ._client import AdminClient, AdminError
from ._context import (
    EXIT_FAULTY,
    EXIT_NOT_IN_FORCE,
    UNKNOWN_KINDS,
    Context,
    exit_on_error,
)
from ._load import load_page
from ._load_text import render_history, render_load_page
from ._request_history import request_history
from ._story import read_log_lines, render_story
from ._trace import find_slowest_trace, read_spans, render_trace

_POLL_S: Final = 0.2
_RETRY_PAUSE_S: Final = 1.0


@click.group()
@click.option(
    "--url",
    "urls",
    multiple=True,
    envvar="PISTACHIOGLADE_URL",
    help="Base URL of an entry; may stand several times.",
)
@click.option(
    "--token-file",
    default="",
    envvar="PISTACHIOGLADE_TOKEN_FILE",
    help="File with the operator's token.",
)
@click.option("--output", type=click.Choice(["table", "json"]), default="table")
@click.pass_context
def main(
    context: click.Context, urls: tuple[str, ...], token_file: str, output: str
) -> None:
    """Operate a deployment: files, status, drain, report, traces."""
    context.obj = Context(urls, token_file, output)


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _read_valid_file(path: str) -> str:
    """Return the text of a declarative file; raises SettingsError if it is invalid."""
    text = _read_file(path)
    _config, faults = check_document(text)
    if faults:
        raise SettingsError("\n".join(f"{path}: {fault}" for fault in faults))
    return text


@main.command("check")
@click.argument("path")
@click.pass_obj
@exit_on_error
def _check(context: Context, path: str) -> None:
    """Check a declarative file; name every fault with its line and field."""
    _config, faults = check_document(_read_file(path))
    fields = {
        "valid": not faults,
        "faults": [
            {"line": item.line, "field": item.field, "reason": item.reason}
            for item in faults
        ],
    }
    text = "\n".join(f"{path}: {fault}" for fault in faults) or f"{path}: no fault"
    context.show(fields, text)
    if faults:
        sys.exit(EXIT_FAULTY)


def _to_yaml_lines(sections: dict[str, Any]) -> list[str]:
    return yaml.safe_dump(sections, sort_keys=True).splitlines()


@main.command("diff")
@click.argument("path")
@click.pass_obj
@exit_on_error
def _diff(context: Context, path: str) -> None:
    """Show what applying a file would change."""
    config, _faults = check_document(_read_valid_file(path))
    assert config is not None
    parts = config_to_parts(config)
    wanted = {name: json.loads(text) for name, text in parts.items()}
    current = context.client().call("GET", "config")
    lines = list(
        difflib.unified_diff(
            _to_yaml_lines(current["config"]),
            _to_yaml_lines(wanted),
            f"generation {current['generation']}",
            path,
            lineterm="",
        )
    )
    fields = {"generation": current["generation"], "diff": lines}
    context.show(fields, "\n".join(lines) or "no difference")


@main.command("apply")
@click.argument("path")
@click.option("--wait-s", default=30.0, help="Longest wait for all nodes.")
@click.option(
    "--base-generation",
    type=int,
    default=None,
    help="Refuse unless this generation is in force.",
)
@click.pass_obj
@exit_on_error
def _apply(
    context: Context, path: str, wait_s: float, base_generation: int | None
) -> None:
    """Apply a file atomically; safe to repeat."""
    text = _read_valid_file(path)
    client = context.client()
    applied = _apply_with_retries(client, text, base_generation, wait_s)
    generation = int(applied["generation"])
    behind = _wait_until_in_force(client, generation, wait_s)
    fields = {**applied, "not_in_force_at": behind}
    where = f"not yet at {', '.join(behind)}" if behind else "everywhere"
    context.show(fields, f"generation {generation} in force {where}")
    if behind:
        sys.exit(EXIT_NOT_IN_FORCE)


def _apply_with_retries(
    client: AdminClient, text: str, base_generation: int | None, wait_s: float
) -> Any:
    """Apply a file; retry after a lost answer, since applying is idempotent.

    A request with a base generation is not retried.
    """
    query = "" if base_generation is None else f"?base_generation={base_generation}"
    deadline_s = time.monotonic() + wait_s
    while True:
        try:
            return client.call("PUT", f"config{query}", text.encode())
        except AdminError as error:
            is_settled = error.kind not in UNKNOWN_KINDS
            if is_settled or query or time.monotonic() > deadline_s:
                raise
            click.echo(f"{error}; asking again", err=True)
            time.sleep(_RETRY_PAUSE_S)


def _wait_until_in_force(
    client: AdminClient, generation: int, wait_s: float
) -> list[str]:
    """Wait for a generation; return the live nodes that lack it after ``wait_s``."""
    deadline_s = time.monotonic() + wait_s
    while True:
        nodes = client.call("GET", "status")["nodes"]
        live = [node for node in nodes if node["state"] != "dead"]
        behind = [node["node"] for node in live if _generation(node) < generation]
        if not behind or time.monotonic() > deadline_s:
            return behind
        reached = len(live) - len(behind)
        click.echo(f"in force at {reached} of {len(live)} nodes", err=True)
        time.sleep(_POLL_S)


def _generation(node: dict[str, Any]) -> int:
    status = node["status"]
    return int(status["generation"]) if status else 0


@main.command("status")
@click.pass_obj
@exit_on_error
def _status(context: Context) -> None:
    """Show the nodes: state, generation, weights, load."""
    fields = context.client().call("GET", "status")
    context.show(fields, "\n".join(_render_status(fields)))


def _render_status(fields: dict[str, Any]) -> list[str]:
    newest = ", ".join(f"{name}: {number}" for name, number in fields["models"].items())
    lines = [f"generation {fields['generation']}; newest weights {newest or 'none'}"]
    for node in fields["nodes"]:
        status = node["status"] or {}
        versions = "; ".join(
            f"{name} {made}"
            for name, made in status.get("versions", {}).items()
            if made
        )
        lines.append(
            f"{node['node']:28} {node['role']:6} {node['state']:8} "
            f"{node['domain']:12} generation {status.get('generation', '-'):>4} "
            f"running {status.get('running', '-'):>3} "
            f"queued {status.get('queued', '-'):>3} {versions}".rstrip()
        )
    return lines


@main.command("drain")
@click.argument("node")
@click.pass_obj
@exit_on_error
def _drain(context: Context, node: str) -> None:
    """Drain a node: accept no new work, finish running work, then exit."""
    fields = context.client().call("POST", f"drain/{node}")
    context.show(fields, f"{node} is leaving")


@main.command("report")
@click.option("--since-unix-s", type=float, default=0.0, help="Start of the span.")
@click.option("--until-unix-s", type=float, default=None, help="End of the span.")
@click.option(
    "--form",
    type=click.Choice(["table", "json", "csv", "html"]),
    default=None,
    help="Form of the report; --output by default.",
)
@click.option(
    "--logs",
    "paths",
    multiple=True,
    help="Log file of a serving program, instead of asking an entry; repeatable.",
)
@click.pass_obj
@exit_on_error
def _report(
    context: Context,
    since_unix_s: float,
    until_unix_s: float | None,
    form: str | None,
    paths: tuple[str, ...],
) -> None:
    """Report samples, versions, lateness and refusals by trainer and caller."""
    if paths:
        report = _report_from_logs(paths, since_unix_s, until_unix_s)
    else:
        path = f"report?since_unix_s={since_unix_s}"
        if until_unix_s is not None:
            path += f"&until_unix_s={until_unix_s}"
        report = structure(context.client().call("GET", path), Report)
    chosen = form or ("json" if context.as_json else "table")
    if chosen == "json":
        click.echo(json.dumps(unstructure(report), indent=2))
        return
    renderers = {"table": render_text, "csv": render_csv, "html": render_html}
    click.echo(renderers[chosen](report))


@main.command("losses")
@click.option(
    "--logs",
    "paths",
    multiple=True,
    required=True,
    help="Log file of a serving program; repeatable.",
)
@click.pass_obj
@exit_on_error
def _losses(context: Context, paths: tuple[str, ...]) -> None:
    """Show where late steps and failed calls lost their time."""
    losses = losses_from_logs(read_log_lines(map(Path, paths)))
    if context.as_json:
        click.echo(json.dumps(unstructure(losses), indent=2))
    else:
        click.echo(render_losses(losses))


@main.command("load")
@click.option(
    "--logs",
    "first_paths",
    multiple=True,
    required=True,
    help="Log file of a serving program; further files may follow.",
)
@click.argument("more_paths", nargs=-1)
@click.option("--request", "request_id", default="", help="Only this request.")
@click.pass_obj
@exit_on_error
def _load(
    context: Context,
    first_paths: tuple[str, ...],
    more_paths: tuple[str, ...],
    request_id: str,
) -> None:
    """Show queues, paces, moves, shares, refusals, connections; or one request."""
    lines = read_log_lines(map(Path, (*first_paths, *more_paths)))
    if not request_id:
        page = load_page(lines)
        context.show(unstructure(page), render_load_page(page))
        return
    history = request_history(lines, request_id)
    if not history:
        raise SettingsError(f"{request_id}: no log line names this request")
    fields = {"request": request_id, "lines": unstructure(history)}
    context.show(fields, "\n".join(render_history(history)))


def _report_from_logs(
    paths: tuple[str, ...], since_unix_s: float, until_unix_s: float | None
) -> Report:
    """Build the report from the serving programs' log files."""
    logged = records_from_logs(read_log_lines(map(Path, paths)))
    until_s = logged.until_unix_s if until_unix_s is None else until_unix_s
    steps = [
        step for step in logged.steps if since_unix_s <= step.opened_unix_s <= until_s
    ]
    since_s = max(since_unix_s, logged.since_unix_s)
    report = summarise({}, steps, logged.usage, since_s, until_s)
    return attrs.evolve(report, gaps=(*report.gaps, *logged.gaps))


@main.command("accounts")
@click.argument("path", type=click.Path(path_type=Path))
@click.argument("paths", nargs=-1)
@click.pass_obj
@exit_on_error
def _accounts(context: Context, path: Path, paths: tuple[str, ...]) -> None:
    """Show a configuration's accounts, with keys as digests, and their requests."""
    page = account_page(read_configuration(path), read_log_lines(map(Path, paths)))
    context.show(unstructure(page), render_account_page(page))


@main.command("trace")
@click.argument("path")
@click.option("--trace-id", default="", help="Trace to show; the slowest by default.")
@click.pass_obj
@exit_on_error
def _trace(context: Context, path: str, trace_id: str) -> None:
    """Show the hops of one request from a file of spans."""
    try:
        spans = read_spans(Path(path))
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not spans:
        raise SettingsError(f"{path}: has no spans")
    chosen = trace_id or find_slowest_trace(spans)
    lines = render_trace(spans, chosen)
    context.show({"trace_id": chosen, "hops": lines}, "\n".join([chosen, *lines]))


_LOG_FILES = click.argument("paths", nargs=-1, required=True)


@main.command("story")
@click.argument("subject")
@_LOG_FILES
@click.pass_obj
@exit_on_error
def _story(context: Context, subject: str, paths: tuple[str, ...]) -> None:
    """Show each decision about a request, job, item or instance from log files."""
    lines = list(render_story(read_log_lines(map(Path, paths)), subject))
    if not lines:
        raise SettingsError(f"{subject}: no log line names this subject")
    context.show({"subject": subject, "lines": lines}, "\n".join(lines))
