"""``dalemast losses``."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from dalemast.management.output import ExitCode
from dalemast.observability.losses import Loss, count_losses, find_losses

__all__ = ["LossesCommand"]

KEYS: dict[str, Callable[[Loss], str]] = {
    "queue": lambda loss: loss.queue,
    "data-centre": lambda loss: loss.data_centre or "unknown",
    "second": lambda loss: f"{loss.second:6d}",
}


@cappa.command(name="losses", help="Count lost and late jobs by cause, from the logs of entries.")
@dataclass(frozen=True, kw_only=True)
class LossesCommand:
    """Count refused, late, failed and dropped jobs by queue, data centre or second."""

    file: Annotated[str, cappa.Arg(help="A file of log lines, or - for standard input.")]
    by: Annotated[str, cappa.Arg(long=True, help="queue, data-centre or second.")] = "queue"

    def __call__(self) -> int:
        """Print a line for each key and cause, with the most frequent cause of a key first."""
        if self.by not in KEYS:
            print(f"--by must be one of {', '.join(KEYS)}", file=sys.stderr)
            return ExitCode.INVALID
        losses = self._read()
        for key, counts in sorted(count_losses(losses, KEYS[self.by]).items()):
            _print_counts(key, counts)
        ages = sorted(loss.view_age_s for loss in losses if loss.view_age_s is not None)
        if ages:
            median = ages[len(ages) // 2]
            print(
                "age of the oldest capacity report at refusals: "
                f"median {median:.3f} s, max {ages[-1]:.3f} s"
            )
        print(f"{len(losses)} jobs lost or late")
        return ExitCode.DONE

    def _read(self) -> list[Loss]:
        if self.file == "-":
            return find_losses(sys.stdin)
        with Path(self.file).open(errors="replace") as lines:
            return find_losses(lines)


def _print_counts(key: str, counts: Counter[str]) -> None:
    items: Iterable[tuple[str, int]] = counts.most_common()
    for cause, count in items:
        print(f"{key:20s} {count:6d}  {cause}")
