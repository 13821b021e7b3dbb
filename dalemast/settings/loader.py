"""Load settings from YAML and report the place of each error."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from dalemast.settings.exceptions import SecretMissing, SettingsInvalid

__all__ = ["load_document", "load_settings", "parse_settings", "read_secret"]

MAX_FILE_BYTES = 32 * 1024 * 1024

SettingsT = TypeVar("SettingsT")


def load_document(file: str) -> Any:
    """Read a YAML file into plain values; raise :class:`SettingsInvalid` on failure."""
    path = Path(file)
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise SettingsInvalid(f"the file is larger than {MAX_FILE_BYTES} bytes", place=file)
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid(f"the file cannot be read: {error}", place=file) from error
    document = _parse_flow(text)
    if document is not None:
        return document
    from dalemast.settings.strict_yaml import parse_yaml

    return parse_yaml(text, file=file)


def _parse_flow(text: str) -> Any:
    """Parse a document that is plain JSON, which is valid YAML; return None for any other.

    The templates of the fleet's roles are JSON, which avoids importing a YAML parser when a process
    starts. A document with duplicate keys is left to the YAML parser, which rejects it.
    """
    keys: list[str] = []

    def collect_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        names = [name for name, _ in pairs]
        keys.extend(name for name in set(names) if names.count(name) > 1)
        return dict(pairs)

    try:
        document = json.loads(text, object_pairs_hook=collect_pairs)
    except ValueError:
        # Not JSON. The YAML parser reads the document or reports the place of the error.
        return None
    return None if keys else document


def parse_settings(values: object, settings_type: type[SettingsT], *, file: str) -> SettingsT:
    """Convert plain values to settings; raise :class:`SettingsInvalid` with the key's place."""
    try:
        return msgspec.convert({} if values is None else values, type=settings_type)
    except msgspec.ValidationError as error:
        message, _, place = str(error).partition(" - at `")
        raise SettingsInvalid(message, place=f"{file}: {place.rstrip('`') or '$'}") from error


def load_settings(file: str, settings_type: type[SettingsT]) -> SettingsT:
    """Read the settings of a role from a file."""
    return parse_settings(load_document(file), settings_type, file=file)


def read_secret(*, file: str, environment: str, name: str) -> str:
    """Return a secret from its file or environment variable, or "" if neither is given.

    Raise :class:`SecretMissing` if the source cannot be read. The error never contains the secret.
    """
    if file:
        try:
            return Path(file).read_text().strip()
        except OSError as error:
            raise SecretMissing(f"the file of {name} cannot be read", place=file) from error
    if environment:
        value = os.environ.get(environment)
        if not value:
            raise SecretMissing(f"the variable of {name} is not set", place=environment)
        return value
    return ""
