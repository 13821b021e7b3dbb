"""Run many soak seeds: ``python -m tests.soak --seeds 50``. Logs of failed seeds are kept."""

from __future__ import annotations

import argparse
import asyncio
import random
import shutil
import sys
from pathlib import Path

from tests.soak.run import Soak


def main() -> int:
    """Run the seeds and return 1 if any violated a guarantee."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3, help="number of fresh seeds")
    parser.add_argument("--seed", type=int, default=None, help="repeat this seed only")
    parser.add_argument("--seconds", type=float, default=15.0, help="duration of the faults")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument(
        "--crashes", action="store_true", help="tasks crash workers, which keep their ids"
    )
    parser.add_argument("--preempts", action="store_true", help="urgent jobs preempt others")
    parser.add_argument("--load", action="store_true", help="all decisions under load")
    parser.add_argument("--cancels", action="store_true", help="some callers cancel their jobs")
    parser.add_argument("--logs", default="build/soak", help="folder for logs")
    options = parser.parse_args()
    seeds = [options.seed] if options.seed is not None else []
    seeds = seeds or [random.SystemRandom().randrange(10**6) for _ in range(options.seeds)]
    broken = 0
    for seed in seeds:
        folder = Path(options.logs) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(
            seed=seed,
            folder=folder,
            entries=options.entries,
            workers=options.workers,
            crashes=options.crashes,
            preempts=options.preempts,
            load=options.load,
            cancels=options.cancels,
        )
        report = asyncio.run(soak.play(seconds=options.seconds))
        print(report, flush=True)
        if report.broken:
            broken += 1
        else:
            shutil.rmtree(folder)
    print(f"{len(seeds) - broken} passed, {broken} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
