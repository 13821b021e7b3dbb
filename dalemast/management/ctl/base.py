"""Base of the subcommands of ``dalemast ctl``."""

from __future__ import annotations

import abc
import asyncio
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import msgspec

from dalemast.core.configuration import Configuration
from dalemast.core.exceptions import DalemastError, get_error_classes
from dalemast.http.base import FailedAnswer
from dalemast.http.client import JsonClient, JsonResponse
from dalemast.management.exceptions import OutputInvalid, RequestFailed

__all__ = ["BaseCtlCommand", "OperatorsClient", "OutputFormat"]

DEFAULT_ADDRESS = "127.0.0.1:8701"
TOKEN_VARIABLE = "DALEMAST_OPERATORS_TOKEN"


class OutputFormat:
    """Values of the ``--output`` option."""

    TABLE = "table"
    JSON = "json"


class OperatorsClient:
    """Client of the operators' API of one process."""

    def __init__(self, *, address: str, token: str, ca_file: str = "") -> None:
        self._base = address if "://" in address else f"http://{address}"
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._client = JsonClient(ca_file=ca_file)

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> JsonResponse:
        """Return a response with a status below 400; raise the typed error of any other."""
        response = await self._client.request(
            method,
            self._base + path,
            body=body,
            headers={**self._headers, **(headers or {})},
            timeout_s=timeout_s,
        )
        if response.status >= 400:
            raise _make_error(response)
        return response

    async def get_configuration(self) -> Configuration:
        """Read the accepted configuration."""
        response = await self.call("GET", "/v1/configuration")
        return response.decode(Configuration)  # type: ignore[no-any-return]


def _make_error(response: JsonResponse) -> DalemastError:
    try:
        failure: FailedAnswer = response.decode(FailedAnswer)
    except msgspec.MsgspecError:
        return RequestFailed(f"the process responded with status {response.status}")
    classes = {cls.code: cls for cls in get_error_classes()}
    error_type = classes.get(failure.error.code, RequestFailed)
    return error_type(failure.error.message, place=failure.error.place, run=failure.run)


@dataclass(frozen=True, kw_only=True)
class BaseCtlCommand(abc.ABC):
    """Base of the subcommands, with the options common to all."""

    address: Annotated[str, cappa.Arg(long=True, help="Operators' address of any entry.")] = (
        DEFAULT_ADDRESS
    )
    token_file: Annotated[
        str, cappa.Arg(long=True, help=f"File with the token (default: ${TOKEN_VARIABLE}).")
    ] = ""
    ca_file: Annotated[str, cappa.Arg(long=True, help="Certificates to trust, in PEM.")] = ""
    output: Annotated[str, cappa.Arg(long=True, help="table or json.")] = OutputFormat.TABLE

    @property
    def is_json(self) -> bool:
        """Whether to print JSON."""
        return self.output == OutputFormat.JSON

    def __call__(self) -> int:
        """Run the subcommand."""
        if self.output not in (OutputFormat.TABLE, OutputFormat.JSON):
            raise OutputInvalid(f"unknown output format {self.output!r}", place="--output")
        return asyncio.run(self.run())

    @abc.abstractmethod
    async def run(self) -> int:
        """Execute the subcommand and return the exit code."""

    def make_client(self, address: str = "") -> OperatorsClient:
        """Return a client for the given address, or for the one in the options."""
        token = os.environ.get(TOKEN_VARIABLE, "")
        if self.token_file:
            token = Path(self.token_file).read_text().strip()
        return OperatorsClient(address=address or self.address, token=token, ca_file=self.ca_file)


def to_plain_values(value: Any) -> Any:
    """Convert a document to dicts, lists and scalars."""
    return msgspec.to_builtins(value)
