"""Read YAML into settings, with the place of each error."""

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
    """Read a YAML file into plain values; raises :class:`SettingsInvalid`."""
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
    """Return a document that is written as one flow mapping of JSON, or None.

    Such a document is YAML too. The templates of the fleet's roles are written so, since importing
    a YAML parser takes a twelfth of what a process imports before it can serve. A key that stands
    twice is left to the YAML parser, which refuses it.
    """
    keys: list[str] = []

    def take(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        names = [name for name, _ in pairs]
        keys.extend(name for name in set(names) if names.count(name) > 1)
        return dict(pairs)

    try:
        document = json.loads(text, object_pairs_hook=take)
    except ValueError:
        # Block style, comments, or an error that the YAML parser will name with its place.
        return None
    return None if keys else document


def parse_settings(values: object, settings_type: type[SettingsT], *, file: str) -> SettingsT:
    """Turn plain values into settings; raises :class:`SettingsInvalid` with the key's place."""
    try:
        return msgspec.convert({} if values is None else values, type=settings_type)
    except msgspec.ValidationError as error:
        message, _, place = str(error).partition(" - at `")
        raise SettingsInvalid(message, place=f"{file}: {place.rstrip('`') or '$'}") from error


def load_settings(file: str, settings_type: type[SettingsT]) -> SettingsT:
    """Read the settings of a role from a file."""
    return parse_settings(load_document(file), settings_type, file=file)


def read_secret(*, file: str, environment: str, name: str) -> str:
    """Return a secret from its file or environment variable; an unnamed secret is empty.

    Raises :class:`SecretMissing` when one is named and cannot be had. The error never holds it.
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
