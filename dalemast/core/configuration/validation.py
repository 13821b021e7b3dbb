"""Validate documents before they are accepted."""

from __future__ import annotations

import re
import types
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from dalemast.core.configuration.documents import KINDS, Configuration, Endpoint, Service
from dalemast.core.configuration.exceptions import ConfigurationInvalid, UnknownKind
from dalemast.core.exceptions import DalemastError
from dalemast.core.selectors import parse_selector

__all__ = ["parse_items", "validate_configuration"]

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z")
_ADDRESS = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}\Z")
_SHA256 = re.compile(r"[0-9a-f]{64}\Z")
_LABEL = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,62}\Z")


def parse_items(kind: str, items: object) -> tuple[Any, ...]:
    """Convert plain values to documents of a kind.

    Raise :class:`ConfigurationInvalid` with the place of the first error.
    """
    if kind not in KINDS:
        raise UnknownKind(f"there is no kind {kind!r}")
    try:
        documents: list[Any] = msgspec.convert(items, type=_get_list_type(kind), strict=True)
    except msgspec.ValidationError as error:
        message, _, place = str(error).partition(" - at `")
        place = place.rstrip("`").removeprefix("$")
        raise ConfigurationInvalid(message, place=f"$.{kind}{place}") from error
    return tuple(documents)


def _get_list_type(kind: str) -> Any:
    return types.GenericAlias(list, (KINDS[kind],))


def validate_configuration(configuration: Configuration) -> None:
    """Raise :class:`ConfigurationInvalid` if the documents are invalid or inconsistent."""
    _check_names("accounts", [account.name for account in configuration.accounts])
    _check_names("services", [service.name for service in configuration.services])
    _check_names("endpoints", [endpoint.name for endpoint in configuration.endpoints])
    for number, account in enumerate(configuration.accounts):
        place = f"$.accounts[{number}]"
        _require(account.weight > 0, "a weight must be above 0", f"{place}.weight")
        for digest in account.token_sha256:
            _require(
                bool(_SHA256.match(digest)), "not a SHA-256 digest in hex", f"{place}.token_sha256"
            )
    for number, service in enumerate(configuration.services):
        _check_service(service, f"$.services[{number}]")
    services = {service.name for service in configuration.services}
    for number, endpoint in enumerate(configuration.endpoints):
        _check_endpoint(endpoint, services, f"$.endpoints[{number}]")


def _check_service(service: Service, place: str) -> None:
    _check_labels(service.labels, place)
    try:
        parse_selector(service.selector)
    except DalemastError as error:
        raise ConfigurationInvalid(error.message, place=f"{place}.selector") from error


def _check_endpoint(endpoint: Endpoint, services: Iterable[str], place: str) -> None:
    _check_labels(endpoint.labels, place)
    _require(
        bool(_ADDRESS.match(endpoint.agent)),
        f"{endpoint.agent!r} is not an IP address and a port",
        f"{place}.agent",
    )
    _require(endpoint.slots > 0, "an endpoint must have at least one slot", f"{place}.slots")
    for name in endpoint.services:
        _require(name in services, f"no service is named {name!r}", f"{place}.services")


def _check_names(kind: str, names: Sequence[str]) -> None:
    seen: set[str] = set()
    for number, name in enumerate(names):
        place = f"$.{kind}[{number}].name"
        _require(bool(_NAME.match(name)), f"{name!r} is not a valid name", place)
        _require(name not in seen, f"the name {name!r} stands twice", place)
        seen.add(name)


def _check_labels(labels: dict[str, str], place: str) -> None:
    for key, value in labels.items():
        is_good = bool(_LABEL.match(key)) and bool(_LABEL.match(value))
        _require(is_good, f"{key}={value} is not a valid label", f"{place}.labels")


def _require(is_met: bool, message: str, place: str) -> None:
    if not is_met:
        raise ConfigurationInvalid(message, place=place)
