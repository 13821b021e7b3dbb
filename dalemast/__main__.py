"""``python -m dalemast`` and the ``dalemast`` program."""

import sys

from dalemast.management import run_command_line

__all__ = ["main"]


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(run_command_line())


if __name__ == "__main__":
    main()
