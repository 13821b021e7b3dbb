#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. They are Python programs that need
# only what the build of deploy/system.toml has put under target/deps, so this compiles and imports
# them; it needs no network. Run it after that build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
PYTHONPATH=target/deps python3 -S -m compileall -q dalemast review/fleet_2.py review/[4-8]
PYTHONPATH=target/deps:. python3 -S -c "import dalemast.emulator, review.fleet_2"
