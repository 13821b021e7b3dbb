"""``python -m dalemast`` and the ``dalemast`` program."""

import signal
import sys

__all__ = ["main"]


def main() -> None:
    """Run the command line and exit with its code."""
    if len(sys.argv) > 1 and sys.argv[1].startswith("fleet-"):
        # The platform sends SIGHUP whenever settings change, also while the imports below run; the
        # process reads its settings after them anyway.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from dalemast.management import run_command_line

    sys.exit(run_command_line())


if __name__ == "__main__":
    main()
