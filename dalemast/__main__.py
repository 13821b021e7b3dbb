"""Entry point of ``python -m dalemast`` and of the ``dalemast`` program."""

import signal
import sys

__all__ = ["main"]


def main() -> None:
    """Run the command line and exit with its code."""
    if len(sys.argv) == 2 and sys.argv[1].startswith("fleet-"):
        # The platform sends SIGHUP when settings change. Ignore it during the imports below, where
        # it would end the process; the settings are read afterwards anyway.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        _run_fleet_role(sys.argv[1])
    from dalemast.management import run_command_line

    sys.exit(run_command_line())


def _run_fleet_role(name: str) -> None:
    """Run a role without importing the command line, which would delay the start."""
    from dalemast.core.exceptions import DalemastError
    from dalemast.fleet.runner import ROLES

    run = ROLES.get(name)
    if run is None:
        return
    try:
        code = run()
    except DalemastError as error:
        sys.exit(f"error: {error}")
    sys.exit(code)


if __name__ == "__main__":
    main()
