"""Backends of the platform, named by dotted path in the settings."""

from __future__ import annotations

import importlib
from typing import Any

__all__ = ["load_backend"]


def load_backend(path: str, **arguments: Any) -> Any:
    """Make the object whose class a dotted path names."""
    module, _, name = path.rpartition(".")
    return getattr(importlib.import_module(module), name)(**arguments)
