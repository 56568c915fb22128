"""Settings of all tests; known failing tests run, are tolerated and are printed."""

from pathlib import Path

import pytest
from hypothesis import settings

# The run time of an example depends on the machine's load, not on the property.
settings.register_profile("no-deadline", deadline=None)
settings.load_profile("no-deadline")

_KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def _known_red() -> dict[str, str]:
    """Return the description of each known failing test, by test id."""
    if not _KNOWN_RED.exists():
        return {}
    lines = [line for line in _KNOWN_RED.read_text().splitlines() if line.strip()]
    parts = (line.partition(" | ") for line in lines)
    return {test: known for test, _, known in parts}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark known failing tests so that their failures don't fail the run."""
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known failing tests, whether they passed or failed."""
    for test, known in _known_red().items():
        terminalreporter.write_line(f"known red: {test} | {known}")
