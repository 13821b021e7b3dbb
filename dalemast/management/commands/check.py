"""``dalemast check``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from dalemast.core.configuration import KINDS, Configuration, parse_items, validate_configuration
from dalemast.management.output import ExitCode
from dalemast.settings import (
    AgentSettings,
    CheckLevel,
    EntrySettings,
    FleetAgentSettings,
    FleetEntrySettings,
    PlatformServerSettings,
    SettingsInvalid,
    load_document,
    parse_settings,
    run_checks,
)

__all__ = ["CheckCommand", "parse_configuration_file"]

_ROLES: dict[str, type[msgspec.Struct]] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "platform": PlatformServerSettings,
    "fleet-entry": FleetEntrySettings,
    "fleet-agent": FleetAgentSettings,
}


def parse_configuration_file(file: str) -> dict[str, tuple[object, ...]]:
    """Parse a file of declarations into documents by kind."""
    values = load_document(file)
    if not isinstance(values, dict) or not values:
        raise SettingsInvalid("the file declares no kinds", place=file)
    return {kind: parse_items(kind, items) for kind, items in values.items()}


@cappa.command(name="check", help="Check a settings file, or a file of declarations.")
@dataclass(frozen=True, kw_only=True)
class CheckCommand:
    """Check a file; exit with 0 if it is valid and with 2 if it is not."""

    file: Annotated[str, cappa.Arg(help="A YAML file.")]
    role: Annotated[
        str, cappa.Arg(long=True, help="A role, or declarations; guessed if absent.")
    ] = ""

    def __call__(self) -> int:
        """Check the file and print every finding."""
        role = self.role or self._guess_role()
        if role == "declarations":
            kinds = parse_configuration_file(self.file)
            if KINDS.keys() <= kinds.keys() or {"services", "endpoints"} <= kinds.keys():
                validate_configuration(Configuration(**kinds))  # type: ignore[arg-type]
            print(f"{self.file}: good ({', '.join(kinds)})")
            return ExitCode.DONE
        if role not in _ROLES:
            raise SettingsInvalid(f"there is no role {role!r}", place="--role")
        settings = parse_settings(load_document(self.file), _ROLES[role], file=self.file)
        findings = run_checks(settings)  # type: ignore[arg-type]
        for finding in findings:
            print(f"{self.file}: {finding}")
        if any(finding.level is CheckLevel.ERROR for finding in findings):
            return ExitCode.INVALID
        print(f"{self.file}: good ({role})")
        return ExitCode.DONE

    def _guess_role(self) -> str:
        """Return the role whose settings have most of the file's keys."""
        values = load_document(self.file)
        if not isinstance(values, dict):
            return "entry"
        keys = {str(key) for key in values}
        if keys & KINDS.keys():
            return "declarations"
        return max(_ROLES, key=lambda role: len(keys & set(_ROLES[role].__struct_fields__)))
