"""Settings of the test run: the same verdict each time, unless a soak asks for fresh seeds."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings

QUIET = [HealthCheck.too_slow, HealthCheck.data_too_large, HealthCheck.filter_too_much]

settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, suppress_health_check=QUIET
)
settings.register_profile("soak", deadline=None, database=None, suppress_health_check=QUIET)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Let ``make soak`` say for how long."""
    parser.addoption("--soak", type=float, default=0.0, help="Seconds of fresh seeds.")


def pytest_configure(config: pytest.Config) -> None:
    """Choose the profile."""
    settings.load_profile("soak" if config.getoption("--soak") else "ci")
