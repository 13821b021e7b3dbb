"""Loading of platform backends, which settings name by dotted path."""

from __future__ import annotations

import importlib
from typing import Any

__all__ = ["load_backend"]


def load_backend(path: str, **arguments: Any) -> Any:
    """Create an instance of the class at a dotted path."""
    module, _, name = path.rpartition(".")
    return getattr(importlib.import_module(module), name)(**arguments)
