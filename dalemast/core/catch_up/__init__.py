"""Transfer of a missed configuration version from peers, with a bounded number of copies."""

from dalemast.core.catch_up.copies import CopyLimit
from dalemast.core.catch_up.missing import MissingVersion, VersionRequest, get_copy_timeout_s

__all__ = ["CopyLimit", "MissingVersion", "VersionRequest", "get_copy_timeout_s"]
