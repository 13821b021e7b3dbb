"""How a process that missed a version gets it from its peers, at a bounded number of copies."""

from dalemast.core.catch_up.copies import CopyLimit
from dalemast.core.catch_up.missing import MissingVersion, VersionRequest, get_copy_s

__all__ = ["VersionRequest", "CopyLimit", "MissingVersion", "get_copy_s"]
