"""``python -m dalemast.bench.policies``: what ``make policies`` runs.

Plays the users' kinds of jobs against real schedulers and supervisors in simulated time, so that a
policy's worth under load is known in seconds, where a played day takes a minute.
"""

from __future__ import annotations

import random
import sys
import time
from dataclasses import dataclass
from typing import Annotated

import cappa

from dalemast.emulator.simulation import Outcome, Simulation
from dalemast.emulator.traffic import CARD_CIRCUIT, generate
from dalemast.fleet.backends import load_backend

__all__ = ["PoliciesCommand", "play"]

USUAL_WORKERS = 11
"""Workers that the rates of :data:`CARD_CIRCUIT` are meant for; more workers get more jobs."""
AFTERMATH_S = 12.0
"""How long the simulation goes on after the last arrival: the longest jobs take several seconds."""


def play(
    *, owners: int, workers: int, load: float, seconds: float, seed: int, order: str
) -> tuple[Outcome, int]:
    """Return the outcome and how many room reports agents sent; the same for the same arguments."""
    arrivals = list(
        generate(
            CARD_CIRCUIT,
            until_s=seconds,
            load=load * workers / USUAL_WORKERS,
            rng=random.Random(seed),
        )
    )
    simulation = Simulation(
        owners=owners,
        workers=workers,
        make_order=lambda: load_backend(order),
        arrivals=arrivals,
        seed=seed,
    )
    outcome = simulation.run(until_s=seconds + AFTERMATH_S)
    return outcome, simulation.reports


@cappa.command(name="policies", help="Play jobs against the scheduler in simulated time.")
@dataclass(frozen=True, kw_only=True)
class PoliciesCommand:
    """One line for each load and seed. Only jobs after the first 10 seconds count."""

    owners: Annotated[int, cappa.Arg(long=True, help="Entries that own jobs.")] = 3
    workers: Annotated[int, cappa.Arg(long=True, help="Workers of all data centres.")] = 11
    loads: Annotated[str, cappa.Arg(long=True, help="Times the usual load.")] = "1.0,1.35,1.7"
    seconds: Annotated[float, cappa.Arg(long=True, help="Length of the traffic.")] = 25.0
    seeds: Annotated[str, cappa.Arg(long=True, help="Seeds of arrivals.")] = "1,2"
    order: Annotated[str, cappa.Arg(long=True, help="Dotted path of the order.")] = (
        "dalemast.core.scheduling.PriorityOrder"
    )

    def __call__(self) -> int:
        """Play and print."""
        for load in (float(text) for text in self.loads.split(",")):
            for seed in (int(text) for text in self.seeds.split(",")):
                began = time.process_time()
                outcome, reports = play(
                    owners=self.owners,
                    workers=self.workers,
                    load=load,
                    seconds=self.seconds,
                    seed=seed,
                    order=self.order,
                )
                took_s = time.process_time() - began
                print(f"load {load} seed {seed}: {outcome}; {reports} reports; {took_s:.1f} s")
        return 0


if __name__ == "__main__":
    sys.exit(cappa.invoke(PoliciesCommand))
