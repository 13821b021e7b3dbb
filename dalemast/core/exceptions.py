"""The base of every error that dalemast raises, and the register of their codes."""

from __future__ import annotations

from typing import ClassVar

from dalemast.core.verdicts import Run

__all__ = ["DalemastError", "get_error_classes"]


class DalemastError(Exception):
    """A failure with a stable code.

    Subclasses set ``code`` (unique, documented in docs/reference/ERRORS.md), ``status`` (the HTTP
    status a caller sees), ``hint`` (what the reader can do) and ``run`` (what the failure says of
    the request, unless an instance knows better).

    ``place`` names the spot in the input, for example ``$.tasks[3].payload``.
    ``retry_after_s`` is how long a refused caller should stay away, in seconds.
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
            raise TypeError(f"error code {cls.code} is taken by {known.__qualname__}")
        DalemastError._classes[cls.code] = cls

    def __str__(self) -> str:
        where = f" at {self.place}" if self.place else ""
        return f"{self.code}: {self.message}{where}"


def get_error_classes() -> list[type[DalemastError]]:
    """Return every error class that carries a code, in the order of the codes."""
    return [DalemastError._classes[code] for code in sorted(DalemastError._classes)]
