"""Base of all request handlers: typed errors, JSON and bearer tokens."""

from __future__ import annotations

import hmac
import math
import random
from typing import Any

import msgspec
from tornado.web import HTTPError, RequestHandler

from dalemast.core.exceptions import DalemastError
from dalemast.core.verdicts import Run
from dalemast.http.exceptions import BadBody, BadToken, InternalError, NotFound

__all__ = [
    "BaseHandler",
    "ErrorBody",
    "FailedAnswer",
    "NotFoundHandler",
    "OperatorsMixin",
    "decode_body",
]

RETRY_JITTER = 0.5
"""Maximum random share added to a retry delay, so that refused callers do not retry together."""


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An error in a response to callers or operators."""

    code: str
    message: str
    place: str = ""
    hint: str = ""


class FailedAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The body of every error response."""

    job: str | None
    outcome: str
    error: ErrorBody
    run: Run
    next_ticket: str | None = None


def decode_body(body: bytes, body_type: Any) -> Any:
    """Decode a JSON body into a type; raise :class:`BadBody` with the place of the error."""
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.ValidationError as error:
        message, _, place = str(error).partition(" - at `")
        raise BadBody(message, place=place.rstrip("`") or "$") from error
    except msgspec.DecodeError as error:
        raise BadBody(str(error), place="$") from error
    except RecursionError as error:
        raise BadBody("the body is nested too deeply", place="$") from error


class BaseHandler(RequestHandler):
    """Sends JSON responses and turns typed errors into them."""

    def set_default_headers(self) -> None:
        """Set the content type, and a Server header that does not reveal library versions."""
        self.set_header("Server", "dalemast")
        self.set_header("Content-Type", "application/json")

    def compute_etag(self) -> None:
        """Disable entity tags, since no client caches responses."""

    def send_json(self, body: object, *, status: int = 200) -> None:
        """Finish the response with a JSON body."""
        self.set_status(status)
        self.finish(body if isinstance(body, bytes) else msgspec.json.encode(body))

    def send_failure(
        self,
        error: DalemastError,
        *,
        run: Run | None = None,
        job: str | None = None,
        next_ticket: str | None = None,
    ) -> None:
        """Finish the response with a typed error, and with retry headers if it has a delay."""
        if error.retry_after_s is not None:
            wait = error.retry_after_s * (1.0 + RETRY_JITTER * random.random())
            self.set_header("Retry-After", str(max(1, math.ceil(wait))))
            self.set_header("Retry-After-Ms", str(math.ceil(wait * 1000)))
        body = FailedAnswer(
            job=job,
            outcome="failed",
            error=ErrorBody(
                code=error.code, message=error.message, place=error.place, hint=error.hint
            ),
            run=run or error.run,
            next_ticket=next_ticket,
        )
        self.send_json(body, status=error.status)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log unexpected exceptions only; typed errors are part of normal operation."""
        if not isinstance(value, DalemastError):
            super().log_exception(typ, value, tb)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Respond with the typed error that was raised, or with the closest one."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, DalemastError):
            self.send_failure(error)
        elif isinstance(error, HTTPError) and error.status_code == 405:
            self.send_json(
                _as_body(NotFound(f"the path does not support {self.request.method}")), status=405
            )
        elif isinstance(error, HTTPError) and error.status_code < 500:
            self.send_failure(BadBody(error.log_message or error.reason or "bad request"))
        else:
            self.send_failure(
                InternalError("the request failed unexpectedly"), run=Run.MAY_HAVE_RUN
            )

    def get_bearer(self) -> str:
        """Return the bearer token; raise :class:`BadToken` if there is none."""
        scheme, _, token = self.request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            raise BadToken("the request has no bearer token")
        return token.strip()


def _as_body(error: DalemastError) -> FailedAnswer:
    return FailedAnswer(
        job=None,
        outcome="failed",
        error=ErrorBody(code=error.code, message=error.message, hint=error.hint),
        run=Run.NOT_RUN,
    )


class NotFoundHandler(BaseHandler):
    """Responds with 404 to paths without a route."""

    def prepare(self) -> None:
        """Raise the error for every method."""
        raise NotFound("no resource at this path")


class OperatorsMixin(BaseHandler):
    """Checks the operators' token; an empty token disables the check."""

    def check_operator(self, token: str) -> None:
        """Raise :class:`BadToken` unless the request carries the token."""
        if token and not hmac.compare_digest(self.get_bearer().encode(), token.encode()):
            raise BadToken("the bearer token is not the operators' token")
