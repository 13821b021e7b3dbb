"""Reads what a source file imports, for the tests that guard the layers."""

from __future__ import annotations

import ast
from pathlib import Path


def get_imports(file: Path) -> set[str]:
    """Return the modules that a file names in its import statements, wherever they stand."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names
