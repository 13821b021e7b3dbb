"""Settings of the test run. Hypothesis draws the same cases each time, except with ``--soak``."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import HealthCheck, settings

from tests.known_red import read_known_red

SUPPRESSED_CHECKS = [HealthCheck.too_slow, HealthCheck.data_too_large, HealthCheck.filter_too_much]

settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, suppress_health_check=SUPPRESSED_CHECKS
)
settings.register_profile(
    "soak", deadline=None, database=None, suppress_health_check=SUPPRESSED_CHECKS
)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that ``make soak`` uses to set its duration."""
    parser.addoption("--soak", type=float, default=0.0, help="Seconds to run with fresh seeds.")


def pytest_configure(config: pytest.Config) -> None:
    """Select the hypothesis profile."""
    settings.load_profile("soak" if config.getoption("--soak") else "ci")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests of KNOWN-RED.txt as expected failures: they run, but do not fail the run."""
    issues: dict[str, list[str]] = {}
    for known in read_known_red():
        issues.setdefault(known.test, []).append(known.issue)
    for item in items:
        if item.nodeid in issues:
            reason = f"KNOWN-RED, issue {', '.join(issues[item.nodeid])}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Print the tests of KNOWN-RED.txt with their outcomes."""
    outcomes = {
        report.nodeid: name
        for name, known_as in (("failed", "xfailed"), ("passed", "xpassed"))
        for report in terminalreporter.stats.get(known_as, [])
    }
    for known in read_known_red():
        outcome = outcomes.get(known.test, "not run")
        terminalreporter.write_line(f"KNOWN-RED {outcome}: {known.test}: {known.cause}")
