"""Decodes and validates everything that is received from outside.

Input is foreign if it comes from an unexpected sender: a report that this host's worker did not
send, or a row of the store that no operator or entry wrote. Input that is invalid, or recognized as
foreign, raises :class:`ForeignInput`. Callers then keep their previous state.
"""

from __future__ import annotations

import base64
import binascii
import enum
import re
from typing import Any

import msgspec

from dalemast.platform.wire import Heartbeat

__all__ = ["Fault", "ForeignInput", "check_id", "read_json", "read_report", "read_value"]

MISSING_FIELD_PREFIX = "Object missing required field"
"""Prefix of msgspec's error message for a missing field."""
WORKER_ID = re.compile(r"[!-~]{1,200}\Z")
"""Pattern of worker ids. They are sent in a header with every call, so spaces and line ends are
invalid."""


class Fault(enum.Enum):
    """Reason why input is rejected. The values are the codes in logs and counters."""

    UNREADABLE = "unreadable"
    """Neither JSON nor JSON encoded in base64."""
    FIELD_MISSING = "field-missing"
    FIELD_INVALID = "field-invalid"
    """A field has the wrong type, an unknown value, or a number out of range."""
    WRONG_LOCATION = "other-place"
    """The input refers to another host, data centre or table, or to an unknown data centre."""
    PROPERTIES_CHANGED = "other-account"
    """A report contradicts the known properties of its incarnation."""
    NUMBER_JUMPED = "number-jumped"
    """The number of a report is too far ahead of the last one accepted."""
    UNANNOUNCED = "not-announced"
    """A deregistration of a worker that has not reported that it is leaving."""


class ForeignInput(Exception):
    """Raised for input that is rejected. ``detail`` names the field or value at fault."""

    def __init__(self, fault: Fault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault
        self.detail = detail


def read_json(data: bytes | msgspec.Raw, message_type: Any) -> Any:
    """Decode a message; raises :class:`ForeignInput`."""
    try:
        return msgspec.json.decode(data, type=message_type)
    except msgspec.ValidationError as error:
        is_missing = str(error).startswith(MISSING_FIELD_PREFIX)
        fault = Fault.FIELD_MISSING if is_missing else Fault.FIELD_INVALID
        raise ForeignInput(fault, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ForeignInput(Fault.UNREADABLE, str(error)) from error


def read_value(text: str, message_type: Any) -> Any:
    """Decode the base64 value of a row; raises :class:`ForeignInput`."""
    try:
        data = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise ForeignInput(Fault.UNREADABLE, str(error)) from error
    return read_json(data, message_type)


def read_report(data: bytes, *, address: str, data_centre: str) -> Heartbeat:
    """Decode a report of the worker that listens at ``address``; raises :class:`ForeignInput`."""
    heartbeat: Heartbeat = read_json(data, Heartbeat)
    if heartbeat.address != address:
        raise ForeignInput(Fault.WRONG_LOCATION, f"address {heartbeat.address}")
    if heartbeat.zone != data_centre:
        raise ForeignInput(Fault.WRONG_LOCATION, f"data centre {heartbeat.zone}")
    return heartbeat


def check_id(worker_id: str) -> None:
    """Raise :class:`ForeignInput` unless ``worker_id`` is valid."""
    if WORKER_ID.match(worker_id) is None:
        raise ForeignInput(Fault.FIELD_INVALID, "id")
