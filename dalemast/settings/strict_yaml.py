"""Strict YAML parsing, imported only for files that are not plain JSON."""

from __future__ import annotations

from typing import Any

import yaml

from dalemast.settings.exceptions import SettingsInvalid

__all__ = ["parse_yaml"]


class _StrictLoader(yaml.SafeLoader):
    """Rejects duplicate keys, which PyYAML accepts."""

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        seen: set[object] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=deep)
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"the key {key!r} appears twice", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


def parse_yaml(text: str, *, file: str) -> Any:
    """Parse a document into plain values; raise :class:`SettingsInvalid` with the place."""
    try:
        return yaml.load(text, Loader=_StrictLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        place = f"{file}:{mark.line + 1}:{mark.column + 1}" if mark else file
        raise SettingsInvalid(str(error.problem or error.context), place=place) from error
    except yaml.YAMLError as error:
        raise SettingsInvalid(str(error), place=file) from error
