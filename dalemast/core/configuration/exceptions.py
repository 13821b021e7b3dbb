"""Errors of the configuration."""

from dalemast.core.exceptions import DalemastError

__all__ = [
    "ConfigurationInvalid",
    "ConfigurationUnavailable",
    "UnknownKind",
    "UnknownName",
    "VersionConflict",
]


class ConfigurationInvalid(DalemastError):
    """A configuration document is malformed or inconsistent."""

    code = "E1301"
    status = 400
    hint = "Correct the given place; dalemast check FILE finds the same errors without applying."


class VersionConflict(DalemastError):
    """Another operator changed the same kind first; no part of this change was applied."""

    code = "E1302"
    status = 409
    hint = "Review the difference with dalemast ctl diff FILE, then apply again."


class UnknownKind(DalemastError):
    """There is no such kind of document."""

    code = "E1303"
    status = 404
    hint = "The kinds are accounts, services, endpoints and limits."


class UnknownName(DalemastError):
    """No item of this kind has the name."""

    code = "E1304"
    status = 404
    hint = "List the names with dalemast ctl get KIND."


class ConfigurationUnavailable(DalemastError):
    """This process has no configuration yet: the table and all peers are unreachable."""

    code = "E1305"
    status = 503
    hint = "The process becomes ready without action once the table or a peer responds."
