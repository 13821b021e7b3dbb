"""Errors in settings files and secrets."""

from dalemast.core.exceptions import DalemastError

__all__ = ["SecretMissing", "SettingsFailCheck", "SettingsInvalid"]


class SettingsInvalid(DalemastError):
    """The settings file does not parse, has an unknown key, or a value of the wrong kind."""

    code = "E1801"
    status = 400
    hint = "The place names the file and the key; docs/reference/settings.md lists all keys."


class SecretMissing(DalemastError):
    """The file or environment variable of a secret cannot be read."""

    code = "E1802"
    status = 400
    hint = "Name a readable file or a set environment variable."


class SettingsFailCheck(DalemastError):
    """The settings are valid, but a system check reports an error."""

    code = "E1803"
    status = 400
    hint = "dalemast check FILE lists every finding with its hint."
