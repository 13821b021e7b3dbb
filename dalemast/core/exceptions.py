"""The base class of dalemast's errors, and the registry of their codes."""

from __future__ import annotations

from typing import ClassVar

from dalemast.core.verdicts import Run

__all__ = ["DalemastError", "get_error_classes"]


class DalemastError(Exception):
    """An error with a stable code.

    Subclasses set ``code`` (unique, documented in docs/reference/ERRORS.md), ``status`` (the HTTP
    status of the response), ``hint`` (advice to the reader) and ``default_run`` (whether the
    request may have run, unless the instance sets ``run``).

    ``place`` is the location in the input, for example ``$.tasks[3].payload``. ``retry_after_s`` is
    the time that a refused caller should wait before it retries, in seconds.
    """

    code: ClassVar[str] = "E0000"
    status: ClassVar[int] = 500
    hint: ClassVar[str] = ""
    default_run: ClassVar[Run] = Run.NOT_RUN

    _classes: ClassVar[dict[str, type[DalemastError]]] = {}

    def __init__(
        self,
        message: str,
        *,
        place: str = "",
        run: Run | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.place = place
        self.run = self.default_run if run is None else run
        self.retry_after_s = retry_after_s

    def __init_subclass__(cls, **kwargs: object) -> None:
        super().__init_subclass__(**kwargs)
        if "code" not in cls.__dict__:
            return
        known = DalemastError._classes.get(cls.code)
        if known is not None and known.__qualname__ != cls.__qualname__:
            raise TypeError(f"error code {cls.code} is already used by {known.__qualname__}")
        DalemastError._classes[cls.code] = cls

    def __str__(self) -> str:
        where = f" at {self.place}" if self.place else ""
        return f"{self.code}: {self.message}{where}"


def get_error_classes() -> list[type[DalemastError]]:
    """Return every error class with a code, ordered by code."""
    return [DalemastError._classes[code] for code in sorted(DalemastError._classes)]
