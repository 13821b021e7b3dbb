"""Build dist/dalemast, and say what it takes to start it.

shiv makes one executable file that runs in the process that starts it. It unpacks once, below
/run/dalemast or the folder that the variable SHIV_ROOT names, which should be memory-backed.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

__all__ = ["build"]

TARGET = Path("dist/dalemast")
DEFAULT_ROOT = "/run/dalemast"
INTERPRETER = "/usr/bin/env python3"


def build() -> int:
    """Build the file; returns 0 when it runs."""
    TARGET.parent.mkdir(exist_ok=True)
    TARGET.unlink(missing_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        site = Path(directory) / "site"
        _install(site)
        _pack(site)
    shutil.rmtree("build/lib", ignore_errors=True)
    subprocess.run([str(TARGET), "--version"], check=True)
    print(f"{TARGET}: {TARGET.stat().st_size / 1e6:.1f} MB")
    return 0


def _install(site: Path) -> None:
    """Install dalemast and the locked versions of what it needs into an empty folder."""
    subprocess.run(
        [
            sys.executable,
            "-m",
            "pip",
            "install",
            "--quiet",
            "--disable-pip-version-check",
            "--constraint",
            "requirements.lock",
            "--no-build-isolation",
            "--target",
            str(site),
            ".",
        ],
        check=True,
    )


def _pack(site: Path) -> None:
    subprocess.run(
        [
            sys.executable,
            "-m",
            "shiv",
            "--site-packages",
            str(site),
            "--console-script",
            "dalemast",
            "--python",
            INTERPRETER,
            "--root",
            DEFAULT_ROOT,
            "--compressed",
            "--output-file",
            str(TARGET),
        ],
        check=True,
    )


if __name__ == "__main__":
    sys.exit(build())
