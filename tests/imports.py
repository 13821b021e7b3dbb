"""Reads the imports of a source file, for the tests that check the layering of packages."""

from __future__ import annotations

import ast
from pathlib import Path


def get_imports(file: Path) -> set[str]:
    """Return the modules that a file imports, including imports inside functions."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names
