"""Tells what is ours to use from what another writer sends or leaves in the store.

Everything from outside is read by one of the functions here. What can't be used raises
:class:`ForeignInput` with the reason; whoever asked goes on with what it knew before.
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

MISSING_FIELD = "Object missing required field"
"""How msgspec begins its message when a field is missing."""
WORKER_ID = re.compile(r"[!-~]{1,200}\Z")
"""Ids are sent in a header with every call to the worker, so they hold no blanks or line ends."""


class Fault(enum.Enum):
    """Why something is not used. The values are the codes in logs and counters."""

    UNREADABLE = "unreadable"
    """No JSON, or no base64 of it."""
    FIELD_MISSING = "field-missing"
    FIELD_INVALID = "field-invalid"
    """A field of another type, a word that is not known, a number out of range."""
    OTHER_PLACE = "other-place"
    """It tells of another host or data centre, or of one that does not exist."""
    OTHER_ACCOUNT = "other-account"
    """It contradicts what the known life has said of itself."""
    NUMBER_JUMPED = "number-jumped"
    """Its number is too far ahead of the known life's."""
    NOT_ANNOUNCED = "not-announced"
    """It ends a life that never said that it leaves."""


class ForeignInput(Exception):
    """Something is not ours to use. ``detail`` names the field or value."""

    def __init__(self, fault: Fault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault
        self.detail = detail


def read_json(data: bytes | msgspec.Raw, message_type: Any) -> Any:
    """Decode a message; raises :class:`ForeignInput`."""
    try:
        return msgspec.json.decode(data, type=message_type)
    except msgspec.ValidationError as error:
        is_missing = str(error).startswith(MISSING_FIELD)
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
    """Decode a report of the worker that is called at ``address``; raises :class:`ForeignInput`."""
    beat: Heartbeat = read_json(data, Heartbeat)
    if beat.address != address:
        raise ForeignInput(Fault.OTHER_PLACE, f"address {beat.address}")
    if beat.zone != data_centre:
        raise ForeignInput(Fault.OTHER_PLACE, f"data centre {beat.zone}")
    return beat


def check_id(life_id: str) -> None:
    """Raise :class:`ForeignInput` unless this can be a worker's id."""
    if WORKER_ID.match(life_id) is None:
        raise ForeignInput(Fault.FIELD_INVALID, "id")
