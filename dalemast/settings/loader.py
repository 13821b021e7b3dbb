"""Read YAML into settings, with the place of each error."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import yaml

from dalemast.settings.exceptions import SecretMissing, SettingsInvalid

__all__ = ["load_document", "load_settings", "parse_settings", "read_secret"]

MAX_FILE_BYTES = 32 * 1024 * 1024

SettingsT = TypeVar("SettingsT")


class _StrictLoader(yaml.SafeLoader):
    """Refuses a key that stands twice, which YAML itself lets pass."""

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        seen: set[object] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=deep)
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"the key {key!r} stands twice", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


def load_document(file: str) -> Any:
    """Read a YAML file into plain values; raises :class:`SettingsInvalid`."""
    path = Path(file)
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise SettingsInvalid(f"the file is larger than {MAX_FILE_BYTES} bytes", place=file)
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid(f"the file cannot be read: {error}", place=file) from error
    try:
        return yaml.load(text, Loader=_StrictLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        place = f"{file}:{mark.line + 1}:{mark.column + 1}" if mark else file
        raise SettingsInvalid(str(error.problem or error.context), place=place) from error
    except yaml.YAMLError as error:
        raise SettingsInvalid(str(error), place=file) from error


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
