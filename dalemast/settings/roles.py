"""Load the settings of a role and run the checks that must pass before it starts."""

from __future__ import annotations

import sys
from typing import TypeVar

from dalemast.settings.checks import CheckLevel, run_checks
from dalemast.settings.exceptions import SettingsFailCheck
from dalemast.settings.loader import load_settings

__all__ = ["load_role"]

SettingsT = TypeVar("SettingsT")


def load_role(file: str, settings_type: type[SettingsT]) -> SettingsT:
    """Load the settings of a role, run the checks and print the findings to stderr.

    Raise :class:`SettingsInvalid` or :class:`SettingsFailCheck`.
    """
    settings = load_settings(file, settings_type) if file else settings_type()
    findings = run_checks(settings)  # type: ignore[arg-type]
    for finding in findings:
        print(finding, file=sys.stderr)
    errors = [finding for finding in findings if finding.level is CheckLevel.ERROR]
    if errors:
        raise SettingsFailCheck(f"{len(errors)} checks fail", place=file or "the defaults")
    return settings
